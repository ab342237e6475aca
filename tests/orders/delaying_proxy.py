"""A TCP proxy in front of an engine that delays orders."""

from __future__ import annotations

import contextlib
import socket
import threading
import typing

ORDER = b"POST /orders"
END = b"\r\n\r\n"


class DelayingProxy:
    """Forwards connections; delays the first ``hold`` orders.

    Delayed orders are forwarded after ``released`` is set, even if their
    sender has already timed out.
    """

    def __init__(
        self,
        address: str,
        hold: int,
        on_held: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self.target = address.rpartition(":")[::2]
        self.hold = hold
        self.on_held = on_held
        self.released = threading.Event()
        self.lock = threading.Lock()
        self.held = 0
        self.late_statuses: list[int] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        threading.Thread(target=self.accept, daemon=True).start()

    def __enter__(self) -> DelayingProxy:
        return self

    def __exit__(self, *raised: object) -> None:
        self.released.set()
        self.listener.close()

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                client, _ = self.listener.accept()
                threading.Thread(
                    target=self.serve, args=(client,), daemon=True
                ).start()

    def serve(self, client: socket.socket) -> None:
        """Forward the requests of one connection one after the other."""
        host, port = self.target
        with contextlib.suppress(OSError), client:
            server = socket.create_connection((host, int(port)))
            with server:
                while request := read_message(client):
                    late = self.hold_back(request)
                    server.sendall(request)
                    answer = read_message(server)
                    if late:
                        self.late_statuses.append(int(answer.split()[1]))
                    client.sendall(answer)

    def hold_back(self, request: bytes) -> bool:
        """Wait for the release if this is an order to delay.

        Returns
        -------
        bool
            Whether the request was delayed.
        """
        with self.lock:
            if not request.startswith(ORDER) or self.held >= self.hold:
                return False
            self.held += 1
        self.on_held()
        self.released.wait()
        return True


def read_message(sock: socket.socket) -> bytes:
    """Return one HTTP message, or nothing at the end of the connection.

    The length of its body is given by Content-Length.
    """
    data = b""
    while END not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return b""
        data += chunk
    head, _, body = data.partition(END)
    length = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        chunk = sock.recv(65536)
        if not chunk:
            return b""
        body += chunk
        data += chunk
    return data
