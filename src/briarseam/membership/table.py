"""The table of the cell's other agents, changed only under its lock."""

from __future__ import annotations

import threading
import typing

import structlog
import xxhash

from briarseam.membership import messages
from briarseam.membership import state

if typing.TYPE_CHECKING:
    from briarseam.backing import instances
    from briarseam.membership import cells

log = structlog.get_logger("briarseam.membership")
Clock = typing.Callable[[], float]


class Table:
    """Records of the other agents of this cell.

    Parameters
    ----------
    me
        This agent.
    cell_of
        Returns the cell of an agent, which may change at any time.
    suspect_after_s
        Silence after which a member becomes suspect.
    clock
        Monotonic clock.
    """

    def __init__(
        self,
        me: state.LocalAgent,
        cell_of: cells.CellOf,
        suspect_after_s: float,
        clock: Clock,
    ) -> None:
        self.me = me
        self.cell_of = cell_of
        self.suspect_after_s = suspect_after_s
        self.clock = clock
        self.lock = threading.RLock()
        self.records: dict[str, state.Record] = {}
        self.reviewed_at = clock()
        self.woke_at = self.reviewed_at

    def my_cell(self) -> str:
        """Return this agent's cell."""
        return self.cell_of(self.me.name, self.me.zone)

    def in_cell(self, name: str, zone: str) -> bool:
        """Tell whether the agent is another one of this cell."""
        if name == self.me.name or zone != self.me.zone:
            return False
        return self.cell_of(name, zone) == self.my_cell()

    def record(self, name: str, zone: str, address: str) -> state.Record:
        """Return the record of a peer, added when there is none."""
        found = self.records.get(name)
        if found is None:
            found = state.Record(
                name=name,
                zone=zone,
                cell=self.cell_of(name, zone),
                agent_address=address,
                added_at=self.clock(),
            )
            self.records[name] = found
            log.info("peer_found", peer=name, address=address)
        return found

    def take_listing(
        self, listed: typing.Iterable[instances.Instance]
    ) -> None:
        """Take in the agents on the instance list."""
        with self.lock:
            rows = {
                row.name: row
                for row in listed
                if row.role == "agent" and self.in_cell(row.name, row.zone)
            }
            for row in rows.values():
                found = self.record(row.name, row.zone, row.address)
                found.cell = self.cell_of(row.name, row.zone)
                found.listed_address = row.address
                found.listed_leaving = row.state == "leaving"
                # The list lags: its address counts only for an agent that
                # is not heard just now under another one.
                if found.state is not state.MemberState.ALIVE:
                    found.agent_address = row.address
            for name, found in self.records.items():
                if name not in rows:
                    found.listed_address = ""
                    found.listed_leaving = False

    def take_hearsay(self, about: messages.About) -> None:
        """Take in an agent that a peer hears; it is not yet heard here."""
        with self.lock:
            if not self.in_cell(about.name, about.zone):
                return
            found = self.records.get(about.name)
            if found is None:
                self.record(about.name, about.zone, about.address)
            elif about.incarnation > found.incarnation:
                found.agent_address = about.address

    def take_about(self, about: messages.About, heard_at: float) -> bool:
        """Take in what an agent says of itself.

        Returns
        -------
        bool
            False when a later start of the same instance is heard: the
            sender is superseded, for instance a frozen process that woke
            after its replacement came up.
        """
        with self.lock:
            if not self.in_cell(about.name, about.zone):
                return True
            found = self.record(about.name, about.zone, about.address)
            if self.supersedes(found, about.incarnation):
                return False
            if about.incarnation != found.incarnation:
                # A restarted instance keeps nothing of the earlier one.
                found.sections = {}
                found.heard_at = None
            found.incarnation = about.incarnation
            found.agent_address = about.address
            found.entry_addresses = about.entries
            found.told_leaving = about.leaving
            self.note_heard(found, heard_at)
            return True

    def supersedes(self, found: state.Record, incarnation: int) -> bool:
        """Tell whether a record is of a later start and still heard.

        A clock set back would give a restarted instance a lower number, so
        the number counts only while the higher one is being heard.
        """
        silent_s = found.silent_s(self.clock())
        return (
            incarnation < found.incarnation and silent_s < self.suspect_after_s
        )

    def note_review(self, now: float) -> None:
        """Note that the table is being reviewed; find out about a freeze.

        A process that was frozen wakes with everybody silent for as long.
        Judged by that, all would be gone at once, though it was this
        process that did not listen.  Silence before the waking therefore
        makes a member suspect and never gone.
        """
        if now - self.reviewed_at > self.suspect_after_s:
            self.woke_at = now
        self.reviewed_at = now

    def note_heard(self, found: state.Record, heard_at: float) -> None:
        """Move on the time of the last word from a peer, never back."""
        if found.heard_at is None or heard_at > found.heard_at:
            found.heard_at = heard_at

    def digest(self, me_incarnation: int) -> int:
        """Return a digest of the agents heard, with this one."""
        with self.lock:
            heard = [
                f"{found.name}\0{found.incarnation}"
                for found in self.records.values()
                if found.state
                in (state.MemberState.ALIVE, state.MemberState.LEAVING)
            ]
        heard.append(f"{self.me.name}\0{me_incarnation}")
        return xxhash.xxh64_intdigest("\n".join(sorted(heard)).encode())

    def abouts(self) -> tuple[messages.About, ...]:
        """Return the peers that are heard, as they said of themselves."""
        with self.lock:
            return tuple(
                messages.About(
                    name=found.name,
                    zone=found.zone,
                    address=found.agent_address,
                    entries=found.entry_addresses,
                    incarnation=found.incarnation,
                    leaving=found.leaving(),
                )
                for found in self.records.values()
                if found.state
                in (state.MemberState.ALIVE, state.MemberState.LEAVING)
            )

    def members(self) -> tuple[state.Member, ...]:
        """Return the peers that are not gone."""
        now = self.clock()
        with self.lock:
            return tuple(
                found.member(now)
                for found in self.records.values()
                if found.state is not state.MemberState.GONE
                and found.incarnation
            )
