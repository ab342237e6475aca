from __future__ import annotations

import json

import pytest

from briarseam import inflight
from briarseam.entry import counting


class Application:
    """A WSGI application that counts its calls."""

    def __init__(self) -> None:
        self.calls = 0

    def __call__(self, environ, start_response):
        self.calls += 1
        start_response("200 OK", [])
        return [b"answer"]


class Response:
    """Records the status and headers of a response."""

    def __call__(self, status, headers, *exc_info):
        self.status = status
        self.headers = dict(headers)


@pytest.fixture
def in_flight():
    return inflight.InFlight()


def test_request_is_refused_once_the_entry_has_stopped(in_flight):
    """A request that arrives after a stop has found none in flight must
    not be admitted: the process exits, and closes the connection, before
    the service has answered.
    """
    application, response = Application(), Response()
    counted = counting.CountingApplication(application, in_flight)
    assert in_flight.refuse_if_idle()
    body = counted({}, response)
    document = json.loads(b"".join(body))
    body.close()
    assert application.calls == 0
    assert response.status.startswith("503")
    assert response.headers["Connection"] == "close"
    assert document["ran"] == "no"
    assert in_flight.count == 0


def test_request_counts_until_its_body_is_closed(in_flight):
    counted = counting.CountingApplication(Application(), in_flight)
    body = counted({}, Response())
    assert not in_flight.refuse_if_idle()
    body.close()
    assert in_flight.refuse_if_idle()
