"""Answers with a malformed head or framing, and odd ones that are sound."""

from __future__ import annotations

import contextlib
import dataclasses
import socket
import time

from tests import flooding

BODY = b"whole"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
OK = b"HTTP/1.1 200 OK"
CRLF = b"\r\n"
LENGTH = b"Content-Length: %(size)d\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer to any request.

    Attributes
    ----------
    fields
        Lines of its head after the signature; ``%(size)d`` stands for the
        size of its body.
    start
        Its status line, without the line end.
    framed
        Its body as it is sent: ``%(body)s``, and ``%(size)x`` for its size.
    before
        What comes before it.
    line_end
        How the lines of its head end.
    signature
        The line that makes it count as an endpoint's answer.
    """

    fields: bytes = LENGTH
    start: bytes = OK
    framed: bytes = b"%(body)s"
    before: bytes = b""
    line_end: bytes = CRLF
    signature: bytes = flooding.SIGNED

    def encode(self, body: bytes = BODY, fields: bytes = b"") -> bytes:
        """Return the bytes of the answer with a body and further fields."""
        own = fill(self.fields, body)
        head = self.start + CRLF + self.signature + fields + own + CRLF
        framed = fill(self.framed, body)
        return self.before + head.replace(CRLF, self.line_end) + framed


def fill(template: bytes, body: bytes) -> bytes:
    """Return a template with the size of a body, and the body, filled in."""
    for place, value in (
        (b"%(size)d", b"%d" % len(body)),
        (b"%(size)x", b"%x" % len(body)),
        (b"%(size)X", b"%X" % len(body)),
        (b"%(body)s", body),
    ):
        template = template.replace(place, value)
    return template


IN_CHUNKS = b"%(size)x\r\n%(body)s\r\n0\r\n\r\n"
# Followed by what the answer needs to be taken for whole.
MALFORMED_FIELDS = {
    "no-colon": b"X-Note\r\n",
    "no-name": b": a\r\n",
    "blank-line-start": b" X-Note: a\r\n",
    "folded-value": b"X-Note: a\r\n b\r\n",
    "from": b"From here\r\n",
    "status-line": b"HTTP/1.1 200 OK\r\n",
    "blank-in-name": b"X Note: a\r\n",
    "tab-in-name": b"X\tNote: a\r\n",
    "blank-before-colon": b"X-Note : a\r\n",
    "tab-before-colon": b"X-Note\t: a\r\n",
    "nul-in-name": b"X\0Note: a\r\n",
    "control-in-name": b"X\x01Note: a\r\n",
    "vertical-tab-in-name": b"X\x0bNote: a\r\n",
    "delete-in-name": b"X\x7fNote: a\r\n",
    "return-in-name": b"X\rNote: a\r\n",
    "byte-above-127-in-name": b"X\xe9Note: a\r\n",
    "brackets-in-name": b"X[Note]: a\r\n",
    "parentheses-in-name": b"X(Note): a\r\n",
    "slash-in-name": b"X/Note: a\r\n",
    "quotes-in-name": b'"X-Note": a\r\n',
    "equals-in-name": b"X=Note: a\r\n",
    "at-in-name": b"X@Note: a\r\n",
    "nul-in-value": b"X-Note: a\0b\r\n",
    "control-in-value": b"X-Note: a\x02b\r\n",
    "delete-in-value": b"X-Note: a\x7fb\r\n",
    "return-in-value": b"X-Note: a\rX-Other: b\r\n",
    "two-returns": b"X-Note: a\r\r\n",
}
MALFORMED_LENGTHS = {
    "empty": b"",
    "word": b"five",
    "junk-before": b"x%(size)d",
    "junk-behind": b"%(size)dx",
    "plus": b"+%(size)d",
    "minus": b"-%(size)d",
    "hexadecimal": b"0x%(size)x",
    "fraction": b"%(size)d.0",
    "exponent": b"%(size)de0",
    "underscore": b"0_%(size)d",
    "superscript": b"\xb2",
    "wide-digit": "\uff15".encode(),
    "control-behind": b"%(size)d\x01",
    "vertical-tab-behind": b"%(size)d\x0b",
    "form-feed-before": b"\x0c%(size)d",
    "quoted": b'"%(size)d"',
    "comma": b",",
    "comma-behind": b"%(size)d,",
    "two-numbers": b"%(size)d 0",
    "different": b"%(size)d, 1",
    "thousands-of-digits": b"1" * 5000,
}
MALFORMED_CODINGS = {
    "empty": b"",
    "unknown": b"whatever",
    "identity": b"identity",
    "compressed": b"gzip, chunked",
    "compressed-last": b"chunked, gzip",
    "twice": b"chunked, chunked",
    "parameter": b"chunked;q=1",
    "control-behind": b"chunked\x01",
    "vertical-tab-before": b"\x0bchunked",
    "quoted": b'"chunked"',
}
MALFORMED_STARTS = {
    "protocol-0.9": b"HTTP/0.9 200 OK",
    "protocol-letter": b"HTTP/1.x 200 OK",
    "protocol-long": b"HTTP/1.11 200 OK",
    "protocol-2": b"HTTP/2.0 200 OK",
    "protocol-in-lower-case": b"http/1.1 200 OK",
    "other-protocol": b"ICY 200 OK",
    "blank-before": b" HTTP/1.1 200 OK",
    "two-blanks": b"HTTP/1.1  200 OK",
    "tab": b"HTTP/1.1\t200 OK",
    "no-status": b"HTTP/1.1",
    "status-000": b"HTTP/1.1 000 OK",
    "status-099": b"HTTP/1.1 099 OK",
    "status-20": b"HTTP/1.1 20 OK",
    "status-2000": b"HTTP/1.1 2000 OK",
    "status-600": b"HTTP/1.1 600 OK",
    "status-999": b"HTTP/1.1 999 OK",
    "status-plus": b"HTTP/1.1 +20 OK",
    "status-letters": b"HTTP/1.1 2xx OK",
    "status-underscore": b"HTTP/1.1 2_0 OK",
    "status-and-reason-joined": b"HTTP/1.1 200OK",
    "control-in-reason": b"HTTP/1.1 200 O\x01K",
    "return-in-reason": b"HTTP/1.1 200 O\rK",
}
MALFORMED_CHUNKS = {
    "no-line-end-behind-data": b"%(size)x\r\n%(body)sxx0\r\n\r\n",
    "line-feeds-behind-data": b"%(size)x\r\n%(body)s\n\n0\r\n\r\n",
    "control-in-extension": b"%(size)x;a\x01\r\n%(body)s\r\n0\r\n\r\n",
    "return-before-line-end": b"%(size)x\r\r\n%(body)s\r\n0\r\n\r\n",
    "no-size": b";a\r\n%(body)s\r\n0\r\n\r\n",
}
HEADS = {
    **{
        f"field-{name}": Answer(line + LENGTH)
        for name, line in MALFORMED_FIELDS.items()
    },
    **{
        f"last-field-{name}": Answer(LENGTH + line)
        for name, line in MALFORMED_FIELDS.items()
    },
    **{
        f"length-{name}": Answer(b"Content-Length: " + value + CRLF)
        for name, value in MALFORMED_LENGTHS.items()
    },
    "length-sound-and-broken": Answer(LENGTH + b"Content-Length: x\r\n"),
    "length-broken-and-sound": Answer(b"Content-Length: x\r\n" + LENGTH),
    "lengths-different": Answer(LENGTH + b"Content-Length: 1\r\n"),
    **{
        f"coding-{name}": Answer(
            b"Transfer-Encoding: " + value + CRLF, framed=IN_CHUNKS
        )
        for name, value in MALFORMED_CODINGS.items()
    },
    "coding-in-two-fields": Answer(CHUNKED + CHUNKED, framed=IN_CHUNKS),
    "coding-folded": Answer(
        b"Transfer-Encoding:\r\n chunked\r\n", framed=IN_CHUNKS
    ),
    "coding-in-http-1.0": Answer(
        CHUNKED, b"HTTP/1.0 200 OK", framed=IN_CHUNKS
    ),
    "coding-and-length": Answer(CHUNKED + LENGTH, framed=IN_CHUNKS),
    "coding-and-broken-length": Answer(
        CHUNKED + b"Content-Length: x\r\n", framed=IN_CHUNKS
    ),
    **{
        f"start-{name}": Answer(start=start)
        for name, start in MALFORMED_STARTS.items()
    },
    "interim-with-a-malformed-field": Answer(
        before=b"HTTP/1.1 103 Early Hints\r\nX Note: a\r\n\r\n"
    ),
    "continue-with-a-line-without-colon": Answer(
        before=b"HTTP/1.1 100 Continue\r\nX-Note\r\n\r\n"
    ),
    "interim-with-a-malformed-length": Answer(
        before=b"HTTP/1.1 103 Early Hints\r\nContent-Length: x\r\n\r\n"
    ),
}
FRAMINGS = {
    f"chunk-{name}": Answer(CHUNKED, framed=framed)
    for name, framed in MALFORMED_CHUNKS.items()
}
BROKEN = HEADS | FRAMINGS
SOUND = {
    "length": Answer(),
    "chunks": Answer(CHUNKED, framed=IN_CHUNKS),
    "end-of-connection": Answer(b""),
    "end-of-http-1.0-connection": Answer(b"", b"HTTP/1.0 200 OK"),
    "length-in-http-1.0": Answer(start=b"HTTP/1.0 200 OK"),
    "coding-in-capitals": Answer(
        b"Transfer-Encoding: CHUNKED\r\n", framed=IN_CHUNKS
    ),
    "coding-between-blanks": Answer(
        b"Transfer-Encoding: \t Chunked \t\r\n", framed=IN_CHUNKS
    ),
    "equal-lengths": Answer(LENGTH + LENGTH),
    "equal-lengths-in-a-field": Answer(
        b"Content-Length: %(size)d, %(size)d\r\n"
    ),
    "length-with-zeros": Answer(b"Content-Length: 000%(size)d\r\n"),
    "length-between-blanks": Answer(b"CONTENT-length:\t %(size)d \t\r\n"),
    "length-without-a-blank": Answer(b"Content-Length:%(size)d\r\n"),
    "no-reason": Answer(start=b"HTTP/1.1 200 "),
    "no-reason-and-no-blank": Answer(start=b"HTTP/1.1 200"),
    "odd-reason": Answer(start=b"HTTP/1.1 200 \tF\xfcr  you:"),
    "odd-name": Answer(b"!#$%&'*+-.^_`|~9aZ: a\r\n" + LENGTH),
    "no-value": Answer(b"X-Note:\r\nX-Other: \t\r\n" + LENGTH),
    "odd-value": Answer(b"X-Note: a\tb:  \xe9\xff,;\r\n" + LENGTH),
    "many-fields": Answer(500 * b"X-Note: a\r\n" + LENGTH),
    "line-feeds": Answer(line_end=b"\n"),
    "interim-answers": Answer(
        before=b"HTTP/1.1 100\r\n\r\nHTTP/1.1 103 Hints\r\nX-Note: a\r\n\r\n"
    ),
    "chunk-extension": Answer(
        CHUNKED, framed=b"%(size)X ;a=b\r\n%(body)s\r\n0;c\r\n\r\n"
    ),
    "chunk-size-with-zeros": Answer(
        CHUNKED, framed=b"000%(size)x\r\n%(body)s\r\n000\r\n\r\n"
    ),
    "trailers": Answer(
        CHUNKED, framed=b"%(size)x\r\n%(body)s\r\n0\r\nX-Note: a\r\n\r\n"
    ),
    "connection-closes": Answer(b"Connection: Keep-Alive, Close\r\n" + LENGTH),
}
# Sound answers, whose connection must not serve another request.
FOLLOWED = {
    f"{framing}-then-{name}": dataclasses.replace(
        SOUND[framing], framed=SOUND[framing].framed + more
    )
    for framing in ("length", "chunks")
    for name, more in {
        "a-byte": b"x",
        "a-line-end": CRLF,
        "half-an-answer": b"HTTP/1.1 200 OK\r\nContent-",
        "an-answer": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    }.items()
}
FOLLOWED |= {
    f"trailer-{name}": Answer(
        CHUNKED,
        framed=b"%(size)x\r\n%(body)s\r\n0\r\n" + line + CRLF,
    )
    for name, line in MALFORMED_FIELDS.items()
}


class Endpoint(flooding.Endpoint):
    """Answers the first request of each connection with the same bytes.

    Parameters
    ----------
    answer_bytes
        The answer.
    closes
        Whether it then closes the connection; otherwise its caller has to.

    Attributes
    ----------
    requests
        Number of requests that were answered.
    closed
        Number of connections that callers have closed.
    """

    def __init__(self, answer_bytes: bytes, closes: bool = True) -> None:
        super().__init__(flooding.Flood(b"", b""), flooding.Pace.DROPS)
        self.id = "broken"
        self.answer_bytes = answer_bytes
        self.closes = closes
        self.requests = 0
        self.closed = 0

    def start_fields(self) -> dict[str, int]:
        """Return no fields: its entry does not tell its start."""
        return {}

    def answer(self, connection: socket.socket, end_s: float) -> None:
        """Answer the first request of a connection."""
        self.requests += 1
        connection.sendall(self.answer_bytes)
        if self.closes:
            # Closing with a request unread would reset the connection.
            connection.shutdown(socket.SHUT_WR)
        connection.settimeout(max(0.0, end_s - time.monotonic()))
        with contextlib.suppress(TimeoutError):
            while connection.recv(flooding.BLOCK_BYTES):
                pass
            self.closed += 1
