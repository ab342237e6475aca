"""Heartbeats to one peer, sent by a coroutine over one connection."""

from __future__ import annotations

import asyncio
import dataclasses
import typing

import structlog

from briarseam import backoff
from briarseam.membership import messages
from briarseam.wire import connection as connections
from briarseam.wire import frames as frames_module

if typing.TYPE_CHECKING:
    from briarseam.membership import client_factory as client_factories
    from briarseam.membership import replies as reply_handlers
    from briarseam.membership import sections as heartbeat_sections
    from briarseam.membership import table as tables
    from briarseam.wire import codec
    from briarseam.wire import event_loop

FULL_HEARTBEAT_INTERVAL_S = 10.0
PEERS_QUERY_INTERVAL_S = 2.0
JITTER = 0.1
MAX_BACKOFF_S = 5.0
log = structlog.get_logger("briarseam.membership")


@dataclasses.dataclass(frozen=True)
class SenderParts:
    """Dependencies of heartbeats, set up by ``membership.service``.

    Attributes
    ----------
    loop
        Event loop that sends the heartbeats to all peers.
    calling
        Identity, key and timeouts of connections to peers.
    address_of
        Returns a peer's current address or raises ``WireError``.
    about
        Returns the local agent's description of itself.
    digest
        Returns the digest of the live agents.
    sections
        Sections that heartbeats carry.
    replies
        Applies the replies.
    interval_s
        Returns the seconds between two heartbeats.
    clock
        Monotonic clock.
    """

    loop: event_loop.EventLoop
    client_factory: client_factories.ClientFactory
    address_of: typing.Callable[[str], str]
    about: typing.Callable[[], messages.About]
    digest: typing.Callable[[], int]
    sections: heartbeat_sections.Sections
    replies: reply_handlers.ReplyHandler
    interval_s: typing.Callable[[], float]
    clock: tables.Clock


