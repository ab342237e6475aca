"""Decides which load changes are reported before the next interval.

Load reports of an instance go out at an interval that grows with the number
of its peers.  An engine prefills a large prompt in about that time, so the
other instances would send more prompts to it without knowing of the first.
"""

from __future__ import annotations

import math
import threading
import typing

from briarseam import clocks

# Tokens added to one endpoint since the last report that make the next one
# urgent.  Prefilling as many takes about 25 ms, the interval at which a small
# cell reports any change.
MIN_TOKENS = 2000
# Rate of urgent reports, in addition to those at the regular interval.
MAX_DATAGRAMS_PER_S = 250.0
# Reports to all peers that may be sent in immediate succession.
BURST_REPORTS = 3
# Part of a datagram by which rounding may err.  Without it, a full burst may
# lack its last datagram.
ROUNDING = 1e-6


class TokenBucket:
    """Limits a rate, with bursts whose size is given with each call.

    Not thread-safe.

    Parameters
    ----------
    rate_per_s
        Datagrams per second.
    clock
        Seconds.

    Attributes
    ----------
    full_at_s
        Time at which the bucket is full again.
    """

    def __init__(
        self, rate_per_s: float, clock: typing.Callable[[], float]
    ) -> None:
        self.rate_per_s = rate_per_s
        self.clock = clock
        self.full_at_s = -math.inf

    def available(self, burst: int) -> int:
        """Return the number of datagrams that may be sent now."""
        return max(math.floor(burst - self.missing() + ROUNDING), 0)

    def delay_s(self, count: int, burst: int) -> float:
        """Return the seconds until some datagrams may be sent."""
        excess = self.missing() + count - burst
        return excess / self.rate_per_s if excess > ROUNDING else 0.0

    def missing(self) -> float:
        """Return the datagrams that the bucket lacks until it is full."""
        return max(self.full_at_s - self.clock(), 0.0) * self.rate_per_s

    def take(self, count: int) -> None:
        """Count datagrams that are sent."""
        start_s = max(self.full_at_s, self.clock())
        self.full_at_s = start_s + count / self.rate_per_s


class UrgentReports:
    """Tells when a report must precede the next interval; thread-safe.

    Parameters
    ----------
    clock
        Seconds.

    Attributes
    ----------
    raised
        Set when a report becomes urgent.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.bucket = TokenBucket(MAX_DATAGRAMS_PER_S, clock)
        self.raised = threading.Event()
        self.unreported: dict[str, int] = {}
        self.urgent = False
        self.lock = threading.Lock()

    def record(self, endpoint: str, tokens: int) -> None:
        """Record prompt tokens sent to an endpoint; ignore decreases."""
        if tokens <= 0:
            return
        with self.lock:
            total = self.unreported.get(endpoint, 0) + tokens
            self.unreported[endpoint] = total
            if total <= MIN_TOKENS:
                return
            self.urgent = True
        self.raised.set()

    def start_report(self) -> None:
        """Record that a report of all load so far is about to be composed."""
        with self.lock:
            self.unreported.clear()
            self.urgent = False

    def delay_s(self, peers: int) -> float:
        """Return the seconds until an urgent report may go out.

        Infinite unless there is something urgent to report.
        """
        with self.lock:
            if not self.urgent:
                return math.inf
            return self.bucket.delay_s(peers, BURST_REPORTS * peers)

    def wait(self, peers: int, max_s: float) -> None:
        """Wait until an urgent report may go out, or a time has passed.

        An urgent report is charged for before this returns.

        Parameters
        ----------
        peers
            Number of datagrams of a report.
        max_s
            Maximum wait in seconds.
        """
        end_s = self.clock() + max_s
        while (left_s := end_s - self.clock()) > 0:
            delay_s = self.delay_s(peers)
            if delay_s <= 0:
                with self.lock:
                    self.bucket.take(peers)
                return
            self.raised.wait(min(left_s, delay_s))
            self.raised.clear()
