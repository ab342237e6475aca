"""Wiring of the time line in each daemon."""

from __future__ import annotations

import typing

from briarseam.admission import answer_id
from briarseam.admission import request_metrics
from briarseam.timeline import feed
from briarseam.timeline import peers
from briarseam.timeline import requests
from briarseam.timeline import ring as rings
from briarseam.timeline import service
from briarseam.wire import client as wire
from briarseam.wire import connection

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.configuration import reader as configuration
    from briarseam.membership import service as membership
    from briarseam.metrics import registry as metrics
    from briarseam.wire import server

AGENT = "agent"
FEED_SUFFIX = "/timeline"
MAX_MEAN_EVENT_BYTES = 512


def build_ring(
    settings: settings_module.Settings, identity: connection.Identity
) -> rings.Ring:
    """Return the ring that holds a process's events."""
    capacity = settings.agent.max_timeline_events
    return rings.Ring(
        f"{identity.role}/{identity.name}",
        capacity,
        max_bytes=capacity * MAX_MEAN_EVENT_BYTES,
    )


def build_timeline(
    identity: connection.Identity,
    key: bytes,
    ring: rings.Ring,
    member_service: membership.Membership,
) -> service.Timeline:
    """Return the time line service of an agent."""

    def addresses() -> dict[str, str]:
        """Return the other agents' addresses by name, of all cells."""
        by_name = member_service.list_reader.agents()
        for member in member_service.members():
            by_name[member.name] = member.agent_address
        by_name.pop(identity.name, None)
        return by_name

    timeline_peers = peers.Peers(identity, key, addresses, ring.clock)

    def run_id_of(name: str) -> str:
        """Return the run that an answer id names, or ``""``."""
        try:
            return answer_id.unseal(name, key).run_id
        except answer_id.AnswerIdError:
            return ""

    return service.Timeline(
        ring, feed.EntryFeeds(), timeline_peers.others(), run_id_of
    )


def endpoint_names(
    reader: configuration.ConfigurationReader,
) -> typing.Callable[[str], str]:
    """Return a function that maps an address to its endpoint's name."""

    def endpoint_at(address: str) -> str:
        for name, endpoint in reader.view().endpoints.items():
            if endpoint.address == address:
                return name
        return ""

    return endpoint_at


def observe_requests(
    router: server.Router, ring: rings.Ring, registry: metrics.Registry
) -> None:
    """Record and count an agent's decisions about requests."""
    router.observer = connection.Observers(
        (
            requests.AgentObserver(ring),
            request_metrics.RequestMetrics(registry),
        )
    )
    register_metrics(ring, registry)


def register_metrics(ring: rings.Ring, registry: metrics.Registry) -> None:
    """Register the metrics of a process's time line."""
    role = ring.process.partition("/")[0]
    registry.callback_gauge(
        f"{role}_timeline_events",
        "Events held for the time line",
        lambda: len(ring),
    )
    registry.callback_gauge(
        f"{role}_timeline_bytes",
        "Bytes that these take",
        lambda: ring.size_bytes,
    )
    registry.callback_gauge(
        f"{role}_timeline_events_dropped",
        "Events that made room for newer ones since start",
        lambda: ring.dropped,
    )
    registry.callback_gauge(
        f"{role}_clock_stamps_refused",
        "Clock stamps from other processes that were too far ahead",
        lambda: ring.clock.refused,
    )


def build_ring_feed(
    agent_address: str,
    identity: connection.Identity,
    key: bytes,
    ring: rings.Ring,
) -> feed.RingFeed:
    """Return the feed of an entry's events to its agent."""
    # The name differs from that of the entry's calls: the agent counts an
    # entry as gone when the last connection under its name has ended.
    feed_identity = connection.Identity(
        identity.role, identity.name + FEED_SUFFIX
    )

    def dial() -> connection.Connection:
        return wire.connect(
            agent_address, feed_identity, key, clock=ring.clock
        )

    return feed.RingFeed(dial, ring)
