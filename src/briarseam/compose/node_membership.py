"""Composition of the exchange of state between an instance and its peers."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam.compose import node_peers
from briarseam.eligibility import cell_limits
from briarseam.feeds import shared_messages
from briarseam.membership import sections
from briarseam.placement import cell_loads
from briarseam.placement import cell_weights
from briarseam.placement import load_exchange
from briarseam.placement import notice_recipients
from briarseam.placement import store_messages
from briarseam.placement import urgency
from briarseam.routes import peer_configuration

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam import malformed
    from briarseam.compose import node_calls
    from briarseam.compose import node_crashes
    from briarseam.compose import node_instances
    from briarseam.compose import node_weights
    from briarseam.discovery import start_updates
    from briarseam.eligibility import rate_limits as endpoint_limits
    from briarseam.eligibility import rejection_limits as rejections
    from briarseam.feeds import sharing
    from briarseam.membership import service as membership
    from briarseam.peers import registrations
    from briarseam.placement import cache_sharing
    from briarseam.placement import loads as endpoint_loads
    from briarseam.placement import store_sharing
    from briarseam.platform import store as stores
    from briarseam.reachability import tracker
    from briarseam.routes import freshness
    from briarseam.settings import serving
    from briarseam.wire import event_loop

log = structlog.get_logger("briarseam.node")


@dataclasses.dataclass(frozen=True)
class PeerParts:
    """The parts that publish state to peers and answer their messages.

    Attributes
    ----------
    loads, cell_loads
        Load of endpoints, by this instance and by its cell.
    restarts, leaving
        Starts of endpoints that calls have shown, and those that leave.
    crashes
        Requests that crash endpoints.
    weights, cell_weights
        Ages of weights, and engines that are loading new ones.
    rate_limits, cell_limits, rejection_limits, cell_rejection_limits
        Rate limits of endpoints, heard by this instance and by its cell.
    configuration
        Version of the operators' configuration.
    reachability
        Services that this instance can't reach.
    stores, topics
        Contents of KV cache stores and topics, read for other instances.
    cached_parts
        Organisations that have cached parts of their own.
    configuration_age
        Age of what is known of the configuration.
    """

    loads: endpoint_loads.Loads
    cell_loads: cell_loads.CellLoads
    restarts: start_updates.StartUpdates
    leaving: start_updates.StartUpdates
    crashes: node_crashes.Crashes
    weights: node_weights.Weights
    cell_weights: cell_weights.CellWeights
    rate_limits: endpoint_limits.RateLimits
    rejection_limits: rejections.RejectionLimits
    cell_rejection_limits: cell_limits.CellLimits
    cell_limits: cell_limits.CellLimits
    configuration: peer_configuration.PeerConfiguration
    reachability: tracker.Reachability
    stores: store_sharing.StoreSharing
    topics: sharing.SharedReads
    cached_parts: cache_sharing.CacheSharing
    configuration_age: freshness.ConfigurationFreshness

    def sections(self) -> tuple[sections.Section, ...]:
        """Return the sections of heartbeats."""
        providers: dict[str, typing.Any] = {
            "endpoint-loads": self.loads,
            "endpoint-starts": self.restarts,
            "endpoints-leaving": self.leaving,
            "cell-loads": self.cell_loads,
            "cell-weights": self.cell_weights,
            "rate-limits": self.rate_limits,
            "cell-rate-limits": self.cell_limits,
            "rejection-limits": self.rejection_limits,
            "cell-rejection-limits": self.cell_rejection_limits,
            "configuration-version": self.configuration,
            "unreachable-services": self.reachability,
            "cache-sharing": self.cached_parts,
            # Must precede the age, which counts from this time.
            "heartbeat-time": self.configuration_age.delays,
            # Must follow the section that tells who is isolated.
            "configuration-age": self.configuration_age,
        }
        # Must precede the section of the cells' loads.
        included: tuple[sections.Section, ...] = ()
        if self.cell_loads.local_name:
            included = (
                sections.Section(
                    "cell-loads-included",
                    self.cell_loads.provide_included,
                    self.cell_loads.consume_included,
                ),
            )
        return (
            *included,
            *(
                sections.Section(name, part.provide, part.consume)
                for name, part in providers.items()
            ),
            *self.crashes.sections(),
            *self.weights.heartbeat_sections(),
        )

    def handlers(
        self,
    ) -> collections.abc.Mapping[type, node_peers.MessageHandler]:
        """Return the handlers of peers' messages by message type."""
        return {
            **self.crashes.handlers(),
            store_messages.StoresAsked: node_peers.MessageHandler(
                self.stores.answer, self.stores.await_changes
            ),
            shared_messages.RecordsAsked: node_peers.MessageHandler(
                self.topics.answer, self.topics.await_answer
            ),
            cell_loads.CellLoad: node_peers.MessageHandler(
                self.cell_loads.answer
            ),
            cell_weights.WeightsTold: node_peers.MessageHandler(
                self.cell_weights.answer
            ),
            cell_limits.CellRateLimits: node_peers.MessageHandler(
                self.cell_limits.answer
            ),
            cell_limits.CellRejectionLimits: node_peers.MessageHandler(
                self.cell_rejection_limits.answer
            ),
            peer_configuration.ConfigurationAsked: node_peers.MessageHandler(
                self.configuration.answer
            ),
        }


