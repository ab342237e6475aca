"""Membership of the cell, maintained by heartbeats between its agents."""

from __future__ import annotations

import threading
import time
import typing

import structlog

from briarseam import repeating
from briarseam.membership import cells
from briarseam.membership import client_factory
from briarseam.membership import freshness
from briarseam.membership import gossip
from briarseam.membership import handlers
from briarseam.membership import heartbeat_sender
from briarseam.membership import listing
from briarseam.membership import messages
from briarseam.membership import replies
from briarseam.membership import sections
from briarseam.membership import seeds as seed_peers
from briarseam.membership import state
from briarseam.membership import suspicion
from briarseam.membership import table as tables
from briarseam.membership import view as views
from briarseam.wire import connection as connections
from briarseam.wire import event_loop

if typing.TYPE_CHECKING:
    from briarseam import malformed
    from briarseam.backing import instances as platform
    from briarseam.wire import client as clients
    from briarseam.wire import codec
    from briarseam.wire import server

HEARTBEAT_INTERVAL_S = 1.0
SUSPECT_AFTER_S = 3.0
REVIEWS_PER_HEARTBEAT = 4
GOSSIP_HEARTBEATS = 2
PROPAGATION_HEARTBEATS = 3
log = structlog.get_logger("briarseam.membership")


class UnknownMemberError(connections.WireError):
    """No member has this name."""


