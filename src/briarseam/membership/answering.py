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
        router.on(messages.Heartbeat, self.on_heartbeat)
        router.on(messages.PeersAsked, self.on_peers_asked)
        router.on(messages.HeardAsked, self.on_heard_asked)

    def on_heartbeat(
        self, peer: connections.Identity, beat: messages.Heartbeat
    ) -> messages.HeartbeatReply:
        """Take in a peer's heartbeat."""
        del peer
        me = self.membership
        now = me.clock()
        known, superseded = True, False
        if beat.name == me.settings.name:
            superseded = beat.incarnation < me.incarnation
        elif beat.about is not None:
            superseded = not self.table.take_about(beat.about, now)
            me.review()
        else:
            known = self.note_beat(beat, now)
        if known and not superseded:
            self.keep_sections(beat)
        return messages.HeartbeatReply(
            name=me.settings.name,
            incarnation=me.incarnation,
            digest=me.digest,
            known=known,
            superseded=superseded,
            about=None if beat.about is None else me.about(),
        )

    def note_beat(self, beat: messages.Heartbeat, now: float) -> bool:
        """Note a short heartbeat; false when its sender is not known."""
        with self.table.lock:
            found = self.table.records.get(beat.name)
            if found is None or found.incarnation != beat.incarnation:
                return False
            self.table.note_heard(found, now)
            return True

    def keep_sections(self, beat: messages.Heartbeat) -> None:
        """Keep and hand on the sections of a heartbeat."""
        if not beat.sections:
            return
        with self.table.lock:
            found = self.table.records.get(beat.name)
            if found is None:
                return
            found.sections.update(beat.sections)
        self.membership.sections.consume(beat.name, beat.sections)

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
