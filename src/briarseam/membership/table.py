"""The table of the cell's other agents, modified only under its lock."""

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
    """Records of the other agents of the local cell.

    Parameters
    ----------
    local_agent
        The local agent.
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
        """Return the local agent's cell."""
        return self.cell_of(self.local_agent.name, self.local_agent.zone)

    def in_cell(self, name: str, zone: str) -> bool:
        """Return whether an agent is a peer in the local cell."""
        if name == self.local_agent.name or zone != self.local_agent.zone:
            return False
        return self.cell_of(name, zone) == self.own_cell()

    def get_or_add(
        self, name: str, zone: str, address: str
    ) -> state.PeerRecord:
        """Return the record of a peer; add one if it is missing."""
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
        """Apply the agents on the instance list."""
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
                # The list lags, so its address is used only for an agent that
                # is not alive at another address.
                if record.state is not state.MemberState.ALIVE:
                    record.agent_address = row.address
            for name, record in self.records.items():
                if name not in rows:
                    record.listed_address = ""
                    record.listed_leaving = False

    def apply_peer_report(self, about: messages.About) -> None:
        """Apply an agent that a peer reports as live.

        The agent becomes known; it is not live before direct contact.
        """
        with self.lock:
            if not self.in_cell(about.name, about.zone):
                return
            record = self.records.get(about.name)
            if record is None:
                self.get_or_add(about.name, about.zone, about.address)
            elif about.incarnation > record.incarnation:
                record.agent_address = about.address

    def apply_about(self, about: messages.About, contact_at: float) -> bool:
        """Apply an agent's description of itself.

        Returns
        -------
        bool
            False when a later incarnation of the same instance is live: the
            sender is superseded, for instance a suspended process that
            resumed after its replacement started.
        """
        with self.lock:
            if not self.in_cell(about.name, about.zone):
                return True
            record = self.get_or_add(about.name, about.zone, about.address)
            if self.supersedes(record, about.incarnation):
                return False
            if about.incarnation != record.incarnation:
                # Nothing of an earlier incarnation applies to the new one.
                record.sections = {}
                record.last_contact_at = None
            record.incarnation = about.incarnation
            record.agent_address = about.address
            record.entry_addresses = about.entries
            record.announced_leaving = about.leaving
            self.record_contact(record, contact_at)
            return True

    def supersedes(self, record: state.PeerRecord, incarnation: int) -> bool:
        """Return whether a record is of a later incarnation and still live.

        A restarted instance gets a lower number if its clock was set back,
        so the number decides only while the higher incarnation is live.
        """
        silent_s = record.silent_s(self.clock())
        return (
            incarnation < record.incarnation
            and silent_s < self.suspect_after_s
        )

    def record_review(self, now: float) -> None:
        """Record a review of the table; detect that the process was suspended.

        After a suspension all peers look silent, although it is the local
        process that did not receive.  Without this check it would remove all
        of them at once.  Silence before the resumption makes a member
        suspect, but never gone.
        """
        if now - self.reviewed_at > self.suspect_after_s:
            self.resumed_at = now
        self.reviewed_at = now

    def record_contact(
        self, record: state.PeerRecord, contact_at: float
    ) -> None:
        """Advance the time of the last contact with a peer, never back."""
        if (
            record.last_contact_at is None
            or contact_at > record.last_contact_at
        ):
            record.last_contact_at = contact_at

    def digest(self, own_incarnation: int) -> int:
        """Return a digest of the live agents, the local one included."""
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
        """Return the descriptions of the live peers."""
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
