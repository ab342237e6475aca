"""Limits per organisation, kept over all agents without a call per request.

An agent gets an equal part of each limit.  One whose demand comes near to
its part tells the others on the heartbeats, and those that told share what
the silent ones leave, by demand.  A part that was told is kept for a while
after its agent was last heard, so that a cut makes the rest careful and not
generous.
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

HOLD_S = 10.0
HALF_LIFE_S = 2.0
# What one request adds to a rate that halves in a half-life.
GAIN_PER_S = math.log(2) / HALF_LIFE_S
TOLD_AT_MOST = 8
# An agent is silent while it uses less than this part of its equal share.
SILENT_PART = 0.5
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
        Which one.
    retry_after_s
        When the limit has room again.
    """

    detail: str
    retry_after_s: float


@dataclasses.dataclass(frozen=True)
class Told:
    """Another agent's demands by organisation number, and when heard."""

    demands: dict[int, float]
    heard_at: float


@dataclasses.dataclass
class Usage:
    """What one organisation does at this agent.

    Attributes
    ----------
    running
        Requests under way.
    tokens
        What is left in the bucket, in requests; full before the first.
    filled_at
        When that was worked out.
    demand_per_s
        Requests a second, averaged, refused ones too.
    demand_at
        When that was worked out.
    """

    running: int = 0
    tokens: float = math.inf
    filled_at: float = 0.0
    demand_per_s: float = 0.0
    demand_at: float = 0.0


def number_of(organisation: str) -> int:
    """Return the short form of a name that rides on heartbeats."""
    return xxhash.xxh32_intdigest(organisation.encode())


class Limits:
    """Checks requests against their organisation's limits; thread-safe.

    Parameters
    ----------
    view
        Present configuration.
    members
        How many agents share the limits, this one included.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        view: typing.Callable[[], schema.View],
        members: typing.Callable[[], int],
        clock: typing.Callable[[], float],
    ) -> None:
        self.view = view
        self.members = members
        self.clock = clock
        self.usages: dict[str, Usage] = {}
        self.told: dict[str, Told] = {}
        self.lock = threading.Lock()

    def enter(self, organisation: str) -> Allowed | Exceeded:
        """Count a request in if the limits allow it."""
        limits = self.view().organisations.get(organisation)
        if limits is None:
            return Exceeded("this organisation is not configured", 0.0)
        now = self.clock()
        with self.lock:
            usage = self.usages.setdefault(
                organisation, Usage(filled_at=now, demand_at=now)
            )
            self.note_demand(usage, now)
            part = self.part(organisation, usage)
            exceeded = check_running(limits, usage, part)
            exceeded = exceeded or check_rate(limits, usage, part, now)
            if exceeded:
                return exceeded
            usage.running += 1
            return Allowed()

    def leave(self, organisation: str) -> None:
        """Count a request out."""
        with self.lock:
            usage = self.usages.get(organisation)
            if usage is not None and usage.running > 0:
                usage.running -= 1

    def note_demand(self, usage: Usage, now: float) -> None:
        """Add one request to an exponentially fading rate."""
        usage.demand_per_s = self.demand(usage, now) + GAIN_PER_S
        usage.demand_at = now

    def demand(self, usage: Usage, now: float) -> float:
        """Return an organisation's present demand here."""
        age = (now - usage.demand_at) / HALF_LIFE_S
        return usage.demand_per_s * math.exp2(-age)

    def part(self, organisation: str, usage: Usage) -> float:
        """Return the part of the limits that this agent may use."""
        now = self.clock()
        count = max(self.members(), 1)
        number = number_of(organisation)
        others = [
            one.demands[number]
            for one in self.told.values()
            if number in one.demands and now - one.heard_at < HOLD_S
        ]
        equal = 1.0 / count
        mine = self.demand(usage, now)
        silent = max(count - 1 - len(others), 0)
        shared = max(1.0 - silent * equal * SILENT_PART, 0.0)
        total = mine + sum(others)
        if total <= 0:
            return equal
        return max(shared * mine / total, equal * SILENT_PART)

    def provide(self) -> bytes:
        """Return this agent's section of a heartbeat.

        Only those near their equal share are told, and of them the few
        largest: telling all 960 organisations to 31 peers each second
        would cost more bytes than control may use.
        """
        self.forget_idle()
        now = self.clock()
        count = max(self.members(), 1)
        near: list[tuple[float, str]] = []
        with self.lock:
            for name, usage in self.usages.items():
                demand = self.demand(usage, now)
                limits = self.view().organisations.get(name)
                if limits and is_near(limits, usage, demand, count):
                    near.append((demand, name))
        near.sort(reverse=True)
        demands = {
            number_of(name): round(demand, 2)
            for demand, name in near[:TOLD_AT_MOST]
        }
        return msgspec.msgpack.encode(demands)

    def consume(self, member: str, data: bytes) -> None:
        """Take in another agent's section."""
        demands = msgspec.msgpack.decode(data, type=dict[int, float])
        self.told[member] = Told(demands, self.clock())

    def forget_idle(self) -> None:
        """Drop what has done or told nothing for a while.

        Instances are replaced all day under new names; without this an
        agent that lives long would remember all of them.
        """
        now = self.clock()
        with self.lock:
            idle = [
                name
                for name, usage in self.usages.items()
                if not usage.running and now - usage.demand_at > HOLD_S
            ]
            for name in idle:
                del self.usages[name]
        for member, told in list(self.told.items()):
            if now - told.heard_at > HOLD_S:
                self.told.pop(member, None)


def is_near(
    limits: values.Organisation, usage: Usage, demand: float, count: int
) -> bool:
    """Tell whether an organisation comes near to its equal share here."""
    part = SILENT_PART / count
    over_rate = limits.requests_per_s * part
    over_running = limits.max_running * part
    return bool(
        (limits.requests_per_s and demand > over_rate)
        or (limits.max_running and usage.running > over_running)
    )


def check_running(
    limits: values.Organisation, usage: Usage, part: float
) -> Exceeded | None:
    """Check the requests running at once."""
    if not limits.max_running:
        return None
    allowed = max(round(limits.max_running * part), 1)
    if usage.running < allowed:
        return None
    # One of its own runs has to end first; how long that takes the return
    # schedule knows better than this.
    return Exceeded("too many requests of this organisation are running", 0.0)


def check_rate(
    limits: values.Organisation, usage: Usage, part: float, now: float
) -> Exceeded | None:
    """Check the rate, with a bucket of a second's worth."""
    if not limits.requests_per_s:
        return None
    rate = limits.requests_per_s * part
    burst = max(rate * BURST_S, MIN_BURST)
    filled = usage.tokens + (now - usage.filled_at) * rate
    usage.tokens = min(filled, burst)
    usage.filled_at = now
    if usage.tokens < 1.0:
        wait_s = (1.0 - usage.tokens) / max(rate, 1e-6)
        return Exceeded("this organisation's rate limit is reached", wait_s)
    usage.tokens -= 1.0
    return None
