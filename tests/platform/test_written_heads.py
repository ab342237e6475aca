"""What an instance writes: no head that its own reading would refuse."""

from __future__ import annotations

import socket

import pytest

from briarseam import http_heads
from briarseam.testing import http_messages
from tests import broken_answers
from tests.platform import raw_caller
from tests.platform import system as systems
from tests.platform import worker as workers

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


class Bodiless(workers.Worker):
    """Endpoint whose answers have no body."""

    status = 204

    def run(self, request, call, echo):
        """Answer without a body."""
        signed = (*echo, ("Response-Signature", workers.SIGNATURE))
        return http_messages.Response(self.status, headers=signed)


@pytest.mark.parametrize(
    ("method", "status"), [(b"POST", 204), (b"POST", 304), (b"HEAD", 200)]
)
def test_answer_without_a_body_names_no_length(cold_system, method, status):
    """Guards against a length that the endpoint has not told."""
    endpoint = Bodiless("only")
    endpoint.status = status
    cold_system.add(endpoint, "portal")
    cold_system.configure()
    cold_system.start()
    head, _, body = call(cold_system, b"", method).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status)
    assert b"content-length" not in head.lower()
    assert not body


@pytest.mark.parametrize("value", ["a\r\nX-Other: b", "a\0b", "\u6771"])
def test_instance_answers_with_no_malformed_field(system, value):
    """Guards against an answer that its caller reads in another way."""

    def answer(exchange):
        with pytest.raises(http_heads.MalformedFieldError):
            exchange.answer(200, [("X-Note", value)], b"ok")
        exchange.answer(200, (), b"ok")

    system.node.servers["callers"].handler = answer
    assert call(system, b"").endswith(b"\r\n\r\nok")
