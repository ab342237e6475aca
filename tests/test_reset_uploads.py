"""Calls whose answer comes, and ends, while the request is written."""

from __future__ import annotations

import pytest
import urllib3.exceptions

from briarseam import bounded_http
from briarseam.endpoints import engine
from briarseam.endpoints import service
from briarseam.feeds import records
from briarseam.platform import store
from tests import reset_uploads

UPLOAD = reset_uploads.UPLOAD


@pytest.fixture(params=reset_uploads.PARTS)
def endpoint(request):
    with reset_uploads.Endpoint(request.param) as endpoint:
        yield endpoint


def test_pool_takes_no_part_for_an_answer(endpoint):
    """Guards against a reset that the write has seen, and no read sees."""
    pool = bounded_http.pool_manager(retries=False)
    with pytest.raises(urllib3.exceptions.HTTPError):
        pool.request("POST", f"http://{endpoint.address}/", body=UPLOAD)
    assert endpoint.requests == 1


def test_append_may_have_been_written(endpoint):
    client = store.StoreClient(endpoint.address)
    with pytest.raises(records.StoreUnavailableError) as raised:
        client.append("keyed.x", (UPLOAD,))
    assert raised.value.may_have_run
    assert endpoint.requests == 1


def test_call_of_a_service_may_have_been_executed(endpoint):
    with pytest.raises(engine.LostError):
        service.ServiceClient().call(endpoint.address, "x", "r", UPLOAD, 2.0)
    assert endpoint.requests == 1
