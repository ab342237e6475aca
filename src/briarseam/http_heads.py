"""Grammar of the heads of HTTP answers, for reading and for writing.

The HTTP library reads heads with a parser of e-mail, which fails on nothing:
a malformed line ends the fields, and a malformed length is dropped, so that
the body goes on to the end of the connection.  Here a head is read as a whole
or not at all, and nothing is written that this reading would refuse.
"""

from __future__ import annotations

import dataclasses
import enum
import http.client
import re
import typing

# Each costs processor time, however short it is.
MAX_FIELDS = 1000
HTTP_1_0 = 10
HTTP_1_1 = 11
FIRST_FINAL = 200
# Answers with these end with their head, whatever it says of a body.
BODILESS_STATUSES = frozenset({204, 304})
HEAD = "HEAD"
CHUNKED = "chunked"
BLANKS = " \t"
LINE_ENDS = frozenset({b"\r\n", b"\n"})
CRLF = b"\r\n"

# No character can be matched by two parts of a pattern in a row, so that
# matching takes linear time.
TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
NAME = re.compile(TOKEN.decode())
VALUE = re.compile(TEXT.decode())
LINE_END = rb"\r?\n"
STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: (" + TEXT + rb"))?" + LINE_END
)
FIELD_LINE = re.compile(rb"(" + TOKEN + rb"):(" + TEXT + rb")" + LINE_END)
LENGTH = re.compile(r"[0-9]{1,18}")
CHUNK_SIZE = re.compile(
    rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;" + TEXT + rb")?" + LINE_END
)

Fields = typing.Sequence[tuple[str, str]]


class Fault(enum.StrEnum):
    """What is malformed in an answer."""

    STATUS_LINE = "status line"
    FIELD = "field"
    TOO_MANY_FIELDS = "number of fields"
    LENGTH = "Content-Length"
    CODING = "Transfer-Encoding"
    LENGTH_AND_CODING = "Content-Length beside Transfer-Encoding"
    CHUNK_SIZE = "chunk size"
    CHUNK_END = "end of a chunk"


class MalformedAnswerError(http.client.HTTPException):
    """An answer violates the grammar, so nothing in it can be trusted.

    Its message has no bytes of the answer.
    """

    def __init__(self, fault: Fault) -> None:
        super().__init__(f"malformed {fault}")
        self.fault = fault


class MalformedFieldError(ValueError):
    """A field that is to be written violates the grammar."""


class Reader(typing.Protocol):
    """Reads lines of an answer."""

    def readline(self) -> bytes:
        """Return the next line with its end, or raise."""


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """The head of an answer.

    Attributes
    ----------
    version
        Protocol version: 10 or 11.
    status
        From 100 to 599.
    reason
        Reason phrase; may be empty.
    fields
        Names and values in the order received.
    """

    version: int
    status: int
    reason: str
    fields: tuple[tuple[str, str], ...]

    def values(self, name: str) -> list[str]:
        """Return the values of the fields of a name (in lower case)."""
        return [value for key, value in self.fields if key.lower() == name]


@dataclasses.dataclass(frozen=True)
class Framing:
    """What marks the end of a body.

    Attributes
    ----------
    chunked
        Whether it is in chunks.
    length
        Its size in bytes; ``None`` if it is in chunks or ends with its
        connection.
    """

    chunked: bool = False
    length: int | None = None

    def ends_with_connection(self) -> bool:
        """Return whether only the end of the connection marks it."""
        return not self.chunked and self.length is None


def read_answer_head(reader: Reader) -> AnswerHead:
    """Read the head of an answer.

    Raises
    ------
    MalformedAnswerError
        If a line violates the grammar.
    """
    match = STATUS_LINE.fullmatch(reader.readline())
    if match is None:
        raise MalformedAnswerError(Fault.STATUS_LINE)
    minor, status, reason = match.groups(default=b"")
    return AnswerHead(
        HTTP_1_1 if minor == b"1" else HTTP_1_0,
        int(status),
        reason.decode("latin-1").strip(BLANKS),
        tuple(read_fields(reader)),
    )


