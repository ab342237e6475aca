"""Splitting of a stream of server-sent events into its events.

Lines end with LF, CRLF or CR, and an empty line ends an event.
"""

from __future__ import annotations

import dataclasses

from briarseam import bounded_reads

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
CRLF = b"\r\n"
LF = b"\n"
CR = b"\r"
COMMENT = b":"
ID = b"id"
DATA = b"data"
NULL = b"\0"
# Comments and empty lines keep a connection alive; engines send one now and
# then.
MAX_IDLE_LINES = 64


@dataclasses.dataclass(frozen=True)
class Event:
    """The bytes up to an empty line: an event, or what is between events.

    Attributes
    ----------
    raw
        Its bytes, unchanged.
    id
        Its id; ``None`` if it has none.
    has_data
        Whether it has data.  Of events without data, callers use the id only.
    """

    raw: bytes
    id: str | None = None
    has_data: bool = False


class LineEnds:
    """The line ends of a stream, which tell whether the last is truncated."""

    def __init__(self) -> None:
        self.any_crlf = False
        self.any_other = False
        # Whether an empty line ended with CR, so that an LF may follow.
        self.after_cr = False

    def add(self, line: bytes) -> None:
        """Add the end of the next complete line."""
        if self.after_cr:
            self.after_cr = False
            if line == LF:
                self.any_crlf = True
                return
            self.any_other = True
        if line == CR:
            self.after_cr = True
        elif line.endswith(CRLF):
            self.any_crlf = True
        else:
            self.any_other = True

    def is_truncated(self) -> bool:
        """Return whether the last LF of a stream with CRLF is missing."""
        return self.after_cr and self.any_crlf and not self.any_other


class Splitter:
    """Splits a stream into events as its bytes arrive.

    Attributes
    ----------
    remainder
        Bytes after the last complete event.
    events_with_data
        Number of events so far that have data.
    """

    def __init__(self) -> None:
        self.remainder = b""
        # Length of the complete lines at the start of the remainder.
        self.parsed_bytes = 0
        self.at_start = True
        self.fields: dict[bytes, bytes] = {}
        self.line_ends = LineEnds()
        self.events_with_data = 0
        # Empty lines and comments since the last event with data.
        self.idle_lines = 0

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are complete with these bytes.

        Raises
        ------
        TooManyBytesError
            If there are too many lines without any event.
        """
        self.remainder += data
        found = []
        event_start = 0
        for line in self.complete_lines():
            self.parsed_bytes += len(line)
            self.line_ends.add(line)
            content = self.content_of(line)
            if not content or content.startswith(COMMENT):
                self.count_idle_line()
            if content:
                self.add_field(content)
                continue
            raw = self.remainder[event_start : self.parsed_bytes]
            found.append(self.end_event(raw))
            event_start = self.parsed_bytes
        self.remainder = self.remainder[event_start:]
        self.parsed_bytes -= event_start
        return found

    def count_idle_line(self) -> None:
        """Count a line that is part of no event."""
        self.idle_lines += 1
        if self.idle_lines > MAX_IDLE_LINES:
            raise bounded_reads.TooManyBytesError(
                f"more than {MAX_IDLE_LINES} lines without an event"
            )

    def complete_lines(self) -> list[bytes]:
        """Return the lines of the remainder whose end has arrived.

        The LF of a CRLF may arrive later than its CR.  Taken for an empty
        line, it would end the event too early.  After an empty line it does
        no harm.
        """
        lines = self.remainder[self.parsed_bytes :].splitlines(keepends=True)
        if not lines:
            return []
        last = lines[-1]
        is_complete = last[-1:] in CRLF
        if not is_complete or (last[-1:] == CR and last != CR):
            lines.pop()
        return lines

    def content_of(self, line: bytes) -> bytes:
        """Return a line without its end, and without a byte order mark."""
        content = line.rstrip(CRLF)
        if self.at_start:
            self.at_start = False
            return content.removeprefix(BYTE_ORDER_MARK)
        return content

    def add_field(self, content: bytes) -> None:
        """Add the field in a line; comments have none."""
        name, _, value = content.partition(b":")
        if name:
            self.fields[name] = value

    def end_event(self, raw: bytes) -> Event:
        """Return the event that an empty line ends."""
        value = self.fields.get(ID, NULL)
        # The format ignores ids with a null character.
        event_id = None if NULL in value else value.strip().decode("latin-1")
        event = Event(raw, event_id, DATA in self.fields)
        if event.has_data:
            self.events_with_data += 1
            self.idle_lines = 0
        self.fields = {}
        return event

    def is_inside_event(self) -> bool:
        """Return whether the stream would be incomplete if it ended here.

        Comments between events belong to none.
        """
        if not self.remainder and self.line_ends.is_truncated():
            return True
        unfinished = self.remainder[self.parsed_bytes :]
        if self.at_start:
            unfinished = unfinished.removeprefix(BYTE_ORDER_MARK)
        if unfinished.endswith(CR):
            # Nothing follows, so the line is complete.
            unfinished = unfinished.rstrip(CR)
            if unfinished.startswith(COMMENT):
                unfinished = b""
        return bool(self.fields or unfinished)
