"""Membership: heartbeats within the cell and what they tell."""

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
    """The view that an agent has of its cell.

    Parameters
    ----------
    me
        This agent.
    instances
        The platform's instance list.
    key
        The shared key of the wire.
    seeds
        Agent addresses to ask while the list shows no peer.
    cell_of
        Returns the cell of an agent.
    heartbeat_interval_s
        Seconds between heartbeats to one peer.
    suspect_after_s
        Silence after which a member becomes suspect, and after which this
        agent's own view is no longer fresh.
    list_interval_s
        Least seconds between reads of the instance list.
    clock
        Monotonic clock.
    stamps
        The process's hybrid clock, which rides on every frame.
    malformed_counter
        Notes what of heartbeats can't be read.
    loop
        Runs the heartbeats; one of its own unless given.
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
        # A change is pushed from cell to cell within a beat or less, and
        # the agents there ask for it after the next; one spare.
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

    # The parts.

    def build_gossip(self) -> gossip.Gossip:
        """Return the exchange with other cells, fed by list and peers."""
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
        """Return what answers the other agents."""
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
        """Return the heartbeats to a peer."""
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

    # What the other slices ask.

    @property
    def local_member(self) -> state.Member:
        """Return this agent as a member."""
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
        """Return this cell's members that are not gone, with this agent."""
        return self.snapshot

    def all_members(self) -> tuple[state.Member, ...]:
        """Return the members of all cells, those of this one first.

        The same tuple is returned as long as nothing but the time since
        they were heard has changed.
        """
        return self.view.members

    def live(self, include_leaving: bool = False) -> tuple[state.Member, ...]:
        """Return the members that are alive, on request leaving ones too."""
        states = {state.MemberState.ALIVE}
        if include_leaving:
            states.add(state.MemberState.LEAVING)
        return tuple(
            member for member in self.snapshot if member.state in states
        )

    def is_fresh(self) -> bool:
        """Tell whether this agent's view is recent."""
        return self.freshness.is_fresh(bool(self.heartbeat_senders))

    def announce_leaving(self) -> None:
        """Tell all peers now that this agent will be gone soon."""
        if self.leaving:
            return
        self.leaving = True
        log.info("leaving", name=self.local_agent.name)
        self.publish_now()

    def is_published(self) -> bool:
        """Tell whether all live peers have what this agent says of itself.

        A stopping instance's last lookups are given out before its peers
        know that it is leaving; their time to live counts from then on.
        A peer that has just been heard, or whose first answer is still
        under way, may give them out as well as one in the snapshot.
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
        """Set the entry addresses that callers may use; tell the peers."""
        if addresses == self.entry_addresses:
            return
        self.entry_addresses = addresses
        self.publish_now()

    def add_section(
        self, name: str, provide: sections.Provide, consume: sections.Consume
    ) -> None:
        """Let content of another slice ride on the heartbeats.

        Parameters
        ----------
        name
            Unique over all slices.
        provide
            Returns this agent's content; called for each heartbeat.
        consume
            Called with a member's name and content when it changed, and
            now and then when it did not.
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
        """Answer the other agents' messages."""
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

    # What the parts ask.

    def about(self) -> messages.About:
        """Return what this agent says of itself."""
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

    # Threads.

    def run_review(self) -> None:
        """Review the table, and send heartbeats to whom it names."""
        self.review()
        self.sync_heartbeat_senders()

    def review(self) -> None:
        """Judge each member's silence anew and renew the snapshot."""
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
        """Begin heartbeats to each new peer; end those to forgotten ones."""
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
        """Ask others about suspects; ask seeds while no peer is heard."""
        suspicion.confirm(self.table, self.call)
        if len(self.snapshot) <= 1:
            seed_peers.query(self.seeds, self.client_factory, self.replies)

    def call(self, name: str, request: codec.Message) -> codec.Message:
        """Call a member and return its reply."""
        return self.client(name).call(
            request, self.client_factory.reply_timeout_s
        )
