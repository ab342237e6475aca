"""One peer: a thread that sends heartbeats over one connection."""

from __future__ import annotations

import random
import threading
import typing

from briarseam.membership import messages
from briarseam.wire import client as clients
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.membership import service
    from briarseam.wire import codec

FULL_INTERVAL_S = 10.0
PEERS_INTERVAL_S = 2.0
JITTER = 0.1
MAX_BACKOFF_S = 5.0


class Peer:
    """Heartbeats to one peer until stopped.

    Parameters
    ----------
    name
        The peer.
    membership
        This agent's membership.
    """

    def __init__(self, name: str, membership: service.Membership) -> None:
        self.name = name
        self.membership = membership
        self.stopping = threading.Event()
        self.wake = threading.Event()
        self.connection: connections.Connection | None = None
        self.address = ""
        self.sent: dict[str, bytes] = {}
        self.sent_about: messages.About | None = None
        self.introducing = False
        self.full_at = 0.0
        self.asked_at = 0.0
        self.asked_digest = 0
        self.failures = 0
        self.beats = 0
        self.thread = threading.Thread(
            target=self.run, name=f"heartbeat-{name}", daemon=True
        )

    def start(self) -> None:
        """Begin sending."""
        self.thread.start()

    def stop(self) -> None:
        """Stop soon; a blocked connection is closed."""
        self.stopping.set()
        self.wake.set()
        connection = self.connection
        if connection is not None:
            connection.close()

    def run(self) -> None:
        """Send a heartbeat each interval until stopped."""
        while not self.stopping.is_set():
            self.wake.clear()
            try:
                self.beat()
                self.beats += 1
                self.failures = 0
                self.membership.count_beat(True)
            except connections.WireError:
                self.failures += 1
                self.membership.count_beat(False)
                self.disconnect()
            self.wake.wait(self.pause_s())
        self.disconnect()

    def is_introducing(self) -> bool:
        """Tell whether an introduction is out and may have been read."""
        return self.introducing and not self.failures

    def pause_s(self) -> float:
        """Return the time to the next heartbeat.

        Jitter keeps the agents' heartbeats from falling into step.
        """
        interval_s = self.membership.heartbeat_interval_s
        backoff_s = min(interval_s * self.failures, MAX_BACKOFF_S)
        return max(interval_s, backoff_s) * random.uniform(
            1 - JITTER, 1 + JITTER
        )

    def beat(self) -> None:
        """Send one heartbeat and take in the reply.

        Raises
        ------
        WireError
            When the peer could not be reached or did not answer.
        """
        connection = self.connect()
        beat = self.compose()
        # The peer was alive when the heartbeat went out.  Should this
        # process be frozen between sending and reading, the reply it finds
        # on waking is old, and so must the time be that it stands for.
        sent_at = self.membership.clock()
        self.introducing = isinstance(beat, messages.Introduction)
        connection.set_timeout(self.membership.reply_timeout_s)
        connection.send(beat)
        self.take(connection, beat, connection.receive(), sent_at)

    def take(
        self,
        connection: connections.Connection,
        beat: messages.Introduction | messages.Heartbeat,
        reply: codec.Message,
        sent_at: float,
    ) -> None:
        """Take in the reply to a heartbeat sent at ``sent_at``."""
        self.sent.update(beat.sections)
        if isinstance(beat, messages.Introduction):
            self.sent_about = beat.about
        match reply:
            case messages.Introduced(about=about, digest=digest):
                self.membership.take_about(about, sent_at)
                self.learn_peers(connection, digest)
            case messages.Alive(incarnation=incarnation, digest=digest):
                self.membership.take_alive(self.name, incarnation, sent_at)
                self.learn_peers(connection, digest)
            case messages.UnknownAgent():
                self.full_at = 0.0
            case messages.Superseded():
                self.membership.freshness.note_superseded()
                self.full_at = 0.0
            case _:
                raise connections.WireError("expected a heartbeat's answer")

    def connect(self) -> connections.Connection:
        """Return the open connection, or a new one to the present address."""
        address = self.membership.address_of(self.name)
        if self.connection is not None and address == self.address:
            return self.connection
        self.disconnect()
        self.address = address
        self.connection = clients.connect(
            address,
            self.membership.identity,
            self.membership.key,
            self.membership.reply_timeout_s,
            self.membership.stamps,
        )
        if self.connection.peer.name != self.name:
            raise connections.WireError(
                f"{self.connection.peer.name} answers at {address}"
            )
        return self.connection

    def disconnect(self) -> None:
        """Close the connection; the next heartbeat says everything anew."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        self.full_at = 0.0

    def compose(self) -> messages.Introduction | messages.Heartbeat:
        """Return the next heartbeat: everything, or only what changed."""
        now = self.membership.clock()
        about = self.membership.about()
        content = self.membership.sections.content()
        if self.full_at == 0.0 or now - self.full_at > FULL_INTERVAL_S:
            self.full_at = now
            self.sent = {}
            self.sent_about = None
        changed = {
            name: data
            for name, data in content.items()
            if self.sent.get(name) != data
        }
        digest = self.membership.digest
        if about != self.sent_about:
            return messages.Introduction(about, digest, changed)
        return messages.Heartbeat(about.incarnation, digest, changed)

    def learn_peers(
        self, connection: connections.Connection, digest: int
    ) -> None:
        """Ask the peer whom it hears when its view differs from ours."""
        now = self.membership.clock()
        if digest in (self.membership.digest, self.asked_digest):
            return
        if now - self.asked_at < PEERS_INTERVAL_S:
            return
        self.asked_at = now
        connection.send(messages.PeersAsked())
        peers = connection.receive()
        if isinstance(peers, messages.Peers):
            self.asked_digest = digest
            self.membership.take_peers(peers)
