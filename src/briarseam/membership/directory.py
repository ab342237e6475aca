"""What is known of the other cells."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog
import xxhash

from briarseam.membership import messages
from briarseam.membership import state

if typing.TYPE_CHECKING:
    from briarseam.membership import table as tables

LOST_AFTER_S = 20.0
FORGET_AFTER_S = 600.0
DIGEST_BYTES = 8
log = structlog.get_logger("briarseam.membership")


@dataclasses.dataclass(frozen=True)
class Known:
    """A summary and when its cell was last seen to live.

    Attributes
    ----------
    summary
        The newest one.
    beat_at
        Monotonic time at which its beat last rose here.
    """

    summary: messages.CellSummary
    beat_at: float


@dataclasses.dataclass(frozen=True)
class Answer:
    """What is worked out from the summaries, kept until they change.

    Attributes
    ----------
    revision, lost, own_cell
        What it was worked out from.
    digest
        Of versions and lost cells.
    members
        Of the other cells.
    """

    revision: int
    lost: frozenset[str]
    own_cell: str
    digest: bytes
    members: tuple[state.Member, ...]


class Directory:
    """The newest summary of each cell.

    Parameters
    ----------
    clock
        Monotonic clock.
    """

    def __init__(self, clock: tables.Clock) -> None:
        self.clock = clock
        self.lock = threading.Lock()
        self.known: dict[str, Known] = {}
        self.told_lost: frozenset[str] = frozenset()
        self.judges = True
        self.revision = 0
        self.answer = Answer(-1, frozenset(), "", b"", ())

    def apply(
        self, summaries: typing.Iterable[messages.CellSummary]
    ) -> tuple[messages.CellSummary, ...]:
        """Take in summaries; return those that were news."""
        news = []
        with self.lock:
            for summary in summaries:
                found = self.known.get(summary.cell)
                if found is not None and not is_newer(
                    summary.stamp, found.summary.stamp
                ):
                    continue
                self.known[summary.cell] = Known(summary, self.clock())
                if (
                    found is None
                    or found.summary.stamp.version != summary.stamp.version
                ):
                    self.revision += 1
                    news.append(summary)
        return tuple(news)

    def take_stamps(
        self, stamps: typing.Mapping[str, messages.CellStamp]
    ) -> None:
        """Take in that cells went on living with the members known."""
        with self.lock:
            for cell, stamp in stamps.items():
                found = self.known.get(cell)
                if found is None:
                    continue
                have = found.summary.stamp
                if have.version == stamp.version and have.beat < stamp.beat:
                    summary = dataclasses.replace(found.summary, stamp=stamp)
                    self.known[cell] = Known(summary, self.clock())

    def summary(self, cell: str) -> messages.CellSummary | None:
        """Return the newest summary of a cell."""
        found = self.known.get(cell)
        return None if found is None else found.summary

    def stamps(self) -> dict[str, messages.CellStamp]:
        """Return how new each summary is."""
        with self.lock:
            return {
                cell: found.summary.stamp for cell, found in self.known.items()
            }

    def news_for(self, asked: messages.CellsAsked) -> messages.CellsNews:
        """Return what an asking agent does not have."""
        summaries = []
        stamps = {}
        with self.lock:
            for cell, found in self.known.items():
                have = asked.stamps.get(cell)
                stamp = found.summary.stamp
                if have is None or have.version < stamp.version:
                    summaries.append(found.summary)
                elif have.version == stamp.version and have.beat < stamp.beat:
                    stamps[cell] = stamp
        return messages.CellsNews(
            tuple(summaries), stamps, tuple(sorted(self.lost()))
        )

    def lost(self) -> frozenset[str]:
        """Return the cells that seem dead or cut off.

        Nobody outside a cell hears its members, so the summary of a zone
        that went down as a whole would stay as it was.  Its beat stops.
        Agents that do not exchange beats take the word of those that do.
        """
        if not self.judges:
            return self.told_lost
        oldest = self.clock() - LOST_AFTER_S
        return frozenset(
            cell
            for cell, found in list(self.known.items())
            if found.beat_at < oldest
        )

    def forget(self) -> None:
        """Drop cells that have been lost for long."""
        oldest = self.clock() - FORGET_AFTER_S
        with self.lock:
            for cell, found in list(self.known.items()):
                if found.beat_at < oldest and self.judges:
                    del self.known[cell]
                    self.revision += 1
                    log.info("cell_forgotten", cell=cell)

    def digest(self) -> bytes:
        """Return a digest of the members known and the cells lost."""
        return self.answered(self.answer.own_cell).digest

    def members(self, own_cell: str) -> tuple[state.Member, ...]:
        """Return the members of all other cells, each name once.

        The same tuple is returned until something changes.
        """
        return self.answered(own_cell).members

    def answered(self, own_cell: str) -> Answer:
        """Return the present answer, worked out anew only after a change."""
        lost = self.lost()
        answer = self.answer
        if (
            answer.revision != self.revision
            or answer.lost != lost
            or answer.own_cell != own_cell
        ):
            answer = Answer(
                self.revision,
                lost,
                own_cell,
                self.build_digest(lost),
                self.build_members(own_cell, lost),
            )
            self.answer = answer
        return answer

    def build_digest(self, lost: frozenset[str]) -> bytes:
        """Return the digest of what is known."""
        parts = [
            f"{cell}\0{stamp.version}" for cell, stamp in self.stamps().items()
        ]
        text = "\n".join([*sorted(parts), "lost", *sorted(lost)])
        digest: int = xxhash.xxh64_intdigest(text.encode())
        return digest.to_bytes(DIGEST_BYTES, "big")

    def build_members(
        self, own_cell: str, lost: frozenset[str]
    ) -> tuple[state.Member, ...]:
        """Return the members of the other cells.

        A name may stand in two summaries after cells were cut anew: the
        later start counts, and a living cell before a lost one.
        """
        with self.lock:
            known = [
                (found.summary, found.summary.cell in lost)
                for cell, found in self.known.items()
                if cell != own_cell
            ]
        known.sort(key=lambda pair: pair[1])
        members: dict[str, state.Member] = {}
        for summary, is_lost in known:
            for about in summary.members:
                member = member_of(about, summary.cell, is_lost)
                have = members.get(about.name)
                if have is None or (
                    not is_lost and have.incarnation < about.incarnation
                ):
                    members[about.name] = member
        return tuple(members.values())


def is_newer(one: messages.CellStamp, other: messages.CellStamp) -> bool:
    """Tell whether a stamp is newer than another."""
    return (one.version, one.beat) > (other.version, other.beat)


def member_of(about: messages.About, cell: str, lost: bool) -> state.Member:
    """Return the member that an agent of another cell is."""
    now = state.MemberState.ALIVE
    if lost:
        now = state.MemberState.SUSPECT
    if about.leaving:
        now = state.MemberState.LEAVING
    return state.Member(
        name=about.name,
        zone=about.zone,
        cell=cell,
        agent_address=about.address,
        entry_addresses=about.entries,
        state=now,
        incarnation=about.incarnation,
    )