class PeerConnector:
    """Joins the other instances once the store provides their secret.

    Parameters
    ----------
    settings
        The settings of this process.
    store
        The platform's store.
    registrations
        Registrations of all instances.
    parts
        The parts that exchange state with peers.
    calls
        Calls to other instances.
    instances
        View of all instances, which gets the membership.
    stopping
        Ends the attempts to join.
    malformed_counter
        Counts input that can't be read.
    loop
        Runs the connections to and from peers.
    notice_counters
        Counters of work notices.
    """

    def __init__(
        self,
        settings: serving.ServeSettings,
        store: stores.StoreClient,
        registrations: registrations.Registrations,
        parts: PeerParts,
        calls: node_calls.PeerCalls,
        instances: node_instances.Instances,
        stopping: threading.Event,
        malformed_counter: malformed.Tally,
        loop: event_loop.EventLoop,
        notice_counters: notice_recipients.Counters,
    ) -> None:
        self.settings = settings
        self.store = store
        self.registrations = registrations
        self.parts = parts
        self.calls = calls
        self.instances = instances
        self.stopping = stopping
        self.malformed_counter = malformed_counter
        self.loop = loop
        self.notice_counters = notice_counters
        self.load_exchange: load_exchange.LoadExchange | None = None

    def start(self) -> None:
        """Start joining in a separate thread."""
        threading.Thread(
            target=self.run, name="meet-peers", daemon=True
        ).start()

    def stop(self) -> None:
        """Stop publishing loads between heartbeats."""
        if self.load_exchange is not None:
            self.load_exchange.stop()

    def run(self) -> None:
        """Join the other instances, and start to publish loads."""
        service = node_peers.join(
            self.settings,
            self.store,
            self.registrations,
            self.parts.sections(),
            self.parts.handlers(),
            self.stopping,
            self.malformed_counter,
            self.loop,
        )
        self.instances.membership = service
        if service is not None:
            self.start_load_exchange(service)
        log.info("peers_met", address=str(self.settings.listen.peers))

    def start_load_exchange(self, service: membership.Membership) -> None:
        """Start publishing this instance's load to its cell as it changes."""
        urgent: urgency.UrgentReports | None = None
        recipients: notice_recipients.Recipients | None = None
        if self.settings.load.tell_at_once:
            urgent = urgency.UrgentReports()
            recipients = notice_recipients.Recipients(
                self.instances.remote_addresses
            )
        self.load_exchange = load_exchange.LoadExchange(
            self.parts.loads,
            self.settings.instance.name,
            str(self.settings.listen.peers),
            self.calls.peers,
            service.key,
            self.malformed_counter,
            urgent,
            recipients,
            self.notice_counters,
        )
        self.load_exchange.start()
