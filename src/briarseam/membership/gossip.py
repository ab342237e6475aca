"""The sparse exchange between cells.

Each cell's first two agents by rank exchange summaries with those of other
cells, one at random at a time; a change is passed on at once to a few.  The
other agents of a cell ask one of the two when its digest changes, which
they see on its heartbeats.
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
    from briarseam.membership import calling as callings
    from briarseam.membership import table as tables
    from briarseam.wire import server

SECTION = "cells"
CONTACTS = 2
FANOUT = 3
BEAT_MS = 5000
JITTER = 0.2
log = structlog.get_logger("briarseam.membership")


@dataclasses.dataclass(frozen=True)
class GossipParts:
    """What the exchange needs, wired by ``membership.service``.

    Attributes
    ----------
    table
        The other agents of this cell.
    calling
        How agents of other cells are called.
    about
        Returns what this agent says of itself.
    review
        Renews the view of all members once there is news.
    interval_s
        Seconds between exchanges.
    """

    table: tables.Table
    calling: callings.Calling
    about: typing.Callable[[], messages.About]
    review: typing.Callable[[], None]
    interval_s: float


class Gossip:
    """Keeps the directory of other cells current.

    Parameters
    ----------
    parts
        What it needs.
    """

    def __init__(self, parts: GossipParts) -> None:
        self.parts = parts
        self.table = parts.table
        self.directory = directories.Directory(parts.table.clock)
        self.listed: dict[str, tuple[messages.About, ...]] = {}
        self.news: dict[str, messages.CellSummary] = {}
        self.behind = True
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.stopping = threading.Event()

    def register(self, router: server.Router) -> None:
        """Answer the exchange of other agents."""
        router.on_quick(messages.CellsAsked, self.on_asked)

    def start(self) -> None:
        """Begin to exchange."""
        threading.Thread(
            target=self.run, name="membership-cells", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop after the exchange under way."""
        self.stopping.set()
        self.wake.set()

    def run(self) -> None:
        """Exchange each interval, and at once when there is news."""
        while not self.stopping.is_set():
            try:
                self.step()
            except Exception:
                # A fault of ours must not end the thread: other cells
                # would stay as they were heard last.
                log.exception("exchange_failed")
            self.wake.wait(backoff.jittered(self.parts.interval_s, JITTER))
            self.wake.clear()

    def step(self) -> None:
        """Do what this agent's rank in its cell asks for."""
        self.directory.forget()
        contacts = self.own_contacts()
        me = self.table.me.name
        self.directory.judges = me in [about.name for about in contacts]
        if self.directory.judges:
            self.write_own()
            self.exchange()
        elif self.behind:
            others = [about for about in contacts if about.name != me]
            self.behind = not any(self.ask(about) for about in others)

    # As one of the cell's contacts.

    def write_own(self) -> None:
        """Renew the summary of this cell if its members changed."""
        # The members must not change before they have their version: an
        # older view with a later one would hide members from other cells.
        with self.table.lock:
            due = self.renewed_own()
            news = self.directory.apply(due)
        self.note_news(news)

    def renewed_own(self) -> tuple[messages.CellSummary, ...]:
        """Return the next summary of this cell; nothing if none is due."""
        cell = self.table.my_cell()
        members = self.own_members()
        have = self.directory.summary(cell)
        now_ms = time.time_ns() // 1_000_000
        stamp = messages.CellStamp(0, 0) if have is None else have.stamp
        if have is None or have.members != members:
            # Above what is known, so that a clock that was set back does
            # not keep this cell's news from being taken.
            version = max(now_ms, stamp.version + 1)
            stamp = messages.CellStamp(version, version)
        elif now_ms - stamp.beat >= BEAT_MS:
            stamp = messages.CellStamp(stamp.version, now_ms)
        else:
            return ()
        return (messages.CellSummary(cell, stamp, members),)

    def own_members(self) -> tuple[messages.About, ...]:
        """Return this cell's members that are heard, by name."""
        abouts = [*self.table.abouts(), self.parts.about()]
        return tuple(sorted(abouts, key=lambda about: about.name))

    def own_contacts(self) -> list[messages.About]:
        """Return this cell's contacts."""
        return contacts_of(self.own_members())

    def exchange(self) -> None:
        """Exchange with one other cell, or with a few when there is news."""
        with self.lock:
            news, self.news = tuple(self.news.values()), {}
        partners = self.partners()
        random.shuffle(partners)
        for partner in partners[: FANOUT if news else 1]:
            self.ask(partner, news)

    def partners(self) -> list[messages.About]:
        """Return one contact of each other cell."""
        own = self.table.my_cell()
        found = {
            cell: contacts_of(abouts) for cell, abouts in self.listed.items()
        }
        for cell in self.directory.stamps():
            summary = self.directory.summary(cell)
            if summary is not None and summary.members:
                found[cell] = contacts_of(summary.members)
        return [
            random.choice(contacts)
            for cell, contacts in found.items()
            if cell != own and contacts
        ]

    # As any agent.

    def ask(
        self,
        partner: messages.About,
        news: tuple[messages.CellSummary, ...] = (),
    ) -> bool:
        """Exchange with one agent; tell whether it answered."""
        calling = self.parts.calling
        client = calling.client(partner.address, max_idle=0)
        asked = messages.CellsAsked(self.directory.stamps(), news)
        try:
            reply = client.call(asked, calling.reply_timeout_s)
        except connections.WireError:
            return False
        if not isinstance(reply, messages.CellsNews):
            return False
        self.note_news(self.directory.apply(reply.summaries))
        self.directory.take_stamps(reply.stamps)
        self.directory.told_lost = frozenset(reply.lost)
        return True

    def on_asked(
        self, peer: connections.Identity, asked: messages.CellsAsked
    ) -> messages.CellsNews:
        """Answer an exchange."""
        del peer
        self.note_news(self.directory.apply(asked.news))
        self.directory.take_stamps(asked.stamps)
        return self.directory.news_for(asked)

    def note_news(self, news: tuple[messages.CellSummary, ...]) -> None:
        """Remember to pass news on, and do so at once."""
        if not news:
            return
        with self.lock:
            for summary in news:
                self.news[summary.cell] = summary
        if self.directory.judges:
            self.wake.set()
        self.parts.review()

    def consume(self, member: str, digest: bytes) -> None:
        """Take in a peer's digest of the directory."""
        names = [about.name for about in self.own_contacts()]
        if member in names and digest != self.directory.digest():
            self.behind = True
            self.wake.set()

    def take_listing(self, rows: tuple[instances.Instance, ...]) -> None:
        """Take in the listed agents of other cells."""
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
    """Return a cell's contacts: its first two by hash that are not leaving.

    Agents with different views of the cell may name different contacts;
    then a few more exchange than need to.
    """
    staying = [about for about in members if not about.leaving]
    staying.sort(key=lambda about: xxhash.xxh64_intdigest(about.name.encode()))
    return staying[:CONTACTS]
