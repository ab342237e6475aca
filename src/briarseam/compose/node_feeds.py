"""The topics of the platform's store that the serving process follows."""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam.discovery import registry as registries
from briarseam.feeds import following
from briarseam.feeds import records
from briarseam.peers import registrations
from briarseam.platform import documents
from briarseam.platform import endpoints
from briarseam.platform import names
from briarseam.routes import following as operators

if typing.TYPE_CHECKING:
    from briarseam import malformed
    from briarseam.discovery import model as discovery
    from briarseam.feeds import sharing
    from briarseam.platform import store as stores
    from briarseam.routes import evacuation
    from briarseam.routes import model as routes
    from briarseam.settings import serving

# A change must be in force within two seconds once an instance has been
# connected for three.  A silent connection is detected at the end of a poll
# only, so a poll must end within three seconds.
OPERATOR_POLL_S = 2.0
# An evacuation must be in force in time even if a poll and the one after it
# are lost.
OPERATOR_POLL_SHARE = 0.4
# What a poll has confirmed must not become too old before the next one ends,
# and before a heartbeat tells it to peers that are cut off from the store.
CONFIGURATION_POLL_SHARE = 0.4
ENDPOINT_POLL_S = 1.5
# Pause between two reads, as a share of the time within which a leaving
# endpoint must get no new work; the rest is for a failed read and the next
# one.  Without a pause each write would cost a call, and each endpoint
# writes about once a second.
ENDPOINT_PAUSE_SHARE = 0.3
REGISTRATION_POLL_S = 10.0
# When all instances start at once, each registration ends the poll of every
# other instance: without a pause, 85 instances make some 7,000 calls.
REGISTRATION_PAUSE_S = 0.5
MS = 1000.0
log = structlog.get_logger("briarseam.feeds")
TOPICS = (
    names.OPERATOR_TOPIC,
    names.ENDPOINTS_TOPIC,
    names.MEMBERS_TOPIC,
)


@dataclasses.dataclass(frozen=True)
class Feeds:
    """The feeds that are followed on the store.

    Attributes
    ----------
    operators
        Configuration and weight goals.
    registry
        Endpoints.
    registrations
        Instances of this system.
    followers
        The threads that follow the topics; the operators' first, then
        the endpoints'.
    reads
        Reads the topics, also for other instances.
    """

    operators: operators.OperatorFeed
    registry: registries.EndpointRegistry
    registrations: registrations.Registrations
    followers: tuple[following.Follower, ...]
    reads: sharing.SharedReads

    def start(self) -> None:
        """Start following."""
        for follower in self.followers:
            follower.start()

    def stop(self) -> None:
        """Stop following."""
        for follower in self.followers:
            follower.stop()

    @property
    def endpoint_reads(self) -> following.Follower:
        """The follower of the endpoints' entries."""
        return self.followers[1]

    def engines_of(self, model: str) -> list[discovery.Endpoint]:
        """Return the engines that serve a model and are not leaving."""
        return [
            endpoint
            for endpoint in self.all_engines_of(model)
            if not endpoint.leaving
        ]

    def engine_services(self) -> frozenset[str]:
        """Return the names of the services that run models."""
        table = self.operators.current()
        if table is None:
            return frozenset()
        return frozenset(
            service.name
            for service in table.configuration.services.values()
            if service.engine is not None
        )

    def all_engines_of(self, model: str) -> list[discovery.Endpoint]:
        """Return the engines that serve a model, leaving ones included."""
        table = self.operators.current()
        if table is None:
            return []
        service_names = {
            service.name
            for service in table.configuration.services.values()
            if service.engine is not None and model in service.engine.models
        }
        return [
            endpoint
            for endpoint in self.registry.all()
            if endpoint.service in service_names
        ]

    def configuration_version(self) -> int:
        """Return the configuration version in force; 0 before the first."""
        return self.operators.version()

    def configuration_complete_until_s(self) -> float:
        """Return until when all of the operators' changes are known."""
        follower = self.followers[0]
        if follower.next is None:
            return follower.complete_until_s
        # An instance that reads for its cell learns this from each read, but
        # its own follower only from each answer of that reader.
        return max(
            follower.complete_until_s,
            self.reads.complete_until_s(follower.topic, follower.next),
        )

    def confirm_operators(self) -> float | None:
        """Return until when the operators made no other changes.

        Reads the store at once.  ``None`` if it has newer changes, or gives
        no valid answer.
        """
        follower = self.followers[0]
        position = follower.next
        if position is None:
            return None
        try:
            batch = self.reads.store.read_keyed(follower.topic, position, 0.0)
        except (
            records.RecordsExpiredError,
            records.StoreUnavailableError,
        ) as error:
            log.info("operators_not_confirmed", detail=str(error))
            return None
        if batch.records or batch.complete_until_s == records.NEVER_S:
            return None
        return batch.complete_until_s


def operator_poll_s(bounds: serving.Bounds) -> float:
    """Return the length of a long poll of the operators' topic."""
    return min(
        OPERATOR_POLL_S,
        OPERATOR_POLL_SHARE * bounds.evacuation_ms / MS,
        CONFIGURATION_POLL_SHARE * bounds.configuration_ms / MS,
    )


def build(
    settings: serving.ServeSettings,
    store: stores.StoreClient,
    reads: sharing.SharedReads,
    on_configuration: typing.Callable[[routes.Configuration], None],
    on_gone: typing.Callable[[frozenset[str]], None],
    malformed_counter: malformed.Tally,
    evacuations: evacuation.Evacuations,
    on_entry: registries.OnEntry,
    on_named: typing.Callable[[routes.Configuration], None] = operators.ignore,
) -> Feeds:
    """Return the feeds, not yet started.

    Parameters
    ----------
    settings
        The settings of this process.
    store
        The platform's store.
    reads
        Reads topics from the store or through another instance.
    on_configuration
        Called with each new configuration, before it is in force.
    on_gone
        Called with the ids of endpoints that are gone.
    malformed_counter
        Counts records that can't be read.
    evacuations
        Gets the evacuated availability zones.
    on_entry
        Called with each entry of an endpoint.
    on_named
        Called with each configuration that the store names, even if a newer
        one is in force.
    """
    feed = operators.OperatorFeed(
        documents.OperatorDocuments(),
        on_configuration,
        malformed_counter,
        evacuations,
        on_named,
    )
    registry = registries.EndpointRegistry(
        endpoints.decode_endpoint,
        on_gone,
        malformed_counter=malformed_counter,
        on_entry=on_entry,
    )
    instances = registrations.Registrations(
        store,
        names.MEMBERS_TOPIC,
        registrations.Registration(
            name=settings.instance.name,
            address=str(settings.listen.peers),
            group=settings.instance.region,
            zone=settings.instance.zone,
            weight=settings.capacity.weight(),
            relay_address=str(settings.listen.relay_address()),
        ),
        malformed_counter,
    )
    followers = (
        following.Follower(
            reads,
            names.OPERATOR_TOPIC,
            feed,
            operator_poll_s(settings.bounds),
        ),
        following.Follower(
            reads,
            names.ENDPOINTS_TOPIC,
            registry,
            ENDPOINT_POLL_S,
            ENDPOINT_PAUSE_SHARE * settings.bounds.endpoint_drain_ms / MS,
        ),
        following.Follower(
            reads,
            names.MEMBERS_TOPIC,
            instances,
            REGISTRATION_POLL_S,
            REGISTRATION_PAUSE_S,
        ),
    )
    return Feeds(feed, registry, instances, followers, reads)
