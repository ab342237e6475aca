"""Composition of reachability and of relaying to other instances."""

from __future__ import annotations

import dataclasses
import random
import typing

from briarseam.forwarding import attempts
from briarseam.forwarding import connections
from briarseam.forwarding import relaying
from briarseam.membership import state as members
from briarseam.placement import avoidance
from briarseam.platform import call_codec
from briarseam.platform import requests
from briarseam.reachability import probing
from briarseam.reachability import tracker

if typing.TYPE_CHECKING:
    from briarseam.compose import node_instances
    from briarseam.discovery import model as discovery
    from briarseam.metrics import registry as metrics
    from briarseam.peers import registrations

MIN_WEIGHT = 1e-6


class RelayPeers:
    """The instances of this region that take requests of others' callers.

    Parameters
    ----------
    instances
        All instances.
    reachability
        What peers have told of the services that they reach.
    region_of
        Returns the region of an availability zone; requests may be bound to
        this one.
    """

    def __init__(
        self,
        instances: node_instances.Instances,
        reachability: tracker.Reachability,
        region_of: typing.Callable[[str], str],
    ) -> None:
        self.instances = instances
        self.reachability = reachability
        self.region_of = region_of
        self.avoided = avoidance.Avoided()

    def candidates(self, service: str) -> list[relaying.Peer]:
        """Return instances that may reach a service, in random order.

        The order favours instances with more capacity.
        """
        known = self.instances.registrations
        own = None if known is None else known.local
        if known is None or own is None:
            return []
        alive = {
            member.name
            for member in self.instances.all()
            if member.state is members.MemberState.ALIVE
        }
        usable = [
            row
            for row in known.by_name.values()
            if row.name in alive
            and row.name != own.name
            and row.relay_address
            and row.name not in self.avoided
            and self.region_of(row.zone) == self.region_of(own.zone)
            and self.reachability.peer_has_path(row.name, service)
        ]
        usable.sort(key=random_rank, reverse=True)
        return [
            relaying.Peer(row.name, row.relay_address, row.zone)
            for row in usable
        ]

    def record_failure(self, name: str) -> None:
        """Avoid an instance for a while that could not be reached."""
        self.avoided.add(name)


def random_rank(row: registrations.Registration) -> float:
    """Return a random number that is likely higher for greater weights."""
    return float(random.random() ** (1 / max(MIN_WEIGHT, row.weight)))


@dataclasses.dataclass(frozen=True)
class Paths:
    """What an instance knows of its paths, and the ways around them.

    Attributes
    ----------
    reachability
        Endpoints to which connections fail.
    prober
        Finds out when they can be reached again.
    relays
        Passes requests on to other instances.
    peer_pool
        Connections to other instances for relayed requests.
    instances
        All instances.
    """

    reachability: tracker.Reachability
    prober: probing.Prober
    relays: relaying.Relaying
    peer_pool: connections.Pool
    instances: node_instances.Instances

    def start(self) -> None:
        """Start probing."""
        self.prober.start()

    def stop(self) -> None:
        """Stop probing."""
        self.prober.stop()

    def reaches_all_services(self, name: str) -> bool:
        """Return whether an instance reaches endpoints of all services."""
        return self.reachability.has_all_paths(name, self.instances.own_name)

    def store_readers(self) -> list[str]:
        """Return the instances of this cell that may read cache stores.

        An instance that has lost its path to endpoints has lost the one to
        stores, too, and its whole cell would use what it last read.
        """
        return self.reachability.with_lasting_paths(
            self.instances.names_in_cell(), self.instances.own_name
        )

    def keep_only(self, instance_names: typing.Collection[str]) -> None:
        """Drop all instances but these, and expired connections."""
        self.reachability.keep_only_peers(instance_names)
        self.peer_pool.keep_only(instance_names)
        self.peer_pool.close_expired()


def build(
    reachability: tracker.Reachability,
    pool: connections.Pool,
    instances: node_instances.Instances,
    region_of: typing.Callable[[str], str],
    on_announced: attempts.OnAnnounced,
    registry: metrics.Registry,
) -> Paths:
    """Return the parts, not yet started.

    Parameters
    ----------
    reachability
        Endpoints to which connections fail.
    pool
        Connections to endpoints.
    instances
        All instances.
    region_of
        Returns the region of an availability zone.
    on_announced
        Records what answers tell of their endpoints.
    registry
        The metrics.
    """
    reachability.on_change = instances.publish_now
    peer_pool = connections.Pool()

    def can_connect(endpoint: discovery.Endpoint) -> bool:
        try:
            connection = pool.connect(endpoint.address)
        except connections.UnreachableError:
            return False
        # Endpoints accept few connections, and all instances probe.
        connection.close()
        return True

    def goes_on(endpoint: discovery.Endpoint) -> bool:
        if pool.has_open(endpoint.id, endpoint.address):
            return True
        try:
            connection = pool.connect(endpoint.address)
        except connections.UnreachableError:
            return False
        # The next request needs one: the caller who left took it along.
        pool.release(endpoint.id, endpoint.address, connection, "")
        return True

    return Paths(
        reachability,
        probing.Prober(reachability, can_connect, goes_on),
        relaying.Relaying(
            RelayPeers(instances, reachability, region_of),
            attempts.Sender(
                peer_pool, requests.decode_relayed_answer, on_announced
            ),
            call_codec.CallCodec(),
            instances.key,
            registry.counters(
                "relays_total",
                "Requests passed on to other instances by what became of them",
                ("outcome",),
            ),
        ),
        peer_pool,
        instances,
    )
