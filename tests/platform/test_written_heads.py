"""What an instance writes: no head that its own reading would refuse."""

from __future__ import annotations

import socket

import pytest

from tests import broken_answers
from tests.platform import raw_caller
from tests.platform import system as systems

TIMEOUT_S = 5.0
# Requests with no colon have always been refused, and returns at the end of a
# value are dropped as they are read.
MALFORMED = {
    name: line
    for name, line in broken_answers.MALFORMED_FIELDS.items()
    if name not in ("no-colon", "from", "status-line", "two-returns")
}
SOUND = {
    "odd-name": b"X-Note.~|*: a\r\n",
    "no-value": b"X-Note:\r\n",
    "odd-value": b"X-Note: a\tb:  \xe9\xff,;\r\n",
}


def call(system, line, method=b"POST"):
    """Send a request with one more line; return all bytes of the answer."""
    listen = system.node.settings.listen.callers
    head = b"%s /submit/x HTTP/1.1\r\nHost: %s\r\nRequest-Id: r\r\n" % (
        method,
        systems.HOST.encode(),
    )
    head += b"Authorization: Bearer %s\r\n" % systems.KEY.encode()
    head += b"Connection: close\r\nContent-Length: 0\r\n" + line + b"\r\n"
    with socket.create_connection((listen.ip, listen.port)) as caller:
        caller.settimeout(TIMEOUT_S)
        caller.sendall(head)
        return raw_caller.read_all(caller)


@pytest.mark.parametrize("name", MALFORMED)
def test_malformed_field_of_a_request_is_refused(system, name):
    """Guards against heads that endpoints read in another way."""
    answer = call(system, MALFORMED[name])
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert not any(worker.arrived for worker in system.workers.values())


@pytest.mark.parametrize("name", SOUND)
def test_odd_field_of_a_request_is_passed_on(system, name):
    assert call(system, SOUND[name]).startswith(b"HTTP/1.1 200 ")
    (request,) = (
        request
        for worker in system.workers.values()
        for request in worker.arrived
    )
    key, _, value = SOUND[name].decode("latin-1").partition(":")
    assert request.headers[key.lower()] == value.strip()
