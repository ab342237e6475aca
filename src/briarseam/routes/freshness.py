"""Decides whether a change of the configuration may have been missed."""

from __future__ import annotations

import math
import threading
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam.routes import heartbeat_delays

# Share of the time within which a change is in force.  The rest is for a
# request to reach its endpoint.
MAX_AGE_SHARE = 0.9
# How long the content of a heartbeat may have been kept by its sender, and
# have travelled, if it was not later than others.
HEARTBEAT_DELAY_S = 0.2
# Within which an instance that has started hears from peers that are alive.
PEERS_WAIT_S = 3.0
NEVER_S = float("-inf")
MS = 1000
log = structlog.get_logger("briarseam.routes")


def has_no_peers() -> bool:
    """Return that there are no peers; the default."""
    return False


class ConfigurationFreshness:
    """Tells whether the configuration in force is up to date; thread-safe.

    An instance that hears from nobody goes on with the configuration that it
    has, maybe for long.  What must not be done on an outdated one has to stop
    then.  Peers tell each other how old their knowledge is, so that one of
    them that reaches the store is enough for all.

    Parameters
    ----------
    complete_until_s
        Returns until when all changes at the store are known, by the clock.
    apply_s
        Time within which a change is in force, in seconds.
    has_peers
        Returns whether there may be peers.  A store that was restored from a
        backup lacks changes that only they know.
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self,
        complete_until_s: typing.Callable[[], float],
        apply_s: float,
        has_peers: typing.Callable[[], bool] = has_no_peers,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.complete_until_s = complete_until_s
        self.apply_s = apply_s
        self.has_peers = has_peers
        self.clock = clock
        self.delays = heartbeat_delays.HeartbeatDelays(clock)
        self.created_s = clock()
        self.has_heard_peers = False
        self.told_until_s = NEVER_S
        self.was_fresh = False
        self.lock = threading.Lock()

    def age_s(self) -> float:
        """Return for how long there may have been changes, in seconds."""
        known_until_s = max(self.complete_until_s(), self.told_until_s)
        return max(0.0, self.clock() - known_until_s)

    def is_fresh(self) -> bool:
        """Return whether a change would be known here by now."""
        age_s = self.age_s()
        is_recent = age_s <= MAX_AGE_SHARE * self.apply_s
        fresh = is_recent and not self.awaits_peers()
        if fresh is not self.was_fresh:
            self.record(fresh, age_s)
        return fresh

    def awaits_peers(self) -> bool:
        """Return whether peers will tell what they know for the first time."""
        if self.has_heard_peers:
            return False
        if self.clock() - self.created_s >= PEERS_WAIT_S:
            return False
        return self.has_peers()

    def record(self, fresh: bool, age_s: float) -> None:
        """Log that the configuration has become fresh or stale."""
        with self.lock:
            if fresh is self.was_fresh:
                return
            self.was_fresh = fresh
        log.warning(
            "configuration_fresh" if fresh else "configuration_stale",
            age_ms=None if age_s == math.inf else round(age_s * MS),
        )

    def provide(self) -> bytes:
        """Return the age of what is known, for heartbeats."""
        age_s = self.age_s()
        age_ms = None if age_s == math.inf else math.ceil(age_s * MS)
        return msgspec.msgpack.encode(age_ms)

    def consume(self, member: str, data: bytes) -> None:
        """Apply the age of what a peer knows, after what it told itself."""
        self.has_heard_peers = True
        age_ms = msgspec.msgpack.decode(data, type=int | None)
        if age_ms is None or age_ms < 0:
            return
        delay_s = HEARTBEAT_DELAY_S + self.delays.delay_s(member)
        until_s = self.clock() - age_ms / MS - delay_s
        with self.lock:
            self.told_until_s = max(self.told_until_s, until_s)
