"""Answers of stand-ins that are framed and cut short in all ways."""

from __future__ import annotations

import dataclasses
import enum
import typing

from briarseam import transfers
from briarseam.testing import http_messages

Headers = tuple[tuple[str, str], ...]
Framing = transfers.Framing
FRAGMENT_BYTES = 5


class Cut(enum.StrEnum):
    """Where an answer is cut short."""

    NOWHERE = ""
    BEFORE_EVENTS = "before-events"
    IN_FIRST_EVENT = "in-first-event"
    IN_LATER_EVENT = "in-later-event"
    BEFORE_LAST_NEWLINE = "before-last-newline"
    BETWEEN_EVENTS = "between-events"
    AFTER_EVENTS = "after-events"


INSIDE_EVENTS = (
    Cut.IN_FIRST_EVENT,
    Cut.IN_LATER_EVENT,
    Cut.BEFORE_LAST_NEWLINE,
)


class Ending(enum.StrEnum):
    """How the transfer of an answer ends."""

    FIN = "fin"
    RESET = "reset"
    # The framing marks the end, although the body is cut short.
    FRAMED = "framed"


@dataclasses.dataclass(frozen=True)
class Form:
    """Form in which an answer is sent.

    Attributes
    ----------
    framing, version
        Framing and HTTP version.
    cut, ending
        Where it is cut short, and how its transfer ends.
    """

    framing: Framing
    version: str = "1.1"
    cut: Cut = Cut.NOWHERE
    ending: Ending = Ending.FIN

    @property
    def is_malformed(self) -> bool:
        """Whether its head is malformed: HTTP/1.0 has no chunks."""
        return self.framing is Framing.CHUNKED and self.version == "1.0"

    @property
    def is_marked_complete(self) -> bool:
        """Whether length or last chunk say that the answer is complete."""
        if self.framing is Framing.CONNECTION:
            return False
        return self.cut is Cut.NOWHERE or self.ending is Ending.FRAMED


def is_noticed(form: Form, is_stream: bool) -> bool:
    """Return whether the cut in an answer can be told from its bytes.

    The endpoint is not asked.  A form without a cut is noticed as complete.
    """
    is_framed = form.framing is not Framing.CONNECTION
    if form.cut is Cut.NOWHERE:
        return form.ending is Ending.FIN
    if form.ending is Ending.FRAMED:
        return is_framed and is_stream and form.cut in INSIDE_EVENTS
    if not is_stream and form.cut is not Cut.IN_FIRST_EVENT:
        # A plain body is one piece, which has no other places.
        return False
    if form.ending is Ending.RESET:
        return True
    if is_stream and form.cut in (Cut.BEFORE_EVENTS, *INSIDE_EVENTS):
        return True
    return is_framed


class Output(typing.Protocol):
    """The connection that an answer is sent on."""

    def send(self, framed: bytes) -> None:
        """Send all."""

    def reset_on_close(self) -> None:
        """Have the connection reset when it is closed."""


def truncate(pieces: list[bytes], cut: Cut) -> list[bytes]:
    """Return the pieces of a body that are sent before it is cut."""
    first, rest = pieces[:1], pieces[1:2]
    match cut:
        case Cut.BEFORE_EVENTS:
            return []
        case Cut.IN_FIRST_EVENT:
            return [piece[:FRAGMENT_BYTES] for piece in first]
        case Cut.IN_LATER_EVENT:
            return first + [piece[:FRAGMENT_BYTES] for piece in rest]
        case Cut.BEFORE_LAST_NEWLINE:
            return first + [piece[:-1] for piece in rest]
        case Cut.BETWEEN_EVENTS:
            return first
    return pieces


def send(
    output: Output,
    form: Form,
    headers: Headers,
    pieces: list[bytes],
    pause: typing.Callable[[], object],
) -> typing.NoReturn:
    """Send an answer and end its connection.

    Raises
    ------
    Dropped
        Always, so that the server closes the connection.
    """
    sent = truncate(pieces, form.cut)
    claimed = sent if form.ending is Ending.FRAMED else pieces
    if form.framing is Framing.LENGTH:
        headers = (*headers, ("Content-Length", str(sum(map(len, claimed)))))
    if form.framing is Framing.CHUNKED:
        headers = (*headers, ("Transfer-Encoding", "chunked"))
    lines = [f"{name}: {value}\r\n" for name, value in headers]
    head = f"HTTP/{form.version} 200 OK\r\n{''.join(lines)}\r\n"
    output.send(head.encode())
    for piece in sent:
        chunked = form.framing is Framing.CHUNKED
        output.send(frame(piece) if chunked else piece)
        pause()
    if form.framing is Framing.CHUNKED and form.is_marked_complete:
        output.send(b"0\r\n\r\n")
    if form.ending is Ending.RESET:
        output.reset_on_close()
    raise http_messages.Dropped


def frame(piece: bytes) -> bytes:
    """Return a chunk."""
    return b"%x\r\n%s\r\n" % (len(piece), piece)
