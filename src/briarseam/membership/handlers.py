"""Handlers of other agents' messages; none of them blocks."""

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
    """Dependencies of the handlers, set up by ``membership.service``.

    Attributes
    ----------
    table
        The cell's other agents.
    sections
        Hands the sections of heartbeats to their consumers.
    about
        Returns the local agent's description of itself.
    digest
        Returns the digest of the live agents.
    review
        Reviews the table, so that a new peer becomes live at once.
    """

    table: tables.Table
    sections: heartbeat_sections.Sections
    about: typing.Callable[[], messages.About]
    digest: typing.Callable[[], int]
    review: typing.Callable[[], None]


class MessageHandlers:
    """Handles heartbeats and queries about members.

    Parameters
    ----------
    parts
        Dependencies.
    """

    def __init__(self, parts: HandlerParts) -> None:
        self.parts = parts
        self.table = parts.table

    def register(self, router: server.Router) -> None:
        """Register the handlers of the other agents' messages."""
        router.on_nonblocking(messages.Introduction, self.on_introduction)
        router.on_nonblocking(messages.Heartbeat, self.on_heartbeat)
        router.on_nonblocking(messages.PeersAsked, self.on_peers_query)
        router.on_nonblocking(messages.HeardAsked, self.on_contact_query)

    def on_introduction(
        self, peer: connections.Identity, introduction: messages.Introduction
    ) -> messages.Introduced | messages.Superseded:
        """Apply a peer's description of itself."""
        del peer
        about = introduction.about
        if about.name == self.table.local_agent.name:
            # Names are unique, so the sender is another incarnation of the
            # local instance, and the earlier one of the two is replaced.
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
        """Record a peer's heartbeat."""
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
        """Store a heartbeat's sections and hand them to their consumers."""
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
        """Return the live agents."""
        del peer, query
        return messages.Peers((*self.table.live_abouts(), self.parts.about()))

    def on_contact_query(
        self, peer: connections.Identity, query: messages.HeardAsked
    ) -> messages.Heard:
        """Return the time since the last contact with an agent."""
        del peer
        with self.table.lock:
            record = self.table.records.get(query.name)
            if record is None or record.last_contact_at is None:
                return messages.Heard(None, 0)
            silent_s = record.silent_s(self.table.clock())
            return messages.Heard(silent_s, record.incarnation)
