"""No request is sent twice, by a retry, a reused connection or a redirect."""

from __future__ import annotations

import socket
import threading
import typing

import pytest

from briarseam.endpoints import engine
from briarseam.endpoints import service

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
MOVED = (
    b"HTTP/1.1 307 Temporary Redirect\r\n"
    b"Location: /calls/again\r\nContent-Length: 0\r\n\r\n"
)


class FakeEndpoint:
    """An endpoint that counts the requests it reads.

    Parameters
    ----------
    answer
        Sent for each request; if empty, the connection is closed instead.
    """

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        host, port = self.listener.getsockname()[:2]
        self.address = f"{host}:{port}"
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            with sock:
                self.serve(sock)

    def serve(self, sock: socket.socket) -> None:
        """Answer one request, then close the kept-alive connection."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += sock.recv(65536)
        self.requests += 1
        if self.answer:
            sock.sendall(self.answer)


def make_call(address: str) -> service.ServiceAnswer:
    return service.ServiceClient().call(address, "submit", "a", b"{}", 5.0)


def make_run(address: str) -> typing.Any:
    run = engine.RunRequest("a", "m", "v", None, "p", (), 1, 5, "salt")
    return engine.EngineClient(5.0).start(address, run)


EACH_CLIENT = pytest.mark.parametrize(
    "send", [make_call, make_run], ids=["service", "engine"]
)


@EACH_CLIENT
def test_request_without_answer_is_lost_and_not_sent_again(send):
    """Guard against a booking made twice by a retry of the library."""
    endpoint = FakeEndpoint(b"")
    with pytest.raises(engine.LostError):
        send(endpoint.address)
    assert endpoint.requests == 1


@EACH_CLIENT
def test_redirect_is_not_followed(send):
    """Guard against a booking made twice, by a service and its redirect."""
    endpoint = FakeEndpoint(MOVED)
    try:
        answer = send(endpoint.address)
    except engine.RefusedError as error:
        assert error.status == 307
    else:
        assert answer.status == 307
    assert endpoint.requests == 1


def test_kept_alive_connection_is_not_reused():
    """Guard against a booking whose outcome is unknown without need.

    The service may close a kept-alive connection while the next request is
    being written, and whether it read the request would be unknown.
    """
    endpoint = FakeEndpoint(ANSWER)
    for number in range(20):
        assert make_call(endpoint.address).status == 200
        assert endpoint.requests == number + 1
