"""Messages between instances about records of shared topics."""

from __future__ import annotations

import msgspec

from briarseam.wire import codec


@codec.message("records-asked")
class RecordsAsked(msgspec.Struct, frozen=True):
    """Ask the cell's reader for records.

    Attributes
    ----------
    topic
        A shared topic.
    start
        First offset wanted.
    wait_s
        How long to wait for it, in seconds.
    unpacks
        Whether who asks can unpack values.
    """

    topic: str
    start: int
    wait_s: float
    unpacks: bool = False


@codec.message("records-told")
class RecordsTold(msgspec.Struct, frozen=True):
    """The reader's answer.

    Attributes
    ----------
    known
        Whether the reader knows all records from the offset on, and that
        there are no others.
    records
        Key and value of each; no value when the key was dropped.
    next
        Offset to read from next.
    away
        Whether the store does not answer the reader just now.
    packed
        Which of the records, by number, have a compressed value.
    """

    known: bool
    records: tuple[tuple[str, bytes | None], ...]
    next: int
    away: bool = False
    packed: tuple[int, ...] = ()


UNKNOWN = RecordsTold(False, (), 0)
STORE_UNAVAILABLE = RecordsTold(False, (), 0, away=True)
