"""Composition of the process that serves on the users' platform."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import inflight
from briarseam import malformed
from briarseam import repeating
from briarseam import suspension
from briarseam.compose import client_budget
from briarseam.compose import local_handlers
from briarseam.compose import node_announcements
from briarseam.compose import node_calls
from briarseam.compose import node_crashes
from briarseam.compose import node_draining
from briarseam.compose import node_eligibility
from briarseam.compose import node_feeds
from briarseam.compose import node_forwarding
from briarseam.compose import node_instances
from briarseam.compose import node_membership
from briarseam.compose import node_metrics
from briarseam.compose import node_paths
from briarseam.compose import node_servers
from briarseam.compose import node_weights
from briarseam.compose import reloading
from briarseam.discovery import software
from briarseam.discovery import start_updates
from briarseam.eligibility import cell_limits
from briarseam.feeds import sharing as feeds_sharing
from briarseam.forwarding import attempts
from briarseam.forwarding import connections
from briarseam.forwarding import held_bytes
from briarseam.forwarding import request_context
from briarseam.forwarding import server as http
from briarseam.forwarding import service as forwarding
from briarseam.forwarding import shutdown as shutdowns
from briarseam.forwarding import stream_origins
from briarseam.forwarding import supervision
from briarseam.lookup import zonal
from briarseam.membership import drain as drains
from briarseam.metrics import registry as metrics
from briarseam.metrics import threads
from briarseam.origins import exchange as origin_exchange
from briarseam.origins import memory as origin_memory
from briarseam.origins import origin_records
from briarseam.peers import expiry
from briarseam.placement import cache_sharing
from briarseam.placement import cell_loads
from briarseam.placement import cell_weights
from briarseam.placement import chooser as choosers
from briarseam.placement import fetch_leases
from briarseam.placement import loads
from briarseam.placement import store_sharing
from briarseam.placement import store_watches
from briarseam.placement import sweeping
from briarseam.platform import cache
from briarseam.platform import engines
from briarseam.platform import names
from briarseam.platform import requests
from briarseam.platform import store as stores
from briarseam.reachability import tracker
from briarseam.routes import freshness
from briarseam.routes import peer_configuration
from briarseam.wire import event_loop

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.routes import model as routes
    from briarseam.settings import serving

HOUSEKEEPING_INTERVAL_S = 1.0
# Part of the shutdown time that is reserved for the exit of the process.
EXIT_MARGIN_S = 1.0
STOP_WAIT_S = 5.0
MS = 1000.0
log = structlog.get_logger("briarseam.node")


def held_limit(settings: serving.ServeSettings) -> int:
    """Return the limit of bytes held for requests; 0 for none."""
    return held_bytes.limit_of(
        settings.load.held_bytes, settings.capacity.memory_mb
    )


def endpoint_limit(settings: serving.ServeSettings) -> int:
    """Return the limit of bodies in flight to one endpoint; 0 for none.

    It applies only where the bytes held are limited: without these settings
    requests are placed as before.
    """
    return settings.load.endpoint_bytes if held_limit(settings) else 0


class BackgroundPart(typing.Protocol):
    """A part that works in threads of its own."""

    def start(self) -> None:
        """Start working."""

    def stop(self) -> None:
        """Stop working."""


class Node:
    """One instance, which answers callers, lookups and readiness probes.

    Parameters
    ----------
    settings
        The settings of this process.
    """

    def __init__(self, settings: serving.ServeSettings) -> None:
        self.settings = settings
        self.shutdown = shutdowns.Shutdown(self.serving_bound_s)
        self.in_flight = inflight.InFlight()
        self.held = held_bytes.HeldBytes(held_limit(settings))
        self.budget = client_budget.build(settings)
        self.stopping = threading.Event()
        self.loop = event_loop.EventLoop("peers")
        self.suspension = suspension.SuspensionWatch()
        self.metrics = metrics.Registry()
        self.malformed_counter = malformed.Tally(
            node_metrics.malformed_counter(self.metrics)
        )
        self.store = stores.StoreClient(
            str(settings.store.address), self.malformed_counter
        )
        self.pool = connections.Pool()
        self.instances = node_instances.Instances(settings.instance.name)
        self.calls = node_calls.PeerCalls(self.instances)
        self.eligibility = node_eligibility.build(
            settings,
            self.instances,
            lambda: self.feeds.registry.age_s(),
            self.malformed_counter,
        )
        self.topic_reads = feeds_sharing.SharedReads(
            self.store,
            node_feeds.TOPICS,
            self.calls,
            settings.instance.name,
        )
        self.feeds = node_feeds.build(
            settings,
            self.store,
            self.topic_reads,
            self.configuration_changed,
            self.forget_endpoints,
            self.malformed_counter,
            self.eligibility.evacuations,
            self.record_entry,
            self.configuration_named,
        )
        self.instances.registrations = self.feeds.registrations
        registry = self.feeds.registry
        registry.may_be_outdated = self.entries_may_be_outdated
        self.restarts = start_updates.StartUpdates(registry.apply_start)
        self.leaving = start_updates.StartUpdates(registry.apply_leaving)
        self.announcement_recorder = node_announcements.AnnouncementRecorder(
            self.eligibility,
            self.leaving,
            node_metrics.announcement_counters(self.metrics),
        )
        self.freshness = freshness.ConfigurationFreshness(
            self.feeds.configuration_complete_until_s,
            settings.bounds.configuration_ms / MS,
            self.instances.may_have_peers,
        )
        self.reachability = tracker.Reachability(self.feeds.registry.serving)
        self.weights = node_weights.Weights(
            settings,
            self.store,
            self.feeds,
            self.instances,
            engines.EngineClient(
                self.malformed_counter,
                self.restarts.record,
                self.leaving.record,
            ),
            self.malformed_counter,
            self.reachability,
        )
        self.paths = node_paths.build(
            self.reachability,
            self.pool,
            self.instances,
            self.eligibility.region_map.region_of,
            self.announcement_recorder.record,
            self.metrics,
        )
        self.fetch_leases = fetch_leases.FetchLeases(
            self.weights.in_use_s,
            lambda: self.weights.goals.newest,
            self.feeds.configuration_complete_until_s,
        )
        self.chooser = choosers.Chooser(
            self.feeds.registry.serving,
            self.weights.required,
            self.weights.known_weights,
            self.feeds.registry.age_s,
            loads.Loads(self.calls.size, lambda: len(self.instances.all())),
            eligibility=self.eligibility,
            reachability=self.reachability,
            software_of=registry.software_of,
            predict=settings.load.predict,
            sharing=cache_sharing.CacheSharing(
                self.configuration_may_be_outdated
            ),
            end_of_fetch=self.fetch_leases.end_of_fetch,
        )
        self.chooser.bodies.limit = endpoint_limit(settings)
        self.chooser.bodies.instances = self.instances.known_count
        cache_stores = cache.CacheStoreClient(self.malformed_counter)
        self.store_watches = store_watches.StoreWatches(
            cache_stores,
            self.calls,
            self.chooser.kept_index,
            settings.instance.name,
            self.paths.store_readers,
            self.instances.known_count,
            self.instances.weight_of,
        )
        self.store_sharing = store_sharing.StoreSharing(
            self.chooser.kept_index, self.store_watches.reads
        )
        self.sweeper = sweeping.Sweeper(
            cache_stores,
            self.chooser.kept_index,
            sweeping.Sources(
                named=lambda: self.feeds.operators.named,
                readings=lambda: self.feeds.operators.readings,
                confirm=self.feeds.confirm_operators,
                is_superseded=lambda scope: cache_sharing.is_superseded(
                    scope, self.feeds.operators.named_isolated
                ),
            ),
            settings.instance.name,
            self.instances.all_names,
        )
        self.crashes = node_crashes.Crashes(
            self.reachability,
            registry,
            settings.bounds.endpoint_heartbeat_ms / MS,
            self.instances,
            self.calls,
            self.store,
            self.malformed_counter,
            self.metrics,
        )
        self.losses = self.crashes.losses
        self.software = software.SoftwareHistory(
            registry.all, self.feeds.endpoint_reads
        )
        self.origins = origin_exchange.OriginExchange(
            origin_memory.OriginMemory(),
            settings.instance.name,
            str(settings.listen.relay_address()),
            self.feeds.registrations.relay_addresses,
            self.instances.key,
            self.malformed_counter,
        )
        self.origin_records = origin_records.OriginRecords(
            self.store,
            names.ORIGINS_TOPIC,
            settings.instance.name,
            self.origins.known,
            lambda: len(self.feeds.registrations.relay_addresses()),
            self.malformed_counter,
        )
        self.supervisor = supervision.Supervisor()
        self.waiting = node_forwarding.waiting_queue(
            settings.load,
            self.chooser,
            self.feeds.operators.current,
            self.metrics,
        )
        self.forwarding = forwarding.Forwarding(self.forwarding_dependencies())
        self.servers = self.build_servers()
        self.reloading = reloading.SettingsReloader(
            settings, self.apply_settings
        )
        self.cell_loads = cell_loads.CellLoads(
            self.chooser.loads,
            self.calls,
            local_name=(
                settings.instance.name if settings.load.tell_at_once else ""
            ),
        )
        self.cell_weights = cell_weights.CellWeights(
            self.weights.known_weights, self.calls, settings.instance.name
        )
        self.cell_limits = cell_limits.CellLimits(
            self.eligibility.rate_limits, self.calls
        )
        self.cell_rejection_limits = cell_limits.CellLimits(
            self.eligibility.rejection_limits,
            self.calls,
            message_type=cell_limits.CellRejectionLimits,
        )
        self.peer_configuration = peer_configuration.PeerConfiguration(
            self.feeds.operators, self.calls
        )
        self.peer_connector = node_membership.PeerConnector(
            settings,
            self.store,
            self.feeds.registrations,
            self.peer_parts(),
            self.calls,
            self.instances,
            self.stopping,
            self.malformed_counter,
            self.loop,
            node_metrics.notice_counters(self.metrics),
        )
        self.expiry = expiry.Expiry(
            self.feeds.registrations, self.instances.fresh_names
        )
        self.background: tuple[BackgroundPart, ...] = (
            self.suspension,
            self.paths,
            self.crashes,
            self.origins,
            self.origin_records,
            self.fetch_leases,
            self.sweeper,
            self.store_watches,
            self.expiry,
            self.cell_loads,
            self.cell_weights,
            self.cell_limits,
            self.cell_rejection_limits,
            self.peer_connector,
            *([] if self.waiting is None else [self.waiting]),
        )
        node_metrics.register(self.metrics, self.readings())
        client_budget.register(self.metrics, self.budget)
        self.held.on_refused = node_metrics.held_refusals(self.metrics).add
        self.threads = threads.ThreadGauge(self.metrics)
        self.housekeeping = repeating.Repeater(
            "housekeeping", self.run_housekeeping, HOUSEKEEPING_INTERVAL_S
        )

    def peer_parts(self) -> node_membership.PeerParts:
        """Return the parts that exchange state with peers."""
        return node_membership.PeerParts(
            loads=self.chooser.loads,
            cell_loads=self.cell_loads,
            restarts=self.restarts,
            leaving=self.leaving,
            crashes=self.crashes,
            weights=self.weights,
            cell_weights=self.cell_weights,
            rate_limits=self.eligibility.rate_limits,
            cell_limits=self.cell_limits,
            rejection_limits=self.eligibility.rejection_limits,
            cell_rejection_limits=self.cell_rejection_limits,
            configuration=self.peer_configuration,
            reachability=self.reachability,
            stores=self.store_sharing,
            topics=self.topic_reads,
            cached_parts=self.chooser.sharing,
            configuration_age=self.freshness,
        )

    def forwarding_dependencies(self) -> request_context.Dependencies:
        """Return the dependencies of forwarding."""
        return node_forwarding.dependencies(
            self.settings.bounds,
            node_forwarding.Parts(
                table=self.feeds.operators.current,
                chooser=self.chooser,
                sender=attempts.Sender(
                    self.pool,
                    requests.decode_answer,
                    self.announcement_recorder.record,
                ),
                relays=self.paths.relays,
                crashes=self.crashes.checks,
                origins=stream_origins.StreamOrigins(
                    self.origins,
                    self.software,
                    self.feeds.registry,
                    self.origin_records,
                    node_metrics.streams_taken_up(self.metrics),
                ),
                supervisor=self.supervisor,
                instances=self.instances,
                in_flight=self.in_flight,
                shutdown=self.shutdown,
                metrics=self.metrics,
                waiting=self.waiting,
            ),
        )

    def build_servers(self) -> dict[str, http.Server]:
        """Return the servers by purpose, not yet bound."""
        listen = self.settings.listen
        handlers = local_handlers.LocalHandlers(
            self.is_ready,
            zonal.ZonalLookup(
                self.instances.all,
                self.feeds.registrations.zone_of,
                self.instances.weight_of,
                self.eligibility.region_map.region_of,
                self.paths.reaches_all_services,
            ),
            str(listen.callers),
            lambda: self.settings.bounds.lookup_ttl_max_s,
            self.metrics,
        )
        return node_servers.build(
            listen,
            self.forwarding.handle,
            self.forwarding.handle_relayed,
            self.in_flight,
            self.held,
            self.budget,
            node_metrics.callers_not_reading(self.metrics),
            handlers,
        )

    # Start and stop.

    def start(self) -> None:
        """Start serving; a separate thread connects to the peers."""
        self.supervisor.start()
        self.reloading.start()
        for server in self.servers.values():
            server.start_serving()
        self.feeds.start()
        self.weights.start()
        for part in self.background:
            part.start()
        self.housekeeping.start()

    def run_housekeeping(self) -> None:
        """Drop expired state, and fetch newer configurations from peers."""
        self.feeds.registry.forget_lapsed()
        self.eligibility.evacuations.review()
        self.keep_only_endpoints(self.feeds.registry.ids())
        self.pool.close_expired()
        self.threads.update()
        names = frozenset(self.instances.all_names())
        self.crashes.forget_expired()
        self.chooser.loads.keep_only(names)
        self.paths.keep_only(names)
        self.peer_configuration.keep_only(names)
        self.peer_configuration.review()

    def drain(
        self,
        interrupted: typing.Callable[[], bool],
        stop_requested_s: float | None = None,
    ) -> drains.Outcome:
        """Leave the lookups and serve the requests in flight.

        Parameters
        ----------
        interrupted
            Whether to stop waiting now.
        stop_requested_s
            Time of the request to stop, by the boot clock; now unless
            given.
        """
        return node_draining.Draining(
            self.shutdown,
            self.in_flight,
            self.forwarding.active_requests,
            self.instances,
            self.deregister,
        ).run(interrupted, stop_requested_s)

    def serving_bound_s(self) -> float:
        """Return the longest time from SIGTERM to the end of serving."""
        return self.settings.bounds.shutdown_s - EXIT_MARGIN_S

    def deregister(self) -> None:
        """Release the lease for issuing orders, and the registration."""
        self.weights.stop()
        self.feeds.registrations.stop()

    def stop(self, wait_s: float = STOP_WAIT_S) -> None:
        """Stop all parts.

        Parameters
        ----------
        wait_s
            Maximum wait for the servers to stop, in seconds.
        """
        self.stopping.set()
        self.housekeeping.stop()
        self.reloading.stop()
        for part in self.background:
            part.stop()
        if not self.shutdown.begun:
            self.deregister()
        node_servers.stop_all(self.servers.values(), wait_s)
        self.in_flight.close(wait_s)
        self.feeds.stop()
        self.topic_reads.stop()
        if self.instances.membership is not None:
            self.instances.membership.stop()
        self.loop.stop()
        self.supervisor.stop()

    def apply_settings(self, settings: serving.ServeSettings) -> None:
        """Apply changed settings, except for the listen addresses."""
        self.settings = settings
        self.weights.settings = settings
        self.held.limit = held_limit(settings)
        self.chooser.bodies.limit = endpoint_limit(settings)
        bounds = settings.bounds
        self.eligibility.starts.limits = node_eligibility.limits_of(bounds)
        self.eligibility.region_map.by_zone = settings.instance.regions()
        self.chooser.compare_by_prediction(settings.load.predict)
        budget = self.forwarding.deps.budget
        budget.ratio = bounds.retry_ratio
        budget.slack = bounds.retry_slack
        self.freshness.apply_s = bounds.configuration_ms / MS
        if str(settings.store.address) != self.store.address:
            self.store.move_to(str(settings.store.address))

    # Callbacks of the parts.

    def readings(self) -> node_metrics.Readings:
        """Return the values of the parts that metrics read."""
        return node_metrics.Readings(
            in_flight=lambda: self.in_flight.count,
            held_bytes=lambda: self.held.total,
            held_bytes_limit=lambda: self.held.limit,
            connections_opened=lambda: self.pool.opened,
            store_calls=lambda: self.store.calls,
            store_era=lambda: self.store.era,
            topic_reads_direct=lambda: self.topic_reads.direct_reads,
            topic_reads_shared=lambda: self.topic_reads.shared_reads,
            configuration_version=self.feeds.configuration_version,
            endpoints_known=lambda: len(self.feeds.registry.all()),
            endpoints_cold=self.eligibility.starts.cold_count,
            endpoints_in_backoff=self.eligibility.backoffs.count,
            endpoints_rate_limited=self.eligibility.rate_limits.limited_count,
            endpoints_rejection_limited=(
                self.eligibility.rejection_limits.limited_count
            ),
            software_versions=self.software.most_versions,
            services_unreachable=lambda: len(self.reachability.unreachable),
            parts_suspected=self.crashes.count_suspected_parts,
            requests_suspected=self.crashes.count_suspected_requests,
            zones_evacuated=lambda: len(self.eligibility.evacuations.zones),
        )

    def configuration_changed(
        self, configuration: routes.Configuration
    ) -> None:
        """Apply the limits of a new configuration, and follow its stores.

        Raises
        ------
        MalformedError
            If it names an unknown region; it doesn't take effect then.
        """
        self.eligibility.region_map.check(configuration)
        limits = configuration.limits
        node_servers.apply_limits(self.servers, limits)
        freeing_stores = [
            store for store in configuration.stores() if store.frees_on_request
        ]
        self.chooser.kept_index.set_stores(freeing_stores)
        self.chooser.sharing.apply(configuration)
        self.chooser.predictor.max_pauses = configuration.max_pauses()
        self.store_watches.follow([store.address for store in freeing_stores])

    def configuration_named(self, configuration: routes.Configuration) -> None:
        """Apply a configuration that the store names, also an older one."""
        self.chooser.sharing.apply_named(configuration)

    def configuration_may_be_outdated(self) -> bool:
        """Return whether the configuration in force may be outdated."""
        return (
            self.suspension.is_catching_up() or not self.freshness.is_fresh()
        )

    def entries_may_be_outdated(self) -> bool:
        """Return whether endpoints may have restarted in a suspension."""
        return self.suspension.was_suspended_since(
            self.feeds.endpoint_reads.read_until_s
        )

    def forget_endpoints(self, ids: frozenset[str]) -> None:
        """Drop the state of endpoint starts that are gone."""
        self.pool.forget(ids)
        self.software.record_gone(ids)
        for endpoint_id in ids:
            self.chooser.residency.forget(endpoint_id)
            self.chooser.predictor.rates.forget(endpoint_id)
            self.weights.known_weights.forget(endpoint_id)
        # Counts losses before what replaces these starts gets requests.
        self.losses.review()

    def record_entry(self, endpoint: discovery.Endpoint) -> None:
        """Apply what an endpoint's entry tells beyond its description."""
        self.eligibility.record_entry(endpoint)
        self.chooser.avoided.record_entry(endpoint.id)
        self.software.record_entry(endpoint)

    def keep_only_endpoints(self, ids: frozenset[str]) -> None:
        """Drop state that arrived after its endpoint start was gone.

        Guard: such state is never used, since it is stored under the id of
        that start, but it would not be freed: endpoints restart all day, so
        memory would grow without bound.
        """
        self.pool.keep_only(ids)
        self.software.keep_only(ids)
        self.chooser.forget_old(ids)
        self.eligibility.keep_only(ids)
        self.weights.known_weights.keep_only(ids)

    def is_ready(self) -> bool:
        """Return whether callers may be directed to this instance.

        Until the ages of the weight goals are known, prompts are refused
        where engines have older weights.  Until the records of parts that
        crash endpoints are read, prompts with these would be sent.
        """
        return (
            not self.shutdown.begun
            and self.feeds.operators.current() is not None
            and not self.weights.goal_times.must_wait()
            and self.crashes.records.is_settled()
            and not self.origin_records.must_wait()
        )
