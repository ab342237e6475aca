"""Exchange of summaries between cells.

The contacts of each cell, its first two members by hash, exchange summaries
with a contact of one random other cell at a time; a change is sent at once
to a few cells.  The other agents of a cell query a contact when the digest
in its heartbeats changes.
"""

from __future__ import annotations

import dataclasses
import random
import threading
import time
import typing

import structlog
import xxhash

from briarseam import backoff
from briarseam.membership import directory as directories
from briarseam.membership import messages
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.backing import instances
    from briarseam.membership import client_factory as client_factories
    from briarseam.membership import table as tables
    from briarseam.wire import server

SECTION = "cells"
CONTACTS_PER_CELL = 2
FANOUT = 3
BEAT_INTERVAL_MS = 5000
JITTER = 0.2
log = structlog.get_logger("briarseam.membership")


@dataclasses.dataclass(frozen=True)
class GossipParts:
    """Dependencies of the exchange, set up by ``membership.service``.

    Attributes
    ----------
    table
        The other agents of the local cell.
    calling
        Creates clients of agents in other cells.
    about
        Returns the local agent's description of itself.
    review
        Updates the view of all members after a change.
    interval_s
        Seconds between exchanges.
    """

    table: tables.Table
    client_factory: client_factories.ClientFactory
    about: typing.Callable[[], messages.About]
    review: typing.Callable[[], None]
    interval_s: float


