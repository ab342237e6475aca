"""Answers to other agents' messages, in their connections' threads."""

from __future__ import annotations

import typing

from briarseam.membership import messages

if typing.TYPE_CHECKING:
    from briarseam.membership import service
    from briarseam.wire import connection as connections
    from briarseam.wire import server


class Answering:
    """Answers heartbeats and questions about members.

    Parameters
    ----------
    membership
        The membership to answer from.
    """

    def __init__(self, membership: service.Membership) -> None:
        self.membership = membership
        self.table = membership.table

    def register(self, router: server.Router) -> None:
        """Answer the other agents' messages."""
        router.on(messages.Introduction, self.on_introduction)
        router.on(messages.Heartbeat, self.on_heartbeat)
        router.on(messages.PeersAsked, self.on_peers_asked)
        router.on(messages.HeardAsked, self.on_heard_asked)

    def on_introduction(
        self, peer: connections.Identity, beat: messages.Introduction
    ) -> messages.Introduced | messages.Superseded:
        """Take in what a peer says of itself."""
        del peer
        me = self.membership
        about = beat.about
        if about.name == me.settings.name:
            # Only this instance has the name, so one of two starts of it
            # has been replaced, whichever came first.
            current = about.incarnation >= me.incarnation
        else:
            current = self.table.take_about(about, me.clock())
        if not current:
            return messages.Superseded()
        me.review()
        self.keep_sections(about.name, beat.sections)
        return messages.Introduced(me.about(), me.digest)

    def on_heartbeat(
        self, peer: connections.Identity, beat: messages.Heartbeat
    ) -> messages.Alive | messages.UnknownAgent:
        """Take in that a peer lives."""
        me = self.membership
        with self.table.lock:
            found = self.table.records.get(peer.name)
            if found is None or found.incarnation != beat.incarnation:
                return messages.UnknownAgent()
            self.table.note_heard(found, me.clock())
        self.keep_sections(peer.name, beat.sections)
        return messages.Alive(me.incarnation, me.digest)

    def keep_sections(
        self, name: str, content: typing.Mapping[str, bytes]
    ) -> None:
        """Keep and hand on the sections of a heartbeat."""
        if not content:
            return
        with self.table.lock:
            found = self.table.records.get(name)
            if found is None:
                return
            found.sections.update(content)
        self.membership.sections.consume(name, content)

    def on_peers_asked(
        self, peer: connections.Identity, asked: messages.PeersAsked
    ) -> messages.Peers:
        """Answer with the agents heard here."""
        del peer, asked
        return messages.Peers((*self.table.abouts(), self.membership.about()))

    def on_heard_asked(
        self, peer: connections.Identity, asked: messages.HeardAsked
    ) -> messages.Heard:
        """Answer how long ago an agent was heard here."""
        del peer
        with self.table.lock:
            found = self.table.records.get(asked.name)
            if found is None or found.heard_at is None:
                return messages.Heard(None, 0)
            silent_s = found.silent_s(self.membership.clock())
            return messages.Heard(silent_s, found.incarnation)