class Membership:
    """An agent's view of its cell.

    Parameters
    ----------
    local_agent
        The local agent.
    instances
        The platform's instance list.
    key
        The shared key of the wire.
    seeds
        Addresses of agents to query while no peer is known.
    cell_of
        Returns the cell of an agent.
    heartbeat_interval_s
        Seconds between heartbeats to one peer.
    suspect_after_s
        Silence after which a member becomes suspect, and after which the
        local agent's view is no longer fresh.
    list_interval_s
        Minimum seconds between reads of the instance list.
    clock
        Monotonic clock.
    stamps
        The process's hybrid clock, whose time is sent with every frame.
    malformed_counter
        Counts sections of heartbeats that can't be decoded.
    loop
        Event loop that sends the heartbeats; a new one unless given.
    """

    def __init__(
        self,
        local_agent: state.LocalAgent,
        instances: platform.InstanceSource,
        key: bytes,
        seeds: tuple[str, ...] = (),
        cell_of: cells.CellOf = cells.whole_zone,
        heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S,
        suspect_after_s: float = SUSPECT_AFTER_S,
        list_interval_s: float = listing.INTERVAL_S,
        clock: tables.Clock = time.monotonic,
        stamps: connections.Clock | None = None,
        malformed_counter: malformed.Tally | None = None,
        loop: event_loop.EventLoop | None = None,
    ) -> None:
        self.local_agent = local_agent
        self.owns_loop = loop is None
        self.loop = loop or event_loop.EventLoop("heartbeats")
        self.key = key
        self.seeds = [
            seed for seed in seeds if seed != local_agent.agent_address
        ]
        self.heartbeat_interval_s = heartbeat_interval_s
        self.suspect_after_s = suspect_after_s
        # A change is pushed to the contacts of other cells within one
        # heartbeat interval, and their peers query it after the next
        # heartbeat; the third interval is a margin.
        self.propagation_s = PROPAGATION_HEARTBEATS * heartbeat_interval_s
        self.clock = clock
        self.identity = connections.Identity("agent", local_agent.name)
        self.client_factory = client_factory.ClientFactory(
            self.identity, key, suspect_after_s / 2, stamps
        )
        self.incarnation = state.new_incarnation()
        self.entry_addresses = local_agent.entry_addresses
        self.leaving = False
        self.freshness = freshness.Freshness(suspect_after_s, clock)
        self.table = tables.Table(local_agent, cell_of, suspect_after_s, clock)
        self.list_reader = listing.ListReader(instances, list_interval_s)
        self.list_reader.add_callback(self.table.apply_listing)
        self.sections = sections.Sections(
            heartbeat_interval_s / REVIEWS_PER_HEARTBEAT,
            clock,
            malformed_counter,
        )
        self.replies = replies.ReplyHandler(self.table, self.freshness)
        self.heartbeat_senders: dict[
            str, heartbeat_sender.HeartbeatSender
        ] = {}
        self.clients: dict[str, clients.Client] = {}
        self.lock = threading.Lock()
        self.reviews = repeating.Repeater(
            "membership-watch",
            self.run_review,
            heartbeat_interval_s / REVIEWS_PER_HEARTBEAT,
            first_s=0.0,
        )
        self.confirmations = repeating.Repeater(
            "membership-confirm",
            self.confirm_suspects,
            heartbeat_interval_s,
            first_s=0.0,
        )
        self.digest = 0
        self.snapshot: tuple[state.Member, ...] = ()
        self.view = views.View()
        self.gossip = self.build_gossip()
        self.review()

    # Components.

    def build_gossip(self) -> gossip.Gossip:
        """Return the exchange with other cells."""
        built = gossip.Gossip(
            gossip.GossipParts(
                table=self.table,
                client_factory=self.client_factory,
                about=self.about,
                review=self.review,
                interval_s=GOSSIP_HEARTBEATS * self.heartbeat_interval_s,
            )
        )
        self.list_reader.add_callback(built.apply_listing)
        self.add_section(gossip.SECTION, built.directory.digest, built.consume)
        return built

    def build_handlers(self) -> handlers.MessageHandlers:
        """Return the handlers of other agents' messages."""
        return handlers.MessageHandlers(
            handlers.HandlerParts(
                table=self.table,
                sections=self.sections,
                about=self.about,
                digest=lambda: self.digest,
                review=self.review,
            )
        )

    def build_heartbeat_sender(
        self, name: str
    ) -> heartbeat_sender.HeartbeatSender:
        """Return the sender of heartbeats to a peer."""
        return heartbeat_sender.HeartbeatSender(
            name,
            heartbeat_sender.SenderParts(
                loop=self.loop,
                client_factory=self.client_factory,
                address_of=self.address_of,
                about=self.about,
                digest=lambda: self.digest,
                sections=self.sections,
                replies=self.replies,
                interval_s=lambda: self.heartbeat_interval_s,
                clock=self.clock,
            ),
        )

    # Interface for other packages.

    @property
    def local_member(self) -> state.Member:
        """Return the local agent as a member."""
        return state.Member(
            name=self.local_agent.name,
            zone=self.local_agent.zone,
            cell=self.table.own_cell(),
            agent_address=self.local_agent.agent_address,
            entry_addresses=self.entry_addresses,
            state=state.MemberState.LEAVING
            if self.leaving
            else state.MemberState.ALIVE,
            incarnation=self.incarnation,
        )

    def members(self) -> tuple[state.Member, ...]:
        """Return the cell's members that are not gone, including itself."""
        return self.snapshot

    def all_members(self) -> tuple[state.Member, ...]:
        """Return the members of all cells, those of the local cell first.

        The same tuple is returned until a member changes in more than the
        time since its last contact.
        """
        return self.view.members

    def live(self, include_leaving: bool = False) -> tuple[state.Member, ...]:
        """Return the members that are alive, optionally with leaving ones."""
        states = {state.MemberState.ALIVE}
        if include_leaving:
            states.add(state.MemberState.LEAVING)
        return tuple(
            member for member in self.snapshot if member.state in states
        )

    def is_fresh(self) -> bool:
        """Return whether the local agent's view is recent."""
        return self.freshness.is_fresh(bool(self.heartbeat_senders))

    def announce_leaving(self) -> None:
        """Publish to all peers that the local agent is leaving."""
        if self.leaving:
            return
        self.leaving = True
        log.info("leaving", name=self.local_agent.name)
        self.publish_now()

    def is_published(self) -> bool:
        """Return whether all live peers have the local agent's description.

        Peers return a stopping instance in lookups until they know that it
        is leaving, so the time to live of these lookups starts then.  This
        includes peers that are not in the snapshot yet: one whose first
        message has just been received, and one whose reply to an
        introduction is outstanding.
        """
        about = self.about()
        now = self.clock()
        with self.table.lock:
            live_names = {
                name
                for name, record in self.table.records.items()
                if record.silent_s(now) <= self.suspect_after_s
            }
        senders = dict(self.heartbeat_senders)
        if live_names - senders.keys():
            return False
        return all(
            sender.sent_about == about
            for name, sender in senders.items()
            if name in live_names or sender.is_introducing()
        )

    def set_entries(self, addresses: tuple[str, ...]) -> None:
        """Set the entry addresses for callers; publish them to the peers."""
        if addresses == self.entry_addresses:
            return
        self.entry_addresses = addresses
        self.publish_now()

    def add_section(
        self, name: str, provide: sections.Provide, consume: sections.Consume
    ) -> None:
        """Add a section of another package to the heartbeats.

        Parameters
        ----------
        name
            Unique over all packages.
        provide
            Returns the local agent's content; called for heartbeats.
        consume
            Called with a member's name and content after a change, and at
            a long interval without one.
        """
        self.sections.add(sections.Section(name, provide, consume))

    def client(self, name: str) -> clients.Client:
        """Return the client for calls to a member.

        Raises
        ------
        UnknownMemberError
            When no member has this name.
        """
        address = self.address_of(name)
        with self.lock:
            client = self.clients.get(name)
            if client is None or client.address != address:
                client = self.clients[name] = self.client_factory.client(
                    address
                )
            return client

    def register(self, router: server.Router) -> None:
        """Register the handlers of the other agents' messages."""
        self.build_handlers().register(router)
        self.gossip.register(router)

    def start(self) -> None:
        """Start the threads."""
        self.loop.start()
        self.list_reader.start()
        self.gossip.start()
        self.reviews.start()
        self.confirmations.start()

    def stop(self) -> None:
        """Stop the threads and close the connections."""
        self.reviews.stop()
        self.confirmations.stop()
        self.list_reader.stop()
        self.gossip.stop()
        for sender in list(self.heartbeat_senders.values()):
            sender.stop()
        if self.owns_loop:
            self.loop.stop()
        with self.lock:
            for client in self.clients.values():
                client.close()

    # Interface for the components.

    def about(self) -> messages.About:
        """Return the local agent's description of itself."""
        return messages.About(
            name=self.local_agent.name,
            zone=self.local_agent.zone,
            address=self.local_agent.agent_address,
            entries=self.entry_addresses,
            incarnation=self.incarnation,
            leaving=self.leaving,
        )

    def address_of(self, name: str) -> str:
        """Return a member's address or raise :class:`UnknownMemberError`."""
        with self.table.lock:
            record = self.table.records.get(name)
            if record is None:
                raise UnknownMemberError(f"no member {name}")
            return record.agent_address

    # Periodic work.

    def run_review(self) -> None:
        """Review the table, and match the heartbeats to its records."""
        self.review()
        self.sync_heartbeat_senders()

    def review(self) -> None:
        """Update each member's state and the snapshot of members."""
        with self.table.lock:
            suspicion.review(self.table)
            self.freshness.record_tick()
            self.digest = self.table.digest(self.incarnation)
            self.snapshot = (self.local_member, *self.table.members())
            others = self.gossip.directory.members(self.table.own_cell())
            view = views.update(self.view, self.snapshot, others)
            changed = view is not self.view
            self.view = view
        if changed:
            self.gossip.wake.set()

    def sync_heartbeat_senders(self) -> None:
        """Start heartbeats to new peers; stop those to forgotten ones."""
        with self.table.lock:
            names = set(self.table.records)
        for name in names - set(self.heartbeat_senders):
            sender = self.build_heartbeat_sender(name)
            self.heartbeat_senders[name] = sender
            sender.start()
        for name in set(self.heartbeat_senders) - names:
            self.heartbeat_senders.pop(name).stop()

    def publish_now(self) -> None:
        """Send the next heartbeats now."""
        self.sections.invalidate()
        self.review()
        for sender in list(self.heartbeat_senders.values()):
            sender.send_now()

    def confirm_suspects(self) -> None:
        """Query others about suspects; query seeds while no peer is known."""
        suspicion.confirm(self.table, self.call)
        if len(self.snapshot) <= 1:
            seed_peers.query(self.seeds, self.client_factory, self.replies)

    def call(self, name: str, request: codec.Message) -> codec.Message:
        """Call a member and return its reply."""
        return self.client(name).call(
            request, self.client_factory.reply_timeout_s
        )
