"""Messages between agents about the configuration."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("configuration.fetch-records")
@dataclasses.dataclass(frozen=True)
class FetchRecords:
    """Query a peer for records after ``after``.

    Attributes
    ----------
    after
        Offset of the last record that the sender has applied.
    wait_ms
        Maximum time that the peer waits for a record before it answers.
    """

    after: int
    wait_ms: int = 0


@codec.message("configuration.records")
@dataclasses.dataclass(frozen=True)
class Records:
    """Records in order of offset, without gaps.

    Attributes
    ----------
    ready
        Whether the peer has loaded a tree.
    offset
        Offset of the last record that the peer has applied.
    digest
        Digest of the peer's fold at that offset.
    proof_age_ms
        Age of the last proof that the peer's state was the log's end;
        -1 for never.
    retained
        Whether the peer holds every record after ``after``.
    data
        The encoded records; the first has offset ``after`` + 1.
    """

    ready: bool
    offset: int
    digest: str
    proof_age_ms: int
    retained: bool
    data: tuple[bytes, ...] = ()


@codec.message("configuration.fetch-state")
@dataclasses.dataclass(frozen=True)
class FetchState:
    """Query a peer for one part of its complete state."""

    part: int = 0


@codec.message("configuration.state")
@dataclasses.dataclass(frozen=True)
class State:
    """One part of a peer's state.

    Attributes
    ----------
    ready
        Whether the peer has loaded a tree; if not, all else is empty.
    offset
        Offset of the last record applied.
    digest
        Digest of the fold.
    parts
        Number of parts.
    part
        Index of this part, from 0.
    data
        Bytes of this part.
    """

    ready: bool
    offset: int = 0
    digest: str = ""
    parts: int = 0
    part: int = 0
    data: bytes = b""
