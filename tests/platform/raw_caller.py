"""A caller that reads the framing of answers itself."""

from __future__ import annotations

import contextlib
import dataclasses
import socket

READ_BYTES = 65536
END_OF_HEAD = b"\r\n\r\n"


class IncompleteError(Exception):
    """An answer ended before its framing says that it is complete."""


@dataclasses.dataclass(frozen=True)
class Received:
    """An answer as a caller got it.

    Attributes
    ----------
    status, headers
        Its head; the status is 0 without an answer.
    body
        The body without its framing, as far as it came.
    complete
        Whether it looks complete to a caller of this version.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class Reader:
    """Reads one answer from a connection."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.buffer = b""
        self.body = b""

    def read(self) -> Received:
        """Return an answer, complete or not."""
        try:
            head = self.read_until(END_OF_HEAD).decode("latin-1")
        except (OSError, IncompleteError):
            return Received()
        status_line, *lines = head.removesuffix("\r\n\r\n").split("\r\n")
        headers = dict(parse_header(line) for line in lines)
        try:
            self.read_body(headers)
            complete = True
        except (OSError, IncompleteError):
            complete = False
        status = int(status_line.split()[1])
        return Received(status, headers, self.body, complete)

    def read_body(self, headers: dict[str, str]) -> None:
        """Read a body as its headers frame it."""
        if headers.get("transfer-encoding") == "chunked":
            self.read_chunks()
        elif "content-length" in headers:
            self.body = self.read_bytes(int(headers["content-length"]))
        else:
            self.read_to_end()

    def read_chunks(self) -> None:
        """Read a body in chunks, up to the last one."""
        while True:
            size = int(self.read_until(b"\r\n"), 16)
            self.body += self.read_bytes(size)
            if self.read_bytes(2) != b"\r\n":
                raise IncompleteError("a chunk has a wrong length")
            if size == 0:
                return

    def read_to_end(self) -> None:
        """Read a body that ends with its connection."""
        self.body, self.buffer = self.buffer, b""
        with contextlib.suppress(IncompleteError):
            while True:
                self.fill()
                self.body += self.buffer
                self.buffer = b""

    def read_until(self, marker: bytes) -> bytes:
        """Return the bytes up to the end of a marker."""
        while marker not in self.buffer:
            self.fill()
        end = self.buffer.index(marker) + len(marker)
        found, self.buffer = self.buffer[:end], self.buffer[end:]
        return found

    def read_bytes(self, size: int) -> bytes:
        """Return so many bytes."""
        while len(self.buffer) < size:
            self.fill()
        found, self.buffer = self.buffer[:size], self.buffer[size:]
        return found

    def fill(self) -> None:
        """Read more; raise ``IncompleteError`` at the end of the data."""
        data = self.sock.recv(READ_BYTES)
        if not data:
            raise IncompleteError("the connection was closed")
        self.buffer += data


def parse_header(line: str) -> tuple[str, str]:
    """Return the name in lower case and the value of a header."""
    name, _, value = line.partition(":")
    return name.lower(), value.strip()


def request_bytes(
    method: str, path: str, headers: dict[str, str], version: str, body: bytes
) -> bytes:
    """Return a request as it is sent."""
    fields = {**headers, "Content-Length": str(len(body))}
    lines = [f"{name}: {value}\r\n" for name, value in fields.items()]
    head = f"{method} {path} HTTP/{version}\r\n{''.join(lines)}\r\n"
    return head.encode("latin-1") + body


def send(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    version: str = "1.1",
    body: bytes = b"{}",
    timeout_s: float = 10.0,
) -> Received:
    """Send a request on a connection of its own and read the answer."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout_s) as sock:
        sock.sendall(request_bytes(method, path, headers, version, body))
        return Reader(sock).read()


def read_all(sock: socket.socket) -> bytes:
    """Return all bytes up to the end of a connection."""
    pieces = []
    while piece := sock.recv(READ_BYTES):
        pieces.append(piece)
    return b"".join(pieces)
