"""Limits per organisation, enforced over all agents without remote calls.

Each agent gets an equal share of each limit.  An agent whose demand comes
near to its share publishes it on the heartbeats, and these agents divide what
the silent ones do not use in proportion to demand.  A published demand is
kept for a while after the agent was last heard from, so that a network
partition makes the other agents use less and not more.
"""

from __future__ import annotations

import dataclasses
import math
import threading
import typing

import msgspec
import xxhash

from briarseam.configuration import schema
from briarseam.configuration import values

DEMAND_TTL_S = 10.0
HALF_LIFE_S = 2.0
# Requests per second that one request adds to the decaying average.
DEMAND_PER_REQUEST = math.log(2) / HALF_LIFE_S
MAX_PUBLISHED = 8
# An agent publishes no demand below this part of its equal share.
SILENT_SHARE = 0.5
BURST_S = 1.0
MIN_BURST = 1.0


@dataclasses.dataclass(frozen=True)
class Allowed:
    """The request is within the limits."""


@dataclasses.dataclass(frozen=True)
class Exceeded:
    """The request is over a limit.

    Attributes
    ----------
    detail
        The exceeded limit, as one sentence.
    retry_after_s
        Seconds until the limit allows a request again.
    """

    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class PeerDemands:
    """Demands of another agent by name hash, and when they were received."""

    demands: dict[int, float]
    received_at: float


@dataclasses.dataclass
class Usage:
    """Usage of one organisation at this agent.

    Attributes
    ----------
    running
        Number of running requests.
    tokens
        Content of the token bucket, in requests; full before the first.
    filled_at
        Time of the last refill of the bucket.
    demand_per_s
        Average requests per second, refused ones included.
    demand_at
        Time of the last update of the average.
    """

    running: int = 0
    tokens: float = math.inf
    filled_at: float = 0.0
    demand_per_s: float = 0.0
    demand_at: float = 0.0


def hash_name(organisation: str) -> int:
    """Return the hash that stands for an organisation in heartbeats."""
    return xxhash.xxh32_intdigest(organisation.encode())


