"""Messages between agents about the members of cells."""

from __future__ import annotations

import dataclasses
import enum

from briarseam.wire import codec


@codec.message("about")
@dataclasses.dataclass(frozen=True)
class About:
    """An agent's description of itself; changes rarely.

    Attributes
    ----------
    name, zone, address, entries
        Name, availability zone, address for peers and addresses of entries,
        from the agent's settings.
    incarnation
        Number that increases with each start of the process.
    leaving
        Whether the agent is shutting down and accepts no new sessions.
    """

    name: str
    zone: str
    address: str
    entries: tuple[str, ...]
    incarnation: int
    leaving: bool


@codec.message("introduction")
@dataclasses.dataclass(frozen=True)
class Introduction:
    """A full heartbeat, which describes the sending agent.

    It is sent on a new connection, after a change and at a long interval.

    Attributes
    ----------
    about
        The sender's description of itself.
    digest
        Digest of the members that the sender considers live.
    sections
        All sections, or those that changed.
    """

    about: About
    digest: int
    sections: dict[str, bytes]


@codec.message("heartbeat")
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """A short heartbeat, without what the peer already has.

    The sender's name is known from the connection.  Heartbeats are most of
    the traffic within a cell, so it has only fields that each one needs.

    Attributes
    ----------
    incarnation, digest
        As in :class:`Introduction`.
    sections
        Sections that changed since the last heartbeat.
    """

    incarnation: int
    digest: int
    sections: dict[str, bytes]


@codec.message("introduced")
@dataclasses.dataclass(frozen=True)
class Introduced:
    """Reply to an introduction: the peer's description of itself."""

    about: About
    digest: int


@codec.message("alive")
@dataclasses.dataclass(frozen=True)
class Alive:
    """Reply to a heartbeat."""

    incarnation: int
    digest: int


@codec.message("unknown-agent")
@dataclasses.dataclass(frozen=True)
class UnknownAgent:
    """Reply to a heartbeat whose sender the peer does not know."""


@codec.message("superseded")
@dataclasses.dataclass(frozen=True)
class Superseded:
    """Reply to a sender whose instance has a later incarnation."""


@codec.message("peers-asked")
@dataclasses.dataclass(frozen=True)
class PeersAsked:
    """Query for the agents of the cell that a peer considers live."""


@codec.message("peers")
@dataclasses.dataclass(frozen=True)
class Peers:
    """Reply with the live agents of the cell, the sender included."""

    members: tuple[About, ...]


@codec.message("heard-asked")
@dataclasses.dataclass(frozen=True)
class HeardAsked:
    """Query for when a peer last received from the named agent."""

    name: str


@codec.message("heard")
@dataclasses.dataclass(frozen=True)
class Heard:
    """Reply with the time since the sender received from the named agent.

    Attributes
    ----------
    silent_s
        Seconds of silence; ``None`` if it never received anything.
    incarnation
        The named agent's incarnation at that time.
    """

    silent_s: float | None
    incarnation: int


class EntryState(enum.StrEnum):
    """State that an entry process reports."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@codec.message("entry-here")
@dataclasses.dataclass(frozen=True)
class EntryHere:
    """Report of an entry process to its agent.

    Attributes
    ----------
    address
        ``ip:port`` where callers reach the entry.
    state
        Whether lookups may return the entry.
    """

    address: str
    state: EntryState


@codec.message("entry-noted")
@dataclasses.dataclass(frozen=True)
class EntryNoted:
    """The agent's reply to an entry process.

    Attributes
    ----------
    told
        Whether all live peers have the entry's current state.
    linger_s
        Seconds for which callers may still connect to an entry after all
        peers know that it is leaving.
    """

    told: bool
    linger_s: float


@codec.message("cell-stamp")
@dataclasses.dataclass(frozen=True)
class CellStamp:
    """Version of a cell's summary.

    Attributes
    ----------
    version
        Number that increases with each change of the members.
    beat
        Time in milliseconds that advances while the cell is alive.
    """

    version: int
    beat: int


@codec.message("cell-summary")
@dataclasses.dataclass(frozen=True)
class CellSummary:
    """The members of one cell, as one of its agents reports them.

    Attributes
    ----------
    cell
        ``ZONE/PART``.
    stamp
        Version of the summary.
    members
        The cell's live agents.
    """

    cell: str
    stamp: CellStamp
    members: tuple[About, ...]


@codec.message("cells-asked")
@dataclasses.dataclass(frozen=True)
class CellsAsked:
    """Query for newer summaries of other cells.

    Attributes
    ----------
    stamps
        Versions that the sender has, by cell.
    news
        Updated summaries that the sender passes on.
    """

    stamps: dict[str, CellStamp]
    news: tuple[CellSummary, ...]


@codec.message("cells-news")
@dataclasses.dataclass(frozen=True)
class CellsNews:
    """Reply with what is newer than the query's versions.

    Attributes
    ----------
    summaries
        Summaries of cells whose members changed.
    stamps
        Versions of cells whose beat advanced with the members unchanged.
    lost
        Cells that seem to be dead or unreachable.
    """

    summaries: tuple[CellSummary, ...]
    stamps: dict[str, CellStamp]
    lost: tuple[str, ...]
