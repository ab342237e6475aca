"""Messages between agents about who is there."""

from __future__ import annotations

import dataclasses
import enum

from briarseam.wire import codec


@codec.message("about")
@dataclasses.dataclass(frozen=True)
class About:
    """What an agent says of itself; changes seldom.

    Attributes
    ----------
    name, zone, address, entries
        As its settings name it.
    incarnation
        Higher after each start of the process.
    leaving
        Whether it will soon be gone and takes no new sessions.
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
    """An agent tells a peer all about itself, as a heartbeat.

    It is sent on a new connection, after a change and now and then.

    Attributes
    ----------
    about
        What it says of itself.
    digest
        Of the peers it knows to be there.
    sections
        All sections, or those that changed.
    """

    about: About
    digest: int
    sections: dict[str, bytes]


@codec.message("heartbeat")
@dataclasses.dataclass(frozen=True)
class Heartbeat:
    """An agent tells a peer that it lives, and nothing that is known.

    Its name is the connection's.  This is most of the traffic within a
    cell, so it has no field that is not needed each time.

    Attributes
    ----------
    incarnation, digest
        As in the introduction before it.
    sections
        Those that changed since the last heartbeat.
    """

    incarnation: int
    digest: int
    sections: dict[str, bytes]


@codec.message("introduced")
@dataclasses.dataclass(frozen=True)
class Introduced:
    """The peer's answer to an introduction: its own."""

    about: About
    digest: int


@codec.message("alive")
@dataclasses.dataclass(frozen=True)
class Alive:
    """The peer's answer to a heartbeat."""

    incarnation: int
    digest: int


@codec.message("unknown-agent")
@dataclasses.dataclass(frozen=True)
class UnknownAgent:
    """The peer needs an introduction first."""


@codec.message("superseded")
@dataclasses.dataclass(frozen=True)
class Superseded:
    """The peer hears a later start of the same instance."""


@codec.message("peers-asked")
@dataclasses.dataclass(frozen=True)
class PeersAsked:
    """Ask which agents of the cell a peer hears."""


@codec.message("peers")
@dataclasses.dataclass(frozen=True)
class Peers:
    """The agents of the cell that the answering one hears, with itself."""

    members: tuple[About, ...]


@codec.message("heard-asked")
@dataclasses.dataclass(frozen=True)
class HeardAsked:
    """Ask whether a peer still hears the named agent."""

    name: str


@codec.message("heard")
@dataclasses.dataclass(frozen=True)
class Heard:
    """How long ago the answering agent heard the named one.

    Attributes
    ----------
    silent_s
        Seconds; ``None`` when it never did.
    incarnation
        Of the named agent when it was heard.
    """

    silent_s: float | None
    incarnation: int


class EntryState(enum.StrEnum):
    """What an entry process says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


@codec.message("entry-here")
@dataclasses.dataclass(frozen=True)
class EntryHere:
    """An entry process tells its agent that it lives.

    Attributes
    ----------
    address
        ``ip:port`` where callers reach it.
    state
        Whether callers may be sent to it.
    """

    address: str
    state: EntryState


@codec.message("entry-noted")
@dataclasses.dataclass(frozen=True)
class EntryNoted:
    """The agent's answer to its entry process.

    Attributes
    ----------
    told
        Whether all live peers know the entry's present state.
    linger_s
        For how long callers may come to an entry after all know that it
        is leaving.
    """

    told: bool
    linger_s: float


@codec.message("cell-stamp")
@dataclasses.dataclass(frozen=True)
class CellStamp:
    """How new a summary of a cell is.

    Attributes
    ----------
    version
        Higher with each change of the members.
    beat
        Higher while the cell lives; milliseconds.
    """

    version: int
    beat: int


@codec.message("cell-summary")
@dataclasses.dataclass(frozen=True)
class CellSummary:
    """The members of one cell, as one of its agents saw them.

    Attributes
    ----------
    cell
        ``ZONE/PART``.
    stamp
        How new it is.
    members
        Those that were heard.
    """

    cell: str
    stamp: CellStamp
    members: tuple[About, ...]


@codec.message("cells-asked")
@dataclasses.dataclass(frozen=True)
class CellsAsked:
    """Ask for what the sender does not know of other cells.

    Attributes
    ----------
    stamps
        What the sender has, by cell.
    news
        Summaries that the sender passes on.
    """

    stamps: dict[str, CellStamp]
    news: tuple[CellSummary, ...]


@codec.message("cells-news")
@dataclasses.dataclass(frozen=True)
class CellsNews:
    """What the answering agent has that is newer.

    Attributes
    ----------
    summaries
        Of cells whose members changed.
    stamps
        Of cells that only went on living.
    lost
        Cells that seem to have died or to be cut off.
    """

    summaries: tuple[CellSummary, ...]
    stamps: dict[str, CellStamp]
    lost: tuple[str, ...]
