"""Composing the one process that serves on the users' platform."""

from __future__ import annotations

import dataclasses
import secrets
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.compose import reloading
from briarseam.discovery import registry as registries
from briarseam.feeds import following
from briarseam.forwarding import attempts
from briarseam.forwarding import connections
from briarseam.forwarding import crash_guard
from briarseam.forwarding import refusing
from briarseam.forwarding import retry_budget
from briarseam.forwarding import server as http
from briarseam.forwarding import service as forwarding
from briarseam.forwarding import shutdown as shutdowns
from briarseam.forwarding import supervision
from briarseam.lookup import zonal
from briarseam.membership import drain
from briarseam.membership import service as membership
from briarseam.membership import state as members
from briarseam.metrics import registry as metrics
from briarseam.metrics import rendering
from briarseam.peers import registrations
from briarseam.placement import chooser as choosers
from briarseam.placement import store_watch
from briarseam.placement import sweeping
from briarseam.platform import answers
from briarseam.platform import border
from briarseam.platform import cache
from briarseam.platform import documents
from briarseam.platform import endpoints
from briarseam.platform import engines
from briarseam.platform import names
from briarseam.platform import requests
from briarseam.platform import store as stores
from briarseam.routes import following as operators
from briarseam.weights import board as boards
from briarseam.weights import rollout as rollouts
from briarseam.weights import tenure as tenures
from briarseam.wire import connection as wire_connection
from briarseam.wire import server as wire

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.routes import model as routes
    from briarseam.settings import serving

# A change must be in force within two seconds of an instance being in touch
# for three.  A connection that went silent shows at the end of a poll, so
# that end must come in three seconds.
OPERATOR_POLL_S = 2.0
ENDPOINT_POLL_S = 1.5
# Endpoints write every second or so, each; read one by one that would be a
# call for each write.  A leaving endpoint is served two seconds longer.
ENDPOINT_PAUSE_S = 0.6
REGISTRATION_POLL_S = 10.0
HEARTBEAT_S = 0.5
SUSPECT_AFTER_S = 1.6
LISTING_INTERVAL_S = 0.5
LOOKUP_TTL_S = 2.0
HOUSEKEEPING_S = 1.0
# Left of the time to shut down, for the end of the process itself.
EXIT_MARGIN_S = 1.0
# Lookups are kept for three times their time to live by some callers, but
# those have other addresses to turn to.
LINGER_S = 3.0
STOP_WAIT_S = 5.0
LOADS_SECTION = "endpoint-loads"
WEIGHTS_SECTION = "weights"
LOSSES_SECTION = "lost-requests"
ORDERS_GROUP = "briarseam-orders"
START_BYTES = 4
# Added to the time for which holders must not take turns: orders arrive a
# little after they were sent.
LEASE_SLACK_S = 0.3
# A request that is sent may wait at its engine for about this long before
# it begins; it must not begin on weights that are too old by then.
VERSION_MARGIN_S = 2.0
MS = 1000.0
log = structlog.get_logger("briarseam.node")


@dataclasses.dataclass(frozen=True)
class Feeds:
    """What is followed on the store."""

    operators: operators.OperatorFeed
    registry: registries.EndpointRegistry
    registrations: registrations.Registrations
    followers: tuple[following.Follower, ...]

    def start(self) -> None:
        """Begin following."""
        for follower in self.followers:
            follower.start()

    def stop(self) -> None:
        """Stop following."""
        for follower in self.followers:
            follower.stop()


