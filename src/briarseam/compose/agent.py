"""Wiring of the agent daemon."""

from __future__ import annotations

import dataclasses
import math
import typing

from briarseam import verdict
from briarseam.admission import idempotency
from briarseam.admission import locating
from briarseam.admission import service as admission
from briarseam.backing import log as platform_log
from briarseam.claims import service as claims_module
from briarseam.compose import claims as compose_claims
from briarseam.compose import configuration as compose_configuration
from briarseam.compose import crashes
from briarseam.compose import kept as compose_kept
from briarseam.compose import membership as compose_membership
from briarseam.compose import orders as compose_orders
from briarseam.compose import recording
from briarseam.compose import serving
from briarseam.compose import timeline as compose_timeline
from briarseam.configuration import reader as configuration
from briarseam.leases import service as lease_module
from briarseam.lookup import service as lookup
from briarseam.membership import drain
from briarseam.membership import endpoints
from briarseam.membership import entries
from briarseam.membership import service as membership_module
from briarseam.metrics import registry as metrics
from briarseam.metrics import service as metrics_service
from briarseam.orders import service as order_module
from briarseam.status import service as status
from briarseam.timeline import ring as rings
from briarseam.timeline import service as timelines
from briarseam.wire import connection
from briarseam.wire import server as wire

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module

MS = 1000.0
RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class AgentDaemon:
    """The parts of an agent."""

    server: wire.Server
    membership: membership_module.Membership
    configuration: configuration.ConfigurationReader
    admission: admission.Admission
    claims: claims_module.Claims
    idempotency: idempotency.Idempotency
    crashes: crashes.CrashGuardParts
    serving: serving.ServingParts
    registry: metrics.Registry
    ring: rings.Ring
    timeline: timelines.Timeline
    leases: lease_module.Leases
    orders: order_module.Orders
    entries: entries.LocalEntries
    leaving: endpoints.LeavingEndpoints
    stop_bound_s: float

    def start(self) -> str:
        """Start all parts and return the server's address."""
        self.server.start()
        self.membership.start()
        self.entries.start()
        self.configuration.start()
        self.claims.start()
        self.idempotency.start()
        self.leases.start()
        self.orders.start()
        self.crashes.start()
        self.serving.start()
        self.admission.start()
        return self.server.address

    def stop(self) -> None:
        """Stop all parts, mostly in reverse order of their start."""
        self.admission.stop()
        self.serving.stop()
        self.orders.stop()
        self.leases.stop()
        self.crashes.stop()
        self.idempotency.stop()
        self.claims.stop()
        self.configuration.stop()
        self.entries.stop()
        self.membership.stop()
        self.server.stop()

    def drain(self, interrupted: typing.Callable[[], bool]) -> drain.Outcome:
        """Withdraw from the lookups and wait until nothing is in flight.

        Parameters
        ----------
        interrupted
            Whether to stop waiting now.
        """
        return drain.Drain(
            announce=self.membership.announce_leaving,
            published=self.membership.is_published,
            in_flight=self.in_flight,
            settle=lambda: self.in_flight() == 0,
            linger_s=lambda: self.entries.linger_s,
            bound_s=self.stop_bound_s,
            interrupted=interrupted,
        ).run()

    def in_flight(self) -> int:
        """Return how much work would be lost if this agent stopped now.

        This counts queued requests, runs that its entries relay, entries
        that are shutting down, and outcomes that are not yet in the log.  If
        such an outcome is lost, each later call with its key is answered
        with "unknown".
        """
        return (
            self.serving.dispatcher.queued_count()
            + len(self.serving.placer.runs)
            + self.entries.leaving()
            + self.claims.count_pending()
        )


def shared_key(settings: settings_module.Settings) -> bytes:
    """Return the key that all processes of the system share."""
    secret = settings.agent.shared_key
    if secret is None:
        raise ValueError("the settings have no shared key")
    return secret.value


@dataclasses.dataclass(frozen=True)
class StalenessGate:
    """Refuses new work while this agent's configuration may be stale.

    An agent that was partitioned or frozen would otherwise send work to
    endpoints that are leaving, or for organisations that were removed.
    Callers that are refused as not run retry at another instance.

    Attributes
    ----------
    reader
        Configuration reader of this agent.
    stale_after_s
        Longest time without proof that the configuration is current, in
        seconds.
    """

    reader: configuration.ConfigurationReader
    stale_after_s: float

    def __call__(self) -> verdict.NotRun | None:
        """Return the refusal, or ``None`` if the configuration is current."""
        stale_s = self.reader.staleness_s()
        if stale_s <= self.stale_after_s:
            return None
        detail = "this instance has no configuration yet"
        if not math.isinf(stale_s):
            detail = "this instance may have missed configuration changes"
        return verdict.NotRun(
            verdict.Reason.NOT_CURRENT, detail, RETRY_AFTER_S
        )