class Limits:
    """Checks requests against their organisation's limits; thread-safe.

    Parameters
    ----------
    view
        Returns the current configuration.
    agent_count
        Returns the number of agents that share the limits, this one
        included.
    clock
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        agent_count: typing.Callable[[], int],
        clock: typing.Callable[[], float],
    ) -> None:
        self.view = view
        self.agent_count = agent_count
        self.clock = clock
        self.usages: dict[str, Usage] = {}
        self.peer_demands: dict[str, PeerDemands] = {}
        self.lock = threading.Lock()

    def acquire(self, organisation: str) -> Allowed | Exceeded:
        """Count a request as running if the limits allow it."""
        limits = self.view().organisations.get(organisation)
        if limits is None:
            return Exceeded("this organisation is not configured", 0.0)
        now = self.clock()
        with self.lock:
            usage = self.usages.setdefault(
                organisation, Usage(filled_at=now, demand_at=now)
            )
            self.record_demand(usage, now)
            share = self.local_share(organisation, usage)
            exceeded = check_running(limits, usage, share)
            exceeded = exceeded or check_rate(limits, usage, share, now)
            if exceeded:
                return exceeded
            usage.running += 1
            return Allowed()

    def release(self, organisation: str) -> None:
        """Count a request as ended."""
        with self.lock:
            usage = self.usages.get(organisation)
            if usage is not None and usage.running > 0:
                usage.running -= 1

    def record_demand(self, usage: Usage, now: float) -> None:
        """Add one request to the exponentially decaying average."""
        usage.demand_per_s = self.demand(usage, now) + DEMAND_PER_REQUEST
        usage.demand_at = now

    def demand(self, usage: Usage, now: float) -> float:
        """Return an organisation's demand at this agent, per second."""
        age = (now - usage.demand_at) / HALF_LIFE_S
        return usage.demand_per_s * math.exp2(-age)

    def local_share(self, organisation: str, usage: Usage) -> float:
        """Return the share of the limits that this agent may use."""
        now = self.clock()
        count = max(self.agent_count(), 1)
        name_hash = hash_name(organisation)
        others = [
            one.demands[name_hash]
            for one in self.peer_demands.values()
            if name_hash in one.demands
            and now - one.received_at < DEMAND_TTL_S
        ]
        equal_share = 1.0 / count
        own_demand = self.demand(usage, now)
        silent = max(count - 1 - len(others), 0)
        shared_part = max(1.0 - silent * equal_share * SILENT_SHARE, 0.0)
        total_demand = own_demand + sum(others)
        if total_demand <= 0:
            return equal_share
        return max(
            shared_part * own_demand / total_demand, equal_share * SILENT_SHARE
        )

    def provide(self) -> bytes:
        """Return this agent's section of a heartbeat.

        It holds only the largest demands that are near their equal share:
        publishing 960 organisations to 31 peers each second would exceed the
        bandwidth that control traffic may use.
        """
        self.remove_stale()
        now = self.clock()
        count = max(self.agent_count(), 1)
        candidates: list[tuple[float, str]] = []
        with self.lock:
            for name, usage in self.usages.items():
                demand = self.demand(usage, now)
                limits = self.view().organisations.get(name)
                if limits and is_near_share(limits, usage, demand, count):
                    candidates.append((demand, name))
        candidates.sort(reverse=True)
        demands = {
            hash_name(name): round(demand, 2)
            for demand, name in candidates[:MAX_PUBLISHED]
        }
        return msgspec.msgpack.encode(demands)

    def consume(self, member: str, data: bytes) -> None:
        """Apply the section of another agent's heartbeat."""
        demands = msgspec.msgpack.decode(data, type=dict[int, float])
        self.peer_demands[member] = PeerDemands(demands, self.clock())

    def remove_stale(self) -> None:
        """Remove idle usages and outdated demands of other agents.

        Instances are replaced under new names throughout the day; without
        this the memory of a long-running agent would grow with each of them.
        """
        now = self.clock()
        with self.lock:
            stale = [
                name
                for name, usage in self.usages.items()
                if not usage.running and now - usage.demand_at > DEMAND_TTL_S
            ]
            for name in stale:
                del self.usages[name]
        for member, received in list(self.peer_demands.items()):
            if now - received.received_at > DEMAND_TTL_S:
                self.peer_demands.pop(member, None)


def is_near_share(
    limits: values.Organisation, usage: Usage, demand: float, count: int
) -> bool:
    """Return whether an organisation is near its equal local share."""
    share = SILENT_SHARE / count
    rate_threshold = limits.requests_per_s * share
    running_threshold = limits.max_running * share
    return bool(
        (limits.requests_per_s and demand > rate_threshold)
        or (limits.max_running and usage.running > running_threshold)
    )


def check_running(
    limits: values.Organisation, usage: Usage, share: float
) -> Exceeded | None:
    """Check the limit on running requests."""
    if not limits.max_running:
        return None
    allowed = max(round(limits.max_running * share), 1)
    if usage.running < allowed:
        return None
    # One of the organisation's runs has to end first; the retry schedule
    # has the better estimate of when.
    return Exceeded("too many requests of this organisation are running", 0.0)


def check_rate(
    limits: values.Organisation, usage: Usage, share: float, now: float
) -> Exceeded | None:
    """Check the request rate with a token bucket."""
    if not limits.requests_per_s:
        return None
    rate = limits.requests_per_s * share
    burst = max(rate * BURST_S, MIN_BURST)
    tokens = usage.tokens + (now - usage.filled_at) * rate
    usage.tokens = min(tokens, burst)
    usage.filled_at = now
    if usage.tokens < 1.0:
        wait_s = (1.0 - usage.tokens) / max(rate, 1e-6)
        return Exceeded("this organisation's rate limit is reached", wait_s)
    usage.tokens -= 1.0
    return None
