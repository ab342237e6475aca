"""No library sends a request twice: retries, reused connections, redirects."""

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


class Peer:
    """An endpoint that counts the requests it reads.

    Parameters
    ----------
    answer
        Sent for each request; nothing closes the connection instead.
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
        """Answer one request, then close though it was kept alive."""
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


MAKE = pytest.mark.parametrize(
    "make", [make_call, make_run], ids=["service", "engine"]
)


@MAKE
def test_connection_closed_without_answer_is_lost_not_sent_again(make):
    """A booking is made twice by a library's own retry."""
    peer = Peer(b"")
    with pytest.raises(engine.LostError):
        make(peer.address)
    assert peer.requests == 1


@MAKE
def test_redirect_is_not_followed(make):
    """A booking is made twice: by its service and where that points to."""
    peer = Peer(MOVED)
    try:
        answer = make(peer.address)
    except engine.RefusedError as error:
        assert error.status == 307
    else:
        assert answer.status == 307
    assert peer.requests == 1


def test_closed_kept_alive_connection_is_not_used_again():
    """A booking's outcome is unknown for no reason.

    The service closes a kept-alive connection just as the next request is
    written to it; nobody can tell whether it was read.  Each call has a
    connection of its own.
    """
    peer = Peer(ANSWER)
    for number in range(20):
        assert make_call(peer.address).status == 200
        assert peer.requests == number + 1
