"""The members of other cells, from their summaries."""

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
class TrackedSummary:
    """A summary, and when its cell's beat last advanced.

    Attributes
    ----------
    summary
        The newest summary of the cell.
    beat_at
        Monotonic time at which an advanced beat was last received.
    """

    summary: messages.CellSummary
    beat_at: float


@dataclasses.dataclass(frozen=True)
class DerivedView:
    """Results computed from the summaries, cached until they change.

    Attributes
    ----------
    revision, lost, own_cell
        Inputs of the computation.
    digest
        Digest of the versions and the lost cells.
    members
        Members of the other cells.
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
        self.summaries: dict[str, TrackedSummary] = {}
        self.reported_lost: frozenset[str] = frozenset()
        self.is_contact = True
        self.revision = 0
        self.derived = DerivedView(-1, frozenset(), "", b"", ())

    def apply(
        self, summaries: typing.Iterable[messages.CellSummary]
    ) -> tuple[messages.CellSummary, ...]:
        """Apply summaries; return those whose members changed."""
        updates = []
        with self.lock:
            for summary in summaries:
                tracked = self.summaries.get(summary.cell)
                if tracked is not None and not is_newer(
                    summary.stamp, tracked.summary.stamp
                ):
                    continue
                self.summaries[summary.cell] = TrackedSummary(
                    summary, self.clock()
                )
                if (
                    tracked is None
                    or tracked.summary.stamp.version != summary.stamp.version
                ):
                    self.revision += 1
                    updates.append(summary)
        return tuple(updates)

    def apply_stamps(
        self, stamps: typing.Mapping[str, messages.CellStamp]
    ) -> None:
        """Apply beats of cells whose known members are unchanged."""
        with self.lock:
            for cell, stamp in stamps.items():
                tracked = self.summaries.get(cell)
                if tracked is None:
                    continue
                previous = tracked.summary.stamp
                if (
                    previous.version == stamp.version
                    and previous.beat < stamp.beat
                ):
                    summary = dataclasses.replace(tracked.summary, stamp=stamp)
                    self.summaries[cell] = TrackedSummary(
                        summary, self.clock()
                    )

    def summary(self, cell: str) -> messages.CellSummary | None:
        """Return the newest summary of a cell."""
        tracked = self.summaries.get(cell)
        return None if tracked is None else tracked.summary

    def stamps(self) -> dict[str, messages.CellStamp]:
        """Return the version of each summary."""
        with self.lock:
            return {
                cell: tracked.summary.stamp
                for cell, tracked in self.summaries.items()
            }

    def updates_for(self, query: messages.CellsAsked) -> messages.CellsNews:
        """Return what is newer than a query's versions."""
        summaries = []
        stamps = {}
        with self.lock:
            for cell, tracked in self.summaries.items():
                previous = query.stamps.get(cell)
                stamp = tracked.summary.stamp
                if previous is None or previous.version < stamp.version:
                    summaries.append(tracked.summary)
                elif (
                    previous.version == stamp.version
                    and previous.beat < stamp.beat
                ):
                    stamps[cell] = stamp
        return messages.CellsNews(
            tuple(summaries), stamps, tuple(sorted(self.lost()))
        )

    def lost(self) -> frozenset[str]:
        """Return the cells that seem dead or unreachable.

        Agents outside a cell receive no heartbeats of its members, so the
        summary of a zone that failed completely stays as it was, but its
        beat stops.  Agents that are no contacts do not receive beats and
        use the lost cells that a contact reports.
        """
        if not self.is_contact:
            return self.reported_lost
        cutoff = self.clock() - LOST_AFTER_S
        return frozenset(
            cell
            for cell, tracked in list(self.summaries.items())
            if tracked.beat_at < cutoff
        )

    def forget(self) -> None:
        """Drop cells that have been lost for ``FORGET_AFTER_S``."""
        cutoff = self.clock() - FORGET_AFTER_S
        with self.lock:
            for cell, tracked in list(self.summaries.items()):
                if tracked.beat_at < cutoff and self.is_contact:
                    del self.summaries[cell]
                    self.revision += 1
                    log.info("cell_forgotten", cell=cell)

    def digest(self) -> bytes:
        """Return a digest of the known members and the lost cells."""
        return self.derive(self.derived.own_cell).digest

    def members(self, own_cell: str) -> tuple[state.Member, ...]:
        """Return the members of all other cells, each name once.

        The same tuple is returned until something changes.
        """
        return self.derive(own_cell).members

    def derive(self, own_cell: str) -> DerivedView:
        """Return the results, recomputed only after a change."""
        lost = self.lost()
        derived = self.derived
        if (
            derived.revision != self.revision
            or derived.lost != lost
            or derived.own_cell != own_cell
        ):
            derived = DerivedView(
                self.revision,
                lost,
                own_cell,
                self.build_digest(lost),
                self.build_members(own_cell, lost),
            )
            self.derived = derived
        return derived

    def build_digest(self, lost: frozenset[str]) -> bytes:
        """Return the digest of the summaries' versions and the lost cells."""
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

        A name may be in two summaries after the division into cells has
        changed: the later incarnation has precedence, and live cells have
        precedence over lost ones.
        """
        with self.lock:
            summaries = [
                (tracked.summary, tracked.summary.cell in lost)
                for cell, tracked in self.summaries.items()
                if cell != own_cell
            ]
        summaries.sort(key=lambda pair: pair[1])
        members: dict[str, state.Member] = {}
        for summary, is_lost in summaries:
            for about in summary.members:
                member = member_of(about, summary.cell, is_lost)
                previous = members.get(about.name)
                if previous is None or (
                    not is_lost and previous.incarnation < about.incarnation
                ):
                    members[about.name] = member
        return tuple(members.values())


def is_newer(one: messages.CellStamp, other: messages.CellStamp) -> bool:
    """Return whether a stamp is newer than another."""
    return (one.version, one.beat) > (other.version, other.beat)


def member_of(about: messages.About, cell: str, lost: bool) -> state.Member:
    """Return an agent of another cell as a member."""
    member_state = state.MemberState.ALIVE
    if lost:
        member_state = state.MemberState.SUSPECT
    if about.leaving:
        member_state = state.MemberState.LEAVING
    return state.Member(
        name=about.name,
        zone=about.zone,
        cell=cell,
        agent_address=about.address,
        entry_addresses=about.entries,
        state=member_state,
        incarnation=about.incarnation,
    )
