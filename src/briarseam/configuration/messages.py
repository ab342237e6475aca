"""Messages between agents about the configuration."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("configuration.fetch-records")
@dataclasses.dataclass(frozen=True)
class FetchRecords:
    """Ask a peer for records past ``after``; it may wait for some.

    Attributes
    ----------
    after
        Last offset the asker has folded.
    wait_ms
        How long the peer may hold the answer back while it has none.
    """

    after: int
    wait_ms: int = 0


@codec.message("configuration.records")
@dataclasses.dataclass(frozen=True)
class Records:
    """Records in order of offset without holes.

    Attributes
    ----------
    ready
        Whether the peer has a tree at all.
    offset
        Last offset the peer has folded.
    digest
        Digest of its fold at that offset.
    proof_age_ms
        How long ago the peer's state was last shown to be the log's end;
        -1 when never.
    retained
        Whether the peer still holds every record past ``after``.
    data
        The records' bytes; the first has offset ``after`` + 1.
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
    """Ask a peer for one part of its whole state."""

    part: int = 0


@codec.message("configuration.state")
@dataclasses.dataclass(frozen=True)
class State:
    """One part of a peer's state.

    Attributes
    ----------
    ready
        Whether the peer has a tree at all; if not, the rest is empty.
    offset
        Last offset folded in.
    digest
        Digest of the fold.
    parts
        Number of parts.
    part
        Which one this is, from 0.
    data
        Its bytes.
    """

    ready: bool
    offset: int = 0
    digest: str = ""
    parts: int = 0
    part: int = 0
    data: bytes = b""