def read_fields(reader: Reader) -> list[tuple[str, str]]:
    """Read field lines, up to the empty line behind them.

    A line that is folded is malformed, too.

    Raises
    ------
    MalformedAnswerError
        If a line is not a field.
    """
    fields: list[tuple[str, str]] = []
    while (line := reader.readline()) not in LINE_ENDS:
        match = FIELD_LINE.fullmatch(line)
        if match is None:
            raise MalformedAnswerError(Fault.FIELD)
        if len(fields) == MAX_FIELDS:
            raise MalformedAnswerError(Fault.TOO_MANY_FIELDS)
        value = match[2].decode("latin-1").strip(BLANKS)
        fields.append((match[1].decode("ascii"), value))
    return fields


def framing_of(head: AnswerHead, method: str) -> Framing:
    """Return the framing of an answer's body.

    Parameters
    ----------
    head
        Head of the answer.
    method
        Method of the request.

    Raises
    ------
    MalformedAnswerError
        If the head does not tell where the body ends.
    """
    codings = head.values("transfer-encoding")
    lengths = head.values("content-length")
    length = parse_length(lengths) if lengths else None
    if codings:
        check_codings(head, codings)
        if lengths:
            raise MalformedAnswerError(Fault.LENGTH_AND_CODING)
    if not may_have_body(method, head.status):
        return Framing(length=0)
    return Framing(chunked=bool(codings), length=length)


def parse_length(values: list[str]) -> int:
    """Return the length of a body; it may be named more than once.

    Raises
    ------
    MalformedAnswerError
        If a value is not a length, or two differ.
    """
    texts = [text.strip(BLANKS) for text in ",".join(values).split(",")]
    if not all(map(LENGTH.fullmatch, texts)):
        raise MalformedAnswerError(Fault.LENGTH)
    length, *different = set(map(int, texts))
    if different:
        raise MalformedAnswerError(Fault.LENGTH)
    return length


def check_codings(head: AnswerHead, values: list[str]) -> None:
    """Check that a body has the only transfer coding that is known.

    Raises
    ------
    MalformedAnswerError
        If it has another one, or the protocol version has none.
    """
    is_chunked = [value.lower() for value in values] == [CHUNKED]
    if not is_chunked or head.version != HTTP_1_1:
        raise MalformedAnswerError(Fault.CODING)


def stays_open(head: AnswerHead, framing: Framing) -> bool:
    """Return whether the connection of an answer may serve another one."""
    if framing.ends_with_connection():
        return False
    options = {
        option.strip(BLANKS).lower()
        for value in head.values("connection")
        for option in value.split(",")
    }
    if head.version == HTTP_1_1:
        return "close" not in options
    return "keep-alive" in options and "close" not in options


def parse_chunk_size(line: bytes) -> int:
    """Return the size of a chunk, in bytes.

    Raises
    ------
    MalformedAnswerError
        If the line does not tell it.
    """
    match = CHUNK_SIZE.fullmatch(line)
    if match is None:
        raise MalformedAnswerError(Fault.CHUNK_SIZE)
    return int(match[1], 16)


def check_chunk_end(data: bytes) -> None:
    """Check the line end behind a chunk's data, or as much as has come.

    Raises
    ------
    MalformedAnswerError
        If it is another one.
    """
    if not CRLF.startswith(data):
        raise MalformedAnswerError(Fault.CHUNK_END)


def is_field(name: str, value: str) -> bool:
    """Return whether a field can be written."""
    return bool(NAME.fullmatch(name) and VALUE.fullmatch(value))


def check_fields(fields: Fields) -> None:
    """Check fields that are to be written.

    Raises
    ------
    MalformedFieldError
        If one of them would be read as something else.
    """
    for name, value in fields:
        if not is_field(name, value):
            raise MalformedFieldError("malformed header field")


def may_have_body(method: str, status: int) -> bool:
    """Return whether the answer to a method may have a body."""
    return not (
        status < FIRST_FINAL or status in BODILESS_STATUSES or method == HEAD
    )