def build_agent(settings: settings_module.Settings) -> AgentDaemon:
    """Return an agent whose socket is bound and whose parts are stopped."""
    key = shared_key(settings)
    identity = connection.Identity("agent", settings.instance.name)
    registry = metrics.Registry(settings.limits.max_metric_label_values)
    ring = compose_timeline.build_ring(settings, identity)
    log = platform_log.LogClient(
        str(settings.platform.log), settings.platform.log_timeout_ms / MS
    )
    router = wire.Router()
    compose_timeline.observe_requests(router, ring, registry)
    reader: configuration.ConfigurationReader
    server: wire.Server

    def parts_of(zone: str) -> int:
        cell = reader.view().cells.get(zone)
        return cell.parts if cell else 1

    reader = compose_configuration.build_reader(
        settings, log, identity, key, lambda: member_service
    )
    member_service = compose_membership.build_membership(
        settings, shared_key(settings), parts_of, ring.clock
    )
    compose_configuration.attach(reader, member_service, registry, ring)
    clients = compose_claims.PeerClients(identity, key, ring.clock)
    claim_service = compose_claims.build_claims(
        settings,
        log,
        member_service,
        clients,
        registry,
    )
    idempotency_service = idempotency.Idempotency(
        recording.RecordingClaims(claim_service, ring),
        lambda: server.connected_peers(),
    )
    lookups = lookup.Lookup(
        member_service.all_members,
        lambda digest: reader.view().organisation_of(digest),
        settings.agent.lookup_ttl_s,
    )
    kept = compose_kept.build_kept_cache(
        reader.view,
        key,
        member_service,
        lookups,
        clients,
        registry,
        settings.agent.max_index_entries,
    )
    lease_service = compose_orders.build_leases(settings, log)
    order_service = compose_orders.build_orders(
        settings, reader, member_service, lease_service, registry, ring
    )
    leaving = endpoints.LeavingEndpoints(member_service, reader.view)
    compose_membership.register_metrics(registry, member_service, leaving)
    serving_parts = serving.build_serving(
        settings,
        serving.ServingDependencies(
            view=reader.view,
            members=member_service,
            kept=kept,
            imports=recording.RecordingKeptCache(
                kept, ring, compose_timeline.endpoint_names(reader)
            ),
            leaving=leaving.leaving_endpoints,
            offers=compose_orders.EngineOffers(order_service),
            key=key,
        ),
    )
    crash_parts = crashes.build_crashes(
        settings,
        key,
        log,
        member_service,
        clients,
        crashes.Engines(reader.view, serving_parts),
    )
    gate = StalenessGate(reader, settings.agent.stale_after_ms / MS)
    admission_service = admission.Admission(
        admission.AdmissionParts(
            view=reader.view,
            gate=gate,
            placer=serving_parts.placer,
            key=key,
            idempotency=idempotency_service,
            homes=locating.Homes(
                str(settings.instance.agent_address), clients
            ),
            guard=crash_parts.guard,
            connected=lambda: server.connected_peers(),
        )
    )

    def ready() -> bool:
        models = reader.view().models
        return gate() is None and all(map(order_service.offer_counts, models))

    local_entries = entries.LocalEntries(
        member_service, lookups.ttl_s + member_service.propagation_s, ready
    )
    states = status.StatusService(
        member_service,
        status.Sources(
            offset=reader.offset,
            staleness_s=reader.staleness_s,
            running=lambda: len(serving_parts.placer.runs),
            rollouts=lambda: compose_orders.rollouts(order_service),
            region=settings.instance.region,
        ),
    )
    events = compose_timeline.build_timeline(
        identity, key, ring, member_service
    )
    for part in (
        reader,
        member_service,
        admission_service,
        lookups,
        local_entries,
        states,
        claim_service,
        kept,
        order_service,
        crash_parts,
        events,
        metrics_service.MetricsService(registry),
    ):
        part.register(router)
    server = wire.Server(
        str(settings.agent.listen), identity, key, router, ring.clock
    )
    return AgentDaemon(
        server=server,
        membership=member_service,
        configuration=reader,
        admission=admission_service,
        claims=claim_service,
        idempotency=idempotency_service,
        crashes=crash_parts,
        serving=serving_parts,
        registry=registry,
        ring=ring,
        timeline=events,
        leases=lease_service,
        orders=order_service,
        entries=local_entries,
        leaving=leaving,
        stop_bound_s=settings.limits.stop_bound_s,
    )
