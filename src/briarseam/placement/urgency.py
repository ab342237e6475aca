"""Decides which load changes are reported before the next interval.

Load reports of an instance go out at an interval that grows with the number
of its peers.  An engine prefills a large prompt in about that time, so the
other instances would send more prompts to it without knowing of the first.
"""

from __future__ import annotations

import dataclasses
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

    def available(self, burst: float) -> int:
        """Return the number of datagrams that may be sent now."""
        return max(math.floor(burst - self.missing() + ROUNDING), 0)

    def delay_s(self, count: float, burst: float) -> float:
        """Return the seconds until some datagrams may be sent."""
        excess = self.missing() + count - burst
        return excess / self.rate_per_s if excess > ROUNDING else 0.0

    def missing(self) -> float:
        """Return the datagrams that the bucket lacks until it is full."""
        return max(self.full_at_s - self.clock(), 0.0) * self.rate_per_s

    def take(self, count: float) -> None:
        """Count datagrams that are sent."""
        start_s = max(self.full_at_s, self.clock())
        self.full_at_s = start_s + count / self.rate_per_s


@dataclasses.dataclass(frozen=True)
class Additions:
    """Urgent additions that other cells have not been notified of.

    Attributes
    ----------
    sequence
        Number of the last change of the load that is part of them.
    rows
        Waiting tokens by endpoint.
    """

    sequence: int
    rows: tuple[tuple[str, int], ...]


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
        self.urgent = False
        self.unreported: dict[str, int] = {}
        # The part of the above that isn't urgent yet.
        self.collected: dict[str, int] = {}
        self.unnoticed: dict[str, int] = {}
        self.sequence = 0
        self.lock = threading.Lock()

    def record(self, endpoint: str, tokens: int, sequence: int) -> None:
        """Record prompt tokens sent to an endpoint; ignore decreases.

        Parameters
        ----------
        endpoint
            Endpoint id.
        tokens
            Change of its waiting tokens.
        sequence
            Number of this change of the load.
        """
        if tokens <= 0:
            return
        with self.lock:
            total = self.unreported.get(endpoint, 0) + tokens
            self.unreported[endpoint] = total
            new = self.collected.pop(endpoint, 0) + tokens
            if total <= MIN_TOKENS:
                self.collected[endpoint] = new
                return
            self.unnoticed[endpoint] = self.unnoticed.get(endpoint, 0) + new
            self.sequence = sequence
            self.urgent = True
        self.raised.set()

    def start_report(self) -> None:
        """Record that a report of all load so far is about to be composed."""
        with self.lock:
            self.unreported.clear()
            self.collected.clear()
            self.urgent = False

    def take_additions(self) -> Additions | None:
        """Return the additions to notify other cells of, once."""
        with self.lock:
            if not self.unnoticed:
                return None
            rows = tuple(self.unnoticed.items())
            self.unnoticed.clear()
            return Additions(self.sequence, rows)

    def delay_s(self, peers: int) -> float:
        """Return the seconds until an urgent report may go out.

        Infinite unless there is something urgent to report.
        """
        with self.lock:
            if not self.urgent:
                return math.inf
            return self.bucket.delay_s(peers, BURST_REPORTS * peers)

    def take_report(self, peers: int) -> bool:
        """Return whether an urgent report may go out now; charge for it.

        Parameters
        ----------
        peers
            Number of datagrams of a report.
        """
        if self.delay_s(peers) > 0:
            return False
        with self.lock:
            self.bucket.take(peers)
        return True

    def wait(self, peers: int, max_s: float) -> None:
        """Wait for an addition, or until an urgent report may go out.

        Parameters
        ----------
        peers
            Number of datagrams of a report.
        max_s
            Maximum wait in seconds.
        """
        self.raised.wait(min(max_s, self.delay_s(peers)))
        self.raised.clear()
