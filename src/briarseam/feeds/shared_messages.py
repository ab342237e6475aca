"""Messages between instances for records of shared topics."""

from __future__ import annotations

import msgspec

from briarseam.wire import codec


@codec.message("records-asked")
class RecordsAsked(msgspec.Struct, frozen=True):
    """Query to a reader of the cell for records.

    Attributes
    ----------
    topic
        Name of the shared topic.
    start
        First offset to return.
    wait_s
        How long to wait for a record there, in seconds.
    unpacks
        Whether the querying instance can decompress values.
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
        Whether the reader has all records from the offset on.
    records
        Key and value of each record; no value if the key was deleted.
    next
        Offset to read from next.
    away
        Whether the reader gets no answers from the store.
    packed
        Indexes of the records whose value is compressed.
    age_ms
        How long ago the topic had no other changes, in ms; negative if that
        is not known.
    """

    known: bool
    records: tuple[tuple[str, bytes | None], ...]
    next: int
    away: bool = False
    packed: tuple[int, ...] = ()
    age_ms: int = -1


UNKNOWN = RecordsTold(False, (), 0)
STORE_UNAVAILABLE = RecordsTold(False, (), 0, away=True)
