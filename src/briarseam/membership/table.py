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
        local_agent: state.LocalAgent,
        cell_of: cells.CellOf,
        suspect_after_s: float,
        clock: Clock,
    ) -> None:
        self.local_agent = local_agent
        self.cell_of = cell_of
        self.suspect_after_s = suspect_after_s
        self.clock = clock
        self.lock = threading.RLock()
        self.records: dict[str, state.PeerRecord] = {}
        self.reviewed_at = clock()
        self.resumed_at = self.reviewed_at

    def own_cell(self) -> str:
        """Return this agent's cell."""
        return self.cell_of(self.local_agent.name, self.local_agent.zone)

    def in_cell(self, name: str, zone: str) -> bool:
        """Tell whether the agent is another one of this cell."""
        if name == self.local_agent.name or zone != self.local_agent.zone:
            return False
        return self.cell_of(name, zone) == self.own_cell()

    def get_or_add(
        self, name: str, zone: str, address: str
    ) -> state.PeerRecord:
        """Return the record of a peer, added when there is none."""
        record = self.records.get(name)
        if record is None:
            record = state.PeerRecord(
                name=name,
                zone=zone,
                cell=self.cell_of(name, zone),
                agent_address=address,
                added_at=self.clock(),
            )
            self.records[name] = record
            log.info("peer_found", peer=name, address=address)
        return record

    def apply_listing(
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
                record = self.get_or_add(row.name, row.zone, row.address)
                record.cell = self.cell_of(row.name, row.zone)
                record.listed_address = row.address
                record.listed_leaving = row.state == "leaving"
                # The list lags: its address counts only for an agent that
                # is not heard just now under another one.
                if record.state is not state.MemberState.ALIVE:
                    record.agent_address = row.address
            for name, record in self.records.items():
                if name not in rows:
                    record.listed_address = ""
                    record.listed_leaving = False

    def apply_peer_report(self, about: messages.About) -> None:
        """Take in an agent that a peer hears; it is not yet heard here."""
        with self.lock:
            if not self.in_cell(about.name, about.zone):
                return
            record = self.records.get(about.name)
            if record is None:
                self.get_or_add(about.name, about.zone, about.address)
            elif about.incarnation > record.incarnation:
                record.agent_address = about.address

    def apply_about(self, about: messages.About, contact_at: float) -> bool:
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
            record = self.get_or_add(about.name, about.zone, about.address)
            if self.supersedes(record, about.incarnation):
                return False
            if about.incarnation != record.incarnation:
                # A restarted instance keeps nothing of the earlier one.
                record.sections = {}
                record.last_contact_at = None
            record.incarnation = about.incarnation
            record.agent_address = about.address
            record.entry_addresses = about.entries
            record.announced_leaving = about.leaving
            self.record_contact(record, contact_at)
            return True

    def supersedes(self, record: state.PeerRecord, incarnation: int) -> bool:
        """Tell whether a record is of a later start and still heard.

        A clock set back would give a restarted instance a lower number, so
        the number counts only while the higher one is being heard.
        """
        silent_s = record.silent_s(self.clock())
        return (
            incarnation < record.incarnation
            and silent_s < self.suspect_after_s
        )

    def record_review(self, now: float) -> None:
        """Note that the table is being reviewed; find out about a freeze.

        A process that was frozen wakes with everybody silent for as long.
        Judged by that, all would be gone at once, though it was this
        process that did not listen.  Silence before the waking therefore
        makes a member suspect and never gone.
        """
        if now - self.reviewed_at > self.suspect_after_s:
            self.resumed_at = now
        self.reviewed_at = now

    def record_contact(
        self, record: state.PeerRecord, contact_at: float
    ) -> None:
        """Move on the time of the last word from a peer, never back."""
        if (
            record.last_contact_at is None
            or contact_at > record.last_contact_at
        ):
            record.last_contact_at = contact_at

    def digest(self, own_incarnation: int) -> int:
        """Return a digest of the agents heard, with this one."""
        with self.lock:
            live = [
                f"{record.name}\0{record.incarnation}"
                for record in self.records.values()
                if record.state
                in (state.MemberState.ALIVE, state.MemberState.LEAVING)
            ]
        live.append(f"{self.local_agent.name}\0{own_incarnation}")
        return xxhash.xxh64_intdigest("\n".join(sorted(live)).encode())

    def live_abouts(self) -> tuple[messages.About, ...]:
        """Return the peers that are heard, as they said of themselves."""
        with self.lock:
            return tuple(
                messages.About(
                    name=record.name,
                    zone=record.zone,
                    address=record.agent_address,
                    entries=record.entry_addresses,
                    incarnation=record.incarnation,
                    leaving=record.is_leaving(),
                )
                for record in self.records.values()
                if record.state
                in (state.MemberState.ALIVE, state.MemberState.LEAVING)
            )

    def members(self) -> tuple[state.Member, ...]:
        """Return the peers that are not gone."""
        now = self.clock()
        with self.lock:
            return tuple(
                record.to_member(now)
                for record in self.records.values()
                if record.state is not state.MemberState.GONE
                and record.incarnation
            )
