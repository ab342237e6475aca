from __future__ import annotations

import json

import pytest

from briarseam import inflight
from briarseam.entry import counting


class Application:
    """A WSGI application that says when it is called."""

    def __init__(self) -> None:
        self.calls = 0

    def __call__(self, environ, start_response):
        self.calls += 1
        start_response("200 OK", [])
        return [b"answer"]


class Response:
    """What a caller is told."""

    def __call__(self, status, headers, *exc_info):
        self.status = status
        self.headers = dict(headers)


@pytest.fixture
def in_flight():
    return inflight.InFlight()


def test_request_that_comes_as_the_entry_ends_is_refused(in_flight):
    """An entry that is told to stop finds nothing in flight.  A call that
    comes then was admitted, and its connection closed with the process
    before the service had answered.
    """
    application, response = Application(), Response()
    counted = counting.CountingApplication(application, in_flight)
    assert in_flight.refuse_if_idle()
    body = counted({}, response)
    told = json.loads(b"".join(body))
    body.close()
    assert application.calls == 0
    assert response.status.startswith("503")
    assert response.headers["Connection"] == "close"
    assert told["ran"] == "no"
    assert in_flight.count == 0


def test_request_counts_until_its_body_is_closed(in_flight):
    counted = counting.CountingApplication(Application(), in_flight)
    body = counted({}, Response())
    assert not in_flight.refuse_if_idle()
    body.close()
    assert in_flight.refuse_if_idle()