class Gossip:
    """Keeps the directory of other cells up to date.

    Parameters
    ----------
    parts
        Dependencies.
    """

    def __init__(self, parts: GossipParts) -> None:
        self.parts = parts
        self.table = parts.table
        self.directory = directories.Directory(parts.table.clock)
        self.listed: dict[str, tuple[messages.About, ...]] = {}
        self.updates: dict[str, messages.CellSummary] = {}
        self.outdated = True
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.stopping = threading.Event()

    def register(self, router: server.Router) -> None:
        """Register the handler of other agents' exchanges."""
        router.on_nonblocking(messages.CellsAsked, self.on_cells_query)

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(
            target=self.run, name="membership-cells", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop after the current exchange."""
        self.stopping.set()
        self.wake.set()

    def run(self) -> None:
        """Exchange at each interval, and at once after an update."""
        while not self.stopping.is_set():
            try:
                self.step()
            except Exception:
                # An unexpected error must not end the thread: the view of
                # other cells would no longer change.
                log.exception("exchange_failed")
            self.wake.wait(backoff.jittered(self.parts.interval_s, JITTER))
            self.wake.clear()

    def step(self) -> None:
        """Exchange as a contact, or query a contact if out of date."""
        self.directory.forget()
        contacts = self.own_contacts()
        own_name = self.table.local_agent.name
        self.directory.is_contact = own_name in [
            about.name for about in contacts
        ]
        if self.directory.is_contact:
            self.update_own_summary()
            self.exchange()
        elif self.outdated:
            others = [about for about in contacts if about.name != own_name]
            self.outdated = not any(
                self.exchange_with(about) for about in others
            )

    # Tasks of the cell's contacts.

    def update_own_summary(self) -> None:
        """Update the summary of the local cell if its members changed."""
        # The members must not change before the summary has its version:
        # an older view with a later version would hide members from other
        # cells.
        with self.table.lock:
            due = self.next_own_summary()
            updates = self.directory.apply(due)
        self.queue_updates(updates)

    def next_own_summary(self) -> tuple[messages.CellSummary, ...]:
        """Return the next summary of the local cell; empty if none is due."""
        cell = self.table.own_cell()
        members = self.own_members()
        previous = self.directory.summary(cell)
        now_ms = time.time_ns() // 1_000_000
        stamp = (
            messages.CellStamp(0, 0) if previous is None else previous.stamp
        )
        if previous is None or previous.members != members:
            # Greater than the known version, so that other cells apply the
            # summary even if the clock was set back.
            version = max(now_ms, stamp.version + 1)
            stamp = messages.CellStamp(version, version)
        elif now_ms - stamp.beat >= BEAT_INTERVAL_MS:
            stamp = messages.CellStamp(stamp.version, now_ms)
        else:
            return ()
        return (messages.CellSummary(cell, stamp, members),)

    def own_members(self) -> tuple[messages.About, ...]:
        """Return the local cell's live members, sorted by name."""
        abouts = [*self.table.live_abouts(), self.parts.about()]
        return tuple(sorted(abouts, key=lambda about: about.name))

    def own_contacts(self) -> list[messages.About]:
        """Return the local cell's contacts."""
        return contacts_of(self.own_members())

    def exchange(self) -> None:
        """Exchange with one other cell, or with a few after an update."""
        with self.lock:
            updates, self.updates = tuple(self.updates.values()), {}
        partners = self.partners()
        random.shuffle(partners)
        for partner in partners[: FANOUT if updates else 1]:
            self.exchange_with(partner, updates)

    def partners(self) -> list[messages.About]:
        """Return one contact of each other cell."""
        own_cell = self.table.own_cell()
        contacts_by_cell = {
            cell: contacts_of(abouts) for cell, abouts in self.listed.items()
        }
        for cell in self.directory.stamps():
            summary = self.directory.summary(cell)
            if summary is not None and summary.members:
                contacts_by_cell[cell] = contacts_of(summary.members)
        return [
            random.choice(contacts)
            for cell, contacts in contacts_by_cell.items()
            if cell != own_cell and contacts
        ]

    # Tasks of all agents.

    def exchange_with(
        self,
        partner: messages.About,
        updates: tuple[messages.CellSummary, ...] = (),
    ) -> bool:
        """Exchange with one agent; return whether it replied."""
        client_factory = self.parts.client_factory
        client = client_factory.client(partner.address, max_idle=0)
        query = messages.CellsAsked(self.directory.stamps(), updates)
        try:
            reply = client.call(query, client_factory.reply_timeout_s)
        except connections.WireError:
            return False
        if not isinstance(reply, messages.CellsNews):
            return False
        self.queue_updates(self.directory.apply(reply.summaries))
        self.directory.apply_stamps(reply.stamps)
        self.directory.reported_lost = frozenset(reply.lost)
        return True

    def on_cells_query(
        self, peer: connections.Identity, query: messages.CellsAsked
    ) -> messages.CellsNews:
        """Handle another agent's exchange."""
        del peer
        self.queue_updates(self.directory.apply(query.news))
        self.directory.apply_stamps(query.stamps)
        return self.directory.updates_for(query)

    def queue_updates(self, updates: tuple[messages.CellSummary, ...]) -> None:
        """Queue updates for other cells, and wake the exchange."""
        if not updates:
            return
        with self.lock:
            for summary in updates:
                self.updates[summary.cell] = summary
        if self.directory.is_contact:
            self.wake.set()
        self.parts.review()

    def consume(self, member: str, digest: bytes) -> None:
        """Handle a peer's digest of its directory."""
        names = [about.name for about in self.own_contacts()]
        if member in names and digest != self.directory.digest():
            self.outdated = True
            self.wake.set()

    def apply_listing(self, rows: tuple[instances.Instance, ...]) -> None:
        """Apply the agents on the instance list, by cell."""
        by_cell: dict[str, list[messages.About]] = {}
        for row in rows:
            if row.role != "agent" or row.state == "leaving":
                continue
            cell = self.table.cell_of(row.name, row.zone)
            about = messages.About(
                row.name, row.zone, row.address, (), 0, False
            )
            by_cell.setdefault(cell, []).append(about)
        self.listed = {cell: tuple(abouts) for cell, abouts in by_cell.items()}


def contacts_of(
    members: typing.Iterable[messages.About],
) -> list[messages.About]:
    """Return a cell's contacts: its first members by hash that stay.

    Agents with different views of the cell may choose different contacts;
    then a few more agents exchange than necessary.
    """
    staying = [about for about in members if not about.leaving]
    staying.sort(key=lambda about: xxhash.xxh64_intdigest(about.name.encode()))
    return staying[:CONTACTS_PER_CELL]
