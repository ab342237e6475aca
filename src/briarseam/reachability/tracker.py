"""Endpoints that this instance can't connect to."""

from __future__ import annotations

import threading
import typing

import msgspec
import structlog

from briarseam import clocks

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import model as discovery

# Time without any answer of a service, although requests wait for one, after
# which connections to its endpoints are checked.  A connection whose peer has
# vanished without a reset would show it only seconds later.
SILENCE_S = 1.0
# Duties pass to another instance only after a cut has lasted for so long:
# most cuts are short, and when endpoints fail for all instances, each learns
# it at another time.
LASTING_S = 1.5
INFINITY = float("inf")
log = structlog.get_logger("briarseam.reachability")


class Reachability:
    """The endpoints to which new connections fail; thread-safe.

    Probes alone tell that an endpoint can be reached again: its entry at the
    store and its other callers tell nothing of the path from this instance.

    Parameters
    ----------
    endpoints
        Returns the endpoints of a service that accept new requests.
    clock
        Seconds.

    Attributes
    ----------
    on_failure
        Called after an endpoint could not be reached.
    on_change
        Called after a service has become unreachable, or reachable again.
    """

    def __init__(
        self,
        endpoints: typing.Callable[[str], list[discovery.Endpoint]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.endpoints = endpoints
        self.clock = clock
        self.on_failure: typing.Callable[[], None] = ignore
        self.on_change: typing.Callable[[], None] = ignore
        self.failed: dict[str, str] = {}
        # Services that can't be reached, as last logged and published.
        self.unreachable: frozenset[str] = frozenset()
        self.suspected: set[str] = set()
        # Endpoints of which it is to be checked whether they go on.
        self.doubted: dict[str, discovery.Endpoint] = {}
        # When each service was last known to be cut off.
        self.cut_off_s: dict[str, float] = {}
        self.unreachable_since_s: dict[str, float] = {}
        self.unreachable_for_peers: dict[str, frozenset[str]] = {}
        # When each peer was first told to be cut off from some service.
        self.peer_since_s: dict[str, float] = {}
        self.heard_s: dict[str, float] = {}
        self.heard_from_s: dict[str, float] = {}
        # When the oldest request was sent that followed the last answer.
        self.waiting_since_s: dict[str, float] = {}
        self.lock = threading.Lock()

    # What is learned.

    def record_unreached(self, endpoint: discovery.Endpoint) -> None:
        """Record that a connection to an endpoint failed."""
        with self.lock:
            self.failed[endpoint.id] = endpoint.service
        self.review(endpoint.service)
        self.on_failure()

    def record_reached(self, endpoint: discovery.Endpoint) -> None:
        """Record that a connection to an endpoint was made."""
        with self.lock:
            known = self.failed.pop(endpoint.id, None)
        if known is not None:
            self.review(endpoint.service)

    def record_service_unreached(self, service: str) -> None:
        """Record that no endpoint of a service can be reached."""
        endpoints = self.endpoints(service)
        with self.lock:
            self.failed.update((one.id, service) for one in endpoints)
        self.review(service)

    def record_service_reached(self, service: str) -> None:
        """Forget all failures at endpoints of a service."""
        with self.lock:
            self.failed = {
                endpoint_id: name
                for endpoint_id, name in self.failed.items()
                if name != service
            }
        self.review(service)

    def record_sent(self, service: str) -> None:
        """Record that a request was sent to an endpoint of a service."""
        with self.lock:
            self.waiting_since_s.setdefault(service, self.clock())

    def record_heard(self, service: str) -> None:
        """Record that an endpoint of a service has answered something."""
        with self.lock:
            self.heard_s[service] = self.clock()
            self.waiting_since_s.pop(service, None)

    def record_heard_from(self, endpoint: discovery.Endpoint) -> None:
        """Record that bytes of an answer have come from an endpoint."""
        self.heard_from_s[endpoint.id] = self.clock()

    def keep_only(self, endpoint_ids: collections.abc.Container[str]) -> None:
        """Drop what is known of all endpoints but these."""
        with self.lock:
            self.failed = {
                endpoint_id: service
                for endpoint_id, service in self.failed.items()
                if endpoint_id in endpoint_ids
            }
            services = self.unreachable
        for endpoint_id in list(self.heard_from_s):
            if endpoint_id not in endpoint_ids:
                self.heard_from_s.pop(endpoint_id, None)
        for service in services:
            self.review(service)

    def keep_only_peers(self, members: collections.abc.Container[str]) -> None:
        """Drop what all peers but these have told."""
        for member in list(self.unreachable_for_peers):
            if member not in members:
                self.unreachable_for_peers.pop(member, None)
                self.peer_since_s.pop(member, None)

    # What is decided.

    def reachable(
        self, endpoints: collections.abc.Iterable[discovery.Endpoint]
    ) -> list[discovery.Endpoint]:
        """Return the endpoints to which no connection has failed since."""
        return [one for one in endpoints if one.id not in self.failed]

    def is_cut_off(self, service: str) -> bool:
        """Return whether a service has endpoints, but none can be reached."""
        endpoints = self.endpoints(service)
        return bool(endpoints) and not self.reachable(endpoints)

    def is_silent(self, service: str) -> bool:
        """Return whether requests wait although no endpoint answers any."""
        since_s = self.waiting_since_s.get(service)
        return since_s is not None and self.clock() - since_s >= SILENCE_S

    def heard_within(self, service: str, span_s: float) -> bool:
        """Return whether any endpoint of a service has answered lately."""
        heard_s = self.heard_s.get(service, float("-inf"))
        return self.clock() - heard_s < span_s

    def heard_after(self, service: str, at_s: float) -> bool:
        """Return whether any endpoint of a service has answered since."""
        return self.heard_s.get(service, float("-inf")) >= at_s

    def heard_from_after(
        self, endpoint: discovery.Endpoint, at_s: float
    ) -> bool:
        """Return whether an endpoint has answered something since."""
        return self.heard_from_s.get(endpoint.id, float("-inf")) >= at_s

    def cut_off_after(self, service: str, at_s: float) -> bool:
        """Return whether a service was cut off at any time since."""
        return service in self.unreachable or (
            self.cut_off_s.get(service, float("-inf")) >= at_s
        )

    def suspect(self, service: str) -> None:
        """Have the path to a service checked."""
        with self.lock:
            self.suspected.add(service)
        self.on_failure()

    def doubt(self, endpoint: discovery.Endpoint) -> None:
        """Have it checked whether an endpoint goes on."""
        with self.lock:
            self.doubted[endpoint.id] = endpoint
        self.on_failure()

    def take_doubted(self) -> list[discovery.Endpoint]:
        """Return the endpoints that are to be checked, each once."""
        with self.lock:
            doubted, self.doubted = self.doubted, {}
        return list(doubted.values())

    def has_failed(self, endpoint: discovery.Endpoint) -> bool:
        """Return whether connections to an endpoint fail."""
        return endpoint.id in self.failed

    def services_in_doubt(self) -> set[str]:
        """Return the services with failures or without answers.

        Those that were suspected are returned once.  While any service is cut
        off, all are in doubt: limits may keep this instance from sending to
        the others, so that no failure shows.
        """
        with self.lock:
            suspected, self.suspected = self.suspected, set()
            failed = set(self.failed.values())
            waiting = list(self.waiting_since_s)
            if self.unreachable:
                failed |= self.heard_s.keys()
        silent = {name for name in waiting if self.is_silent(name)}
        return suspected | failed | silent

    def review(self, service: str) -> None:
        """Log and publish when a service is newly unreachable, or no more."""
        cut_off = self.is_cut_off(service)
        with self.lock:
            if cut_off == (service in self.unreachable):
                return
            self.unreachable = self.unreachable ^ {service}
            self.cut_off_s[service] = self.clock()
            self.unreachable_since_s = {
                name: self.unreachable_since_s.get(name, self.clock())
                for name in self.unreachable
            }
        if cut_off:
            log.warning(
                "service_unreachable",
                service=service,
                endpoints=len(self.endpoints(service)),
                peers_without_path=self.peers_without_path(service),
            )
        else:
            log.info("service_reachable", service=service)
        self.on_change()

    # Exchange with peers.

    def provide(self) -> bytes:
        """Return the services that this instance can't reach, for peers."""
        return msgspec.msgpack.encode(sorted(self.unreachable))

    def consume(self, member: str, data: bytes) -> None:
        """Replace the services that a peer can't reach."""
        services = msgspec.msgpack.decode(data, type=list[str])
        self.unreachable_for_peers[member] = frozenset(services)
        if services:
            self.peer_since_s.setdefault(member, self.clock())
        else:
            self.peer_since_s.pop(member, None)

    def peer_has_path(self, member: str, service: str) -> bool:
        """Return whether a peer may reach a service, as far as is known."""
        return service not in self.unreachable_for_peers.get(
            member, frozenset()
        )

    def has_all_paths(self, member: str, own_name: str) -> bool:
        """Return whether an instance reaches all services, as far as known."""
        if member == own_name:
            return not self.unreachable
        return not self.unreachable_for_peers.get(member)

    def is_cut_off_alone(
        self,
        services: collections.abc.Iterable[str],
        peers: collections.abc.Collection[str],
    ) -> bool:
        """Return whether a service is lost here for long, but not to a peer.

        Parameters
        ----------
        services
            The services that count.
        peers
            Names of the other instances.
        """
        lost = [
            service
            for service in services
            if self.clock() - self.unreachable_since_s.get(service, INFINITY)
            >= LASTING_S
        ]
        return any(
            self.peer_has_path(peer, service)
            for service in lost
            for peer in peers
        )

    def with_lasting_paths(
        self, members: collections.abc.Iterable[str], own_name: str
    ) -> list[str]:
        """Return the instances that are not cut off for long, or all."""
        known = list(members)
        since_s = dict(self.peer_since_s)
        since_s[own_name] = min(
            self.unreachable_since_s.values(), default=INFINITY
        )
        oldest_s = self.clock() - LASTING_S
        found = [
            name for name in known if since_s.get(name, INFINITY) > oldest_s
        ]
        return found or known

    def peers_without_path(self, service: str) -> int:
        """Return the number of peers that can't reach a service."""
        return sum(
            service in services
            for services in list(self.unreachable_for_peers.values())
        )


def ignore() -> None:
    """Do nothing; the default of the callbacks."""
