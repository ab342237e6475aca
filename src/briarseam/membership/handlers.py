"""Answers to other agents' messages; none of them waits."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.membership import messages

if typing.TYPE_CHECKING:
    from briarseam.membership import sections as heartbeat_sections
    from briarseam.membership import table as tables
    from briarseam.wire import connection as connections
    from briarseam.wire import server


@dataclasses.dataclass(frozen=True)
class HandlerParts:
    """What answering needs, wired by ``membership.service``.

    Attributes
    ----------
    table
        The cell's other agents.
    sections
        Takes what of other slices rides on heartbeats.
    about
        Returns what this agent says of itself.
    digest
        Returns the digest of the agents heard.
    review
        Judges the table anew, so that a new peer counts at once.
    """

    table: tables.Table
    sections: heartbeat_sections.Sections
    about: typing.Callable[[], messages.About]
    digest: typing.Callable[[], int]
    review: typing.Callable[[], None]


class MessageHandlers:
    """Answers heartbeats and questions about members.

    Parameters
    ----------
    parts
        What it needs.
    """

    def __init__(self, parts: HandlerParts) -> None:
        self.parts = parts
        self.table = parts.table

    def register(self, router: server.Router) -> None:
        """Answer the other agents' messages."""
        router.on_quick(messages.Introduction, self.on_introduction)
        router.on_quick(messages.Heartbeat, self.on_heartbeat)
        router.on_quick(messages.PeersAsked, self.on_peers_query)
        router.on_quick(messages.HeardAsked, self.on_contact_query)

    def on_introduction(
        self, peer: connections.Identity, introduction: messages.Introduction
    ) -> messages.Introduced | messages.Superseded:
        """Take in what a peer says of itself."""
        del peer
        about = introduction.about
        if about.name == self.table.local_agent.name:
            # Only this instance has the name, so one of two starts of it
            # has been replaced, whichever came first.
            current = about.incarnation >= self.parts.about().incarnation
        else:
            current = self.table.apply_about(about, self.table.clock())
        if not current:
            return messages.Superseded()
        self.parts.review()
        self.apply_sections(about.name, introduction.sections)
        return messages.Introduced(self.parts.about(), self.parts.digest())

    def on_heartbeat(
        self, peer: connections.Identity, heartbeat: messages.Heartbeat
    ) -> messages.Alive | messages.UnknownAgent:
        """Take in that a peer lives."""
        with self.table.lock:
            record = self.table.records.get(peer.name)
            if record is None or record.incarnation != heartbeat.incarnation:
                return messages.UnknownAgent()
            self.table.record_contact(record, self.table.clock())
        self.apply_sections(peer.name, heartbeat.sections)
        incarnation = self.parts.about().incarnation
        return messages.Alive(incarnation, self.parts.digest())

    def apply_sections(
        self, name: str, content: typing.Mapping[str, bytes]
    ) -> None:
        """Keep and hand on the sections of a heartbeat."""
        if not content:
            return
        with self.table.lock:
            record = self.table.records.get(name)
            if record is None:
                return
            record.sections.update(content)
        self.parts.sections.consume(name, content)

    def on_peers_query(
        self, peer: connections.Identity, query: messages.PeersAsked
    ) -> messages.Peers:
        """Answer with the agents heard here."""
        del peer, query
        return messages.Peers((*self.table.live_abouts(), self.parts.about()))

    def on_contact_query(
        self, peer: connections.Identity, query: messages.HeardAsked
    ) -> messages.Heard:
        """Answer how long ago an agent was heard here."""
        del peer
        with self.table.lock:
            record = self.table.records.get(query.name)
            if record is None or record.last_contact_at is None:
                return messages.Heard(None, 0)
            silent_s = record.silent_s(self.table.clock())
            return messages.Heard(silent_s, record.incarnation)