class Node:
    """One instance: it answers callers, lookups and readiness.

    Parameters
    ----------
    settings
        The settings of this process.
    """

    def __init__(self, settings: serving.ServeSettings) -> None:
        self.settings = settings
        self.shutdown = shutdowns.Shutdown(self.serving_bound_s)
        self.stopping = threading.Event()
        self.metrics = metrics.Registry()
        self.store = stores.StoreClient(str(settings.store.address))
        self.pool = connections.Pool()
        self.feeds = self.build_feeds()
        self.board = boards.Board(self.feeds.operators.goals)
        self.chooser = choosers.Chooser(
            self.feeds.registry.serving,
            self.required_weights,
            self.board,
            self.feeds.registry.age_s,
        )
        cache_stores = cache.CacheStoreClient()
        self.store_watches = store_watch.StoreWatches(
            cache_stores, self.chooser.kept
        )
        self.sweeper = sweeping.Sweeper(
            cache_stores,
            self.chooser.kept,
            self.oldest_weights,
            settings.instance.name,
            lambda: [member.name for member in self.all_members()],
        )
        self.tenure = self.build_tenure()
        self.rollout = self.build_rollout()
        self.guard = crash_guard.CrashGuard()
        self.supervisor = supervision.Supervisor()
        self.members: membership.Membership | None = None
        self.lookup = zonal.ZonalLookup(
            self.all_members, self.feeds.registrations.zone_of
        )
        self.forwarding = forwarding.Forwarding(self.build_forwarding())
        self.servers = self.build_servers()
        self.reloading = reloading.Reloading(settings, self.apply_settings)
        self.register_metrics()

    def build_feeds(self) -> Feeds:
        """Return what is followed on the store."""
        settings = self.settings
        feed = operators.OperatorFeed(
            documents.OperatorDocuments(), self.configuration_changed
        )
        registry = registries.EndpointRegistry(
            endpoints.decode_endpoint, self.endpoints_gone
        )
        rows = registrations.Registrations(
            self.store,
            names.MEMBERS_TOPIC,
            registrations.Registration(
                name=settings.instance.name,
                address=str(settings.listen.peers),
                group=settings.instance.region,
                zone=settings.instance.zone,
            ),
        )
        followers = (
            following.Follower(
                self.store, names.OPERATOR_TOPIC, feed, OPERATOR_POLL_S
            ),
            following.Follower(
                self.store,
                names.ENDPOINTS_TOPIC,
                registry,
                ENDPOINT_POLL_S,
                ENDPOINT_PAUSE_S,
            ),
            following.Follower(
                self.store, names.MEMBERS_TOPIC, rows, REGISTRATION_POLL_S
            ),
        )
        return Feeds(feed, registry, rows, followers)

    def build_forwarding(self) -> forwarding.Parts:
        """Return what forwarding needs."""
        bounds = self.settings.bounds
        registry = self.metrics
        return forwarding.Parts(
            table=self.feeds.operators.current,
            border=border.CallBorder(),
            refusals=refusing.Refusals(answers.encode_verdict),
            chooser=self.chooser,
            sender=attempts.Sender(self.pool, requests.decode_answer),
            guard=self.guard,
            supervisor=self.supervisor,
            budget=retry_budget.RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                lambda: len(self.all_members()),
            ),
            shutdown=self.shutdown,
            metrics=forwarding.Metrics(
                answers=registry.counters(
                    "answers_total",
                    "Requests of callers by how they ended",
                    ("outcome",),
                ),
                sends=registry.counters(
                    "sends_total",
                    "Sends to endpoints by what became of them",
                    ("outcome",),
                ),
                first_event_us=registry.latency(
                    "first_event_us",
                    "Time from a request to its stream's first event",
                ),
                whole_us=registry.latency(
                    "answer_us", "Time from a request to the end of it"
                ),
            ),
        )

    def build_tenure(self) -> tenures.Tenure:
        """Return this instance's part in who gives orders."""
        start = secrets.token_hex(START_BYTES)
        return tenures.Tenure(
            self.store,
            ORDERS_GROUP,
            names.ORDERS_TOPIC,
            f"{self.settings.instance.name}/{start}",
            self.settings.bounds.lease_ms / MS + LEASE_SLACK_S,
        )

    def build_rollout(self) -> rollouts.Rollout:
        """Return what brings engines to the wanted weights."""
        return rollouts.Rollout(
            rollouts.Sources(
                goals=lambda: self.feeds.operators.goals.newest,
                targets=self.engines_of,
                tenure=self.tenure,
                engines=engines.EngineClient(),
                board=self.board,
                holder=self.settings.instance.name,
            )
        )

    def build_servers(self) -> dict[str, http.Server]:
        """Return the servers by what they are for, nothing bound."""
        listen = self.settings.listen
        return {
            "callers": http.Server(
                "callers",
                (listen.callers.ip, listen.callers.port),
                self.forwarding.handle,
            ),
            "readiness": http.Server(
                "readiness",
                (listen.readiness.ip, listen.readiness.port),
                self.answer_readiness,
            ),
            "lookups": http.Server(
                "lookups",
                (listen.lookups.ip, listen.lookups.port),
                self.answer_lookup,
            ),
            "metrics": http.Server(
                "metrics",
                (listen.metrics.ip, listen.metrics.port),
                self.answer_metrics,
            ),
        }

    def register_metrics(self) -> None:
        """Let metrics tell of the parts."""
        self.metrics.reading(
            "requests_in_flight",
            "Requests of callers under way",
            lambda: self.forwarding.in_flight,
        )
        self.metrics.reading(
            "endpoint_connections_opened",
            "Connections opened to endpoints since start",
            lambda: self.pool.opened,
        )
        self.metrics.reading(
            "store_calls",
            "Calls to the platform's store since start",
            lambda: self.store.calls,
        )
        self.metrics.reading(
            "configuration_version",
            "Version of the configuration in force; 0 before the first",
            self.configuration_version,
        )
        self.metrics.reading(
            "endpoints_known",
            "Endpoints that have an entry",
            lambda: len(self.feeds.registry.all()),
        )

    # Life of the process.

    def start(self) -> None:
        """Begin to serve; peers are met in a thread of its own."""
        self.supervisor.start()
        self.reloading.start()
        for server in self.servers.values():
            server.start_serving()
        self.feeds.start()
        self.tenure.start()
        self.rollout.start()
        self.sweeper.start()
        threading.Thread(
            target=self.meet_peers, name="meet-peers", daemon=True
        ).start()
        threading.Thread(
            target=self.keep_house, name="housekeeping", daemon=True
        ).start()

    def meet_peers(self) -> None:
        """Join the other instances, once the store tells the secret."""
        secret = registrations.agree_on_secret(
            self.store,
            names.MEMBERS_TOPIC,
            stores.encode_keyed,
            self.stopping,
        )
        if secret is None:
            return
        settings = self.settings
        service = membership.Membership(
            members.Me(
                name=settings.instance.name,
                zone=settings.instance.region,
                agent_address=str(settings.listen.peers),
                entry_addresses=(str(settings.listen.callers),),
            ),
            self.feeds.registrations,
            secret,
            parts_of=self.feeds.registrations.groups_of,
            heartbeat_interval_s=HEARTBEAT_S,
            suspect_after_s=SUSPECT_AFTER_S,
            list_interval_s=LISTING_INTERVAL_S,
        )
        service.add_section(
            LOADS_SECTION,
            self.chooser.loads.provide,
            self.chooser.loads.consume,
        )
        service.add_section(
            WEIGHTS_SECTION, self.board.provide, self.board.consume
        )
        service.add_section(
            LOSSES_SECTION, self.guard.provide, self.guard.consume
        )
        router = wire.Router()
        service.register(router)
        server = wire.Server(
            str(settings.listen.peers),
            wire_connection.Identity("agent", settings.instance.name),
            secret,
            router,
        )
        server.start()
        service.start()
        self.members = service
        self.feeds.registrations.start()
        log.info("peers_met", address=str(settings.listen.peers))

    def keep_house(self) -> None:
        """Forget what is old until stopped."""
        while not self.stopping.wait(HOUSEKEEPING_S):
            self.pool.close_old()
            self.chooser.kept.forget_old()
            self.guard.forget_old()
            self.feeds.registry.forget_lapsed()
            self.chooser.loads.keep_only(
                frozenset(member.name for member in self.all_members())
            )

    def drain(self, hurry: typing.Callable[[], bool]) -> drain.Outcome:
        """Leave the lookups and serve what is under way."""
        self.shutdown.begin()
        bound_s = self.serving_bound_s()
        return drain.Drain(
            announce=self.announce_leaving,
            told=lambda: self.members is None or self.members.told(),
            in_flight=lambda: self.forwarding.in_flight,
            linger_s=lambda: min(LINGER_S, bound_s / 2),
            bound_s=bound_s,
            hurry=hurry,
        ).run()

    def serving_bound_s(self) -> float:
        """Return the longest time from SIGTERM to the end of serving."""
        return self.settings.bounds.shutdown_s - EXIT_MARGIN_S

    def announce_leaving(self) -> None:
        """Tell peers and store that this instance will be gone soon."""
        if self.members is not None:
            self.members.announce_leaving()
        # The store may be away; what serves must not wait for it.
        threading.Thread(
            target=self.sign_off, name="sign-off", daemon=True
        ).start()

    def sign_off(self) -> None:
        """Give up this instance's duty and registration."""
        self.rollout.stop()
        self.tenure.stop()
        self.feeds.registrations.stop()

    def stop(self, wait_s: float = STOP_WAIT_S) -> None:
        """Stop all parts.

        Parameters
        ----------
        wait_s
            Longest wait for the servers to end, in seconds.
        """
        self.stopping.set()
        self.reloading.stop()
        self.sweeper.stop()
        self.store_watches.stop()
        if not self.shutdown.begun:
            self.sign_off()
        self.stop_servers(wait_s)
        self.feeds.stop()
        if self.members is not None:
            self.members.stop()
        self.supervisor.stop()

    def stop_servers(self, wait_s: float) -> None:
        """Stop all servers at once: each takes half a second or more."""
        end_s = clocks.boot_clock() + wait_s
        threads = [
            threading.Thread(target=server.stop, daemon=True)
            for server in self.servers.values()
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(max(0.0, end_s - clocks.boot_clock()))

    def apply_settings(self, settings: serving.ServeSettings) -> None:
        """Put changed settings in force, but for where this listens."""
        self.settings = settings
        bounds = settings.bounds
        budget = self.forwarding.parts.budget
        budget.ratio = bounds.retry_ratio
        budget.slack = bounds.retry_slack
        if str(settings.store.address) != self.store.address:
            self.store.move_to(str(settings.store.address))

    # What the parts ask of each other.

    def all_members(self) -> typing.Sequence[members.Member]:
        """Return all known instances, this one included."""
        service = self.members
        return () if service is None else service.everyone()

    def configuration_version(self) -> int:
        """Return the version in force; 0 before the first."""
        table = self.feeds.operators.current()
        return 0 if table is None else table.configuration.version

    def engines_of(self, model: str) -> list[discovery.Endpoint]:
        """Return the engines that serve a model and are not leaving."""
        table = self.feeds.operators.current()
        if table is None:
            return []
        serving = {
            service.name
            for service in table.configuration.services.values()
            if service.engine is not None and model in service.engine.models
        }
        return [
            endpoint
            for endpoint in self.feeds.registry.all()
            if endpoint.service in serving and not endpoint.leaving
        ]

    def oldest_weights(self, model: str) -> int | None:
        """Return the oldest weights that an engine may have.

        ``None`` when an engine's are not known, or there is none: one that
        is just restarting comes back with what it had.
        """
        versions = [
            self.chooser.version_of(endpoint, model)
            for endpoint in self.feeds.registry.all()
            if model in endpoint.versions
        ]
        if not versions or not all(versions):
            return None
        return min(versions)

    def required_weights(self, model: str) -> int:
        """Return the oldest weights that requests may still begin on."""
        after_s = self.settings.bounds.version_ms / MS - VERSION_MARGIN_S
        return self.feeds.operators.goals.required(model, after_s)

    def configuration_changed(
        self, configuration: routes.Configuration
    ) -> None:
        """Let the callers' server keep to the limits in force."""
        limits = configuration.limits
        server = self.servers["callers"]
        server.set_idle_timeout(limits.idle_timeout_s)
        server.max_request_header_size = limits.header_bytes
        server.max_request_body_size = limits.body_bytes
        keeping = [store for store in configuration.stores() if store.explicit]
        self.chooser.kept.set_stores(keeping)
        self.store_watches.follow([store.address for store in keeping])

    def endpoints_gone(self, ids: frozenset[str]) -> None:
        """Forget endpoints that are gone."""
        self.pool.forget(ids)
        for endpoint_id in ids:
            self.chooser.residency.forget(endpoint_id)
            self.board.forget(endpoint_id)

    # Small answers.

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return (
            not self.shutdown.begun
            and self.feeds.operators.current() is not None
        )

    def answer_readiness(self, exchange: http.Exchange) -> None:
        """Tell whether this instance is ready."""
        if not answers.is_readiness(exchange.target):
            exchange.answer(404, (), b"")
            return
        exchange.answer(200 if self.is_ready() else 503, (), b"")

    def answer_lookup(self, exchange: http.Exchange) -> None:
        """Tell a caller which addresses to use."""
        question = answers.decode_lookup(exchange.target)
        if question is None:
            exchange.answer(404, (), b"")
            return
        addresses = self.lookup.addresses(question.zone)
        if not addresses and self.is_ready():
            addresses = [str(self.settings.listen.callers)]
        if not addresses:
            exchange.answer(503, (), b"")
            return
        ttl_s = min(LOOKUP_TTL_S, self.settings.bounds.lookup_ttl_max_s)
        body = answers.encode_addresses(addresses, ttl_s)
        exchange.answer(200, (("Content-Type", answers.JSON),), body)

    def answer_metrics(self, exchange: http.Exchange) -> None:
        """Answer a scrape."""
        headers = (("Content-Type", rendering.CONTENT_TYPE),)
        exchange.answer(200, headers, self.metrics.render().encode())
