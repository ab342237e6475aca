"""Endpoints that answer while a request is written, and reset it."""

from __future__ import annotations

import socket
import struct
import threading

from tests import flooding

UPLOAD = b"x" * (8 * 1024 * 1024)
UNFRAMED = flooding.head()
PARTS = {
    "plain": UNFRAMED + b'{"offset":0,"end":1}',
    "stream": flooding.head(flooding.STREAM) + flooding.EVENT,
    "empty": UNFRAMED,
}
RESET = struct.pack("ii", 1, 0)
RECEIVE_BYTES = 4096


class Endpoint:
    """Answers an upload at once with a part, and resets the connection.

    Parameters
    ----------
    part
        Name of the part that it sends.

    Attributes
    ----------
    requests
        Number of requests that have arrived.
    """

    def __init__(self, part: str) -> None:
        self.id = "resetting"
        self.part = PARTS[part]
        self.requests = 0
        self.listener = socket.create_server(("127.0.0.1", 0))
        # Most of an upload is still to be written when the reset comes.
        self.listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES
        )
        self.address = "{}:{}".format(*self.listener.getsockname()[:2])

    def __enter__(self) -> Endpoint:
        threading.Thread(target=self.serve, daemon=True).start()
        return self

    def __exit__(self, *_error: object) -> None:
        self.listener.close()

    def start_fields(self) -> dict[str, int]:
        """Return no fields: its entry does not tell its start."""
        return {}

    def serve(self) -> None:
        """Answer all requests."""
        while True:
            try:
                connection, _address = self.listener.accept()
            except OSError:
                return
            with connection:
                if not connection.recv(RECEIVE_BYTES):
                    continue
                self.requests += 1
                connection.sendall(self.part)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET
                )