class HeartbeatSender:
    """Sends heartbeats to one peer until stopped.

    Parameters
    ----------
    name
        The peer's name.
    parts
        Dependencies.
    """

    def __init__(self, name: str, parts: SenderParts) -> None:
        self.name = name
        self.parts = parts
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.stopped = False
        self.connection: frames_module.AsyncConnection | None = None
        self.address = ""
        self.sent_sections: dict[str, bytes] = {}
        self.sent_about: messages.About | None = None
        self.introducing = False
        self.full_sent_at = 0.0
        self.queried_at = 0.0
        self.queried_digest = 0
        self.failures = 0
        self.heartbeats_answered = 0

    def start(self) -> None:
        """Start sending."""
        self.parts.loop.call(self.start_in_loop)

    def start_in_loop(self) -> None:
        """Start sending; must be called in the event loop."""
        if not self.stopped:
            loop = asyncio.get_running_loop()
            self.task = loop.create_task(self.run())

    def stop(self) -> None:
        """Stop soon, even if the peer does not reply."""
        self.parts.loop.call(self.stop_in_loop)

    def stop_in_loop(self) -> None:
        """Stop now; must be called in the event loop."""
        self.stopped = True
        if self.task is not None:
            self.task.cancel()

    def send_now(self) -> None:
        """Send the next heartbeat soon."""
        self.parts.loop.call(self.wake.set)

    async def run(self) -> None:
        """Send a heartbeat each interval until cancelled."""
        try:
            while True:
                self.wake.clear()
                await self.try_heartbeat()
                await self.pause()
        finally:
            self.disconnect()

    async def try_heartbeat(self) -> None:
        """Send a heartbeat, and count it by its outcome."""
        try:
            await self.send_heartbeat()
        except connections.WireError:
            self.record_failure()
        except Exception:
            # An unexpected error, such as one while handling a reply, must
            # not end the heartbeats: the peer would consider this agent gone.
            log.exception("heartbeat_failed", peer=self.name)
            self.record_failure()
        else:
            self.heartbeats_answered += 1
            self.failures = 0
            self.parts.replies.count_heartbeat(True)

    def record_failure(self) -> None:
        """Count a failure; the next heartbeat opens a new connection."""
        self.failures += 1
        self.parts.replies.count_heartbeat(False)
        self.disconnect()

    async def pause(self) -> None:
        """Wait until the next heartbeat is due or requested."""
        try:
            async with asyncio.timeout(self.pause_s()):
                await self.wake.wait()
        except TimeoutError:
            return

    def is_introducing(self) -> bool:
        """Return whether the peer may have read the last introduction."""
        return self.introducing and not self.failures

    def pause_s(self) -> float:
        """Return the time to the next heartbeat.

        Jitter keeps the agents' heartbeats from synchronizing.
        """
        interval_s = self.parts.interval_s()
        backoff_s = min(interval_s * self.failures, MAX_BACKOFF_S)
        return backoff.jittered(max(interval_s, backoff_s), JITTER)

    async def send_heartbeat(self) -> None:
        """Send one heartbeat and handle the reply.

        Raises
        ------
        WireError
            When the peer could not be reached or did not reply.
        """
        connection = await self.connect()
        heartbeat = self.compose()
        # A reply only shows that the peer was alive when the heartbeat was
        # sent: a process suspended in between reads the reply much later.
        sent_at = self.parts.clock()
        self.introducing = isinstance(heartbeat, messages.Introduction)
        connection.send(heartbeat)
        reply = await connection.receive(
            self.parts.client_factory.reply_timeout_s
        )
        await self.handle_reply(connection, heartbeat, reply, sent_at)

    async def handle_reply(
        self,
        connection: frames_module.AsyncConnection,
        heartbeat: messages.Introduction | messages.Heartbeat,
        reply: codec.Message,
        sent_at: float,
    ) -> None:
        """Handle the reply to a heartbeat sent at ``sent_at``."""
        replies = self.parts.replies
        self.sent_sections.update(heartbeat.sections)
        if isinstance(heartbeat, messages.Introduction):
            self.sent_about = heartbeat.about
        match reply:
            case messages.Introduced(about=about, digest=digest):
                replies.apply_about(about, sent_at)
                await self.query_peers(connection, digest)
            case messages.Alive(incarnation=incarnation, digest=digest):
                replies.apply_alive(self.name, incarnation, sent_at)
                await self.query_peers(connection, digest)
            case messages.UnknownAgent():
                self.full_sent_at = 0.0
            case messages.Superseded():
                replies.apply_superseded()
                self.full_sent_at = 0.0
            case _:
                raise connections.WireError("unexpected reply to a heartbeat")

    async def connect(self) -> frames_module.AsyncConnection:
        """Return the open connection, or a new one to the current address."""
        address = self.parts.address_of(self.name)
        if self.connection is not None and address == self.address:
            return self.connection
        self.disconnect()
        self.address = address
        client_factory = self.parts.client_factory
        self.connection = await frames_module.connect(
            address,
            client_factory.identity,
            client_factory.key,
            client_factory.reply_timeout_s,
            client_factory.stamps,
        )
        if self.connection.peer.name != self.name:
            raise connections.WireError(
                f"agent {self.connection.peer.name} listens at {address}"
            )
        return self.connection

    def disconnect(self) -> None:
        """Close the connection; the next heartbeat is a full one."""
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.close()
        self.full_sent_at = 0.0

    def compose(self) -> messages.Introduction | messages.Heartbeat:
        """Return the next heartbeat: a full one, or only what changed."""
        now = self.parts.clock()
        about = self.parts.about()
        content = self.parts.sections.content()
        if (
            self.full_sent_at == 0.0
            or now - self.full_sent_at > FULL_HEARTBEAT_INTERVAL_S
        ):
            self.full_sent_at = now
            self.sent_sections = {}
            self.sent_about = None
        changed = {
            name: data
            for name, data in content.items()
            if self.sent_sections.get(name) != data
        }
        digest = self.parts.digest()
        if about != self.sent_about:
            return messages.Introduction(about, digest, changed)
        return messages.Heartbeat(about.incarnation, digest, changed)

    async def query_peers(
        self, connection: frames_module.AsyncConnection, digest: int
    ) -> None:
        """Query the peer's live agents if its digest differs."""
        now = self.parts.clock()
        if digest in (self.parts.digest(), self.queried_digest):
            return
        if now - self.queried_at < PEERS_QUERY_INTERVAL_S:
            return
        self.queried_at = now
        connection.send(messages.PeersAsked())
        peers = await connection.receive(
            self.parts.client_factory.reply_timeout_s
        )
        if isinstance(peers, messages.Peers):
            self.queried_digest = digest
            self.parts.replies.apply_peers(peers)
