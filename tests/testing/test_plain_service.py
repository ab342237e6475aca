from __future__ import annotations

import pytest
import urllib3

from briarseam.testing import plain_service
from tests.testing import calls


@pytest.fixture
def service(running):
    return running(plain_service.PlainService())


def book(service, body, run_id="r1"):
    path = "/calls/book"
    return calls.call("POST", service.address, path, body, x_run_id=run_id)


def counts(service):
    return calls.call("GET", service.address, "/control/runs").json()["runs"]


def test_confirms_and_counts_by_key_or_run_id(service):
    answer = book(service, {"key": "k", "at": [1, 2]}).json()
    assert answer["call"] == "book"
    assert answer["body"] == {"key": "k", "at": [1, 2]}
    again = book(service, {"key": "k"}, "r2").json()
    assert again["confirmation"] != answer["confirmation"]
    book(service, [3], "r3")
    assert counts(service) == {"k": 2, "r3": 1}


@pytest.mark.parametrize(
    ("switch", "effects"), [("close_before", {}), ("close_after", {"k": 1})]
)
def test_closes_before_or_after_the_effect(service, switch, effects):
    """The caller sees the same lost connection in both cases.

    Only the service knows whether the booking was made.
    """
    service.set(**{switch: 1})
    with pytest.raises(urllib3.exceptions.ProtocolError):
        book(service, {"key": "k"})
    assert counts(service) == effects
    assert book(service, {"key": "k"}).status == 200


def test_status_has_no_effect(service):
    service.set(status=503)
    assert book(service, {"key": "k"}).status == 503
    assert counts(service) == {}


@pytest.mark.parametrize("body", [b"{", b""], ids=["broken", "empty"])
def test_body_that_is_no_json_answers_400(service, body):
    assert book(service, body).status == 400
    assert counts(service) == {}
