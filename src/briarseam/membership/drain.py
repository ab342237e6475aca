"""Graceful shutdown of the daemons."""

from __future__ import annotations

import dataclasses
import time
import typing

import structlog

PUBLISH_TIMEOUT_S = 3.0
POLL_S = 0.05
DEFAULT_BOUND_S = 600.0
log = structlog.get_logger("briarseam.membership")


@dataclasses.dataclass(frozen=True)
class Drained:
    """The drain ended with no request in flight.

    Attributes
    ----------
    waited_s
        Seconds from the announcement.
    """

    waited_s: float


@dataclasses.dataclass(frozen=True)
class CutOff:
    """The drain's bound or an interrupt came before the last request's end.

    Attributes
    ----------
    waited_s
        Seconds from the announcement.
    in_flight
        Requests that will be cut off.
    """

    waited_s: float
    in_flight: int


Outcome = Drained | CutOff


@dataclasses.dataclass(frozen=True)
class Drain:
    """The steps of a daemon between SIGTERM and its exit.

    Callers use a lookup for its time to live, so a process that stopped at
    SIGTERM would refuse or cut off callers that were directed to it shortly
    before.  The process is removed from the lookups first, serves until the
    last lookup has expired, and then until nothing is in flight.

    Attributes
    ----------
    announce
        Publishes to the peers, or to the agent, that this process is
        leaving.
    published
        Whether all agents that answer lookups know it.
    in_flight
        Number of requests in flight.
    settle
        Whether nothing is in flight; if so, the process accepts no more
        requests from then on.
    linger_s
        Returns for how many seconds callers may still connect after a
        lookup: its time to live, and the time that a change takes to reach
        other cells.
    bound_s
        Maximum duration of the drain; requests in flight then are cut off.
    stop_requested_s
        Time of the request to stop, by the clock; now unless given.
    interrupted
        Whether to stop waiting now, as an operator requests with SIGINT.
    """

    announce: typing.Callable[[], None]
    published: typing.Callable[[], bool]
    in_flight: typing.Callable[[], int]
    settle: typing.Callable[[], bool]
    linger_s: typing.Callable[[], float]
    bound_s: float = DEFAULT_BOUND_S
    stop_requested_s: float | None = None
    interrupted: typing.Callable[[], bool] = lambda: False
    clock: typing.Callable[[], float] = time.monotonic
    sleep: typing.Callable[[float], None] = time.sleep

    def run(self) -> Outcome:
        """Drain; return how it ended."""
        # Guard: the supervisor that sent SIGTERM kills the process some
        # seconds later.  A process that handles the signal late, after its
        # start or a suspension, must not count the bound from then: it would
        # be killed before the bound, with the requests in flight.
        started = (
            self.clock()
            if self.stop_requested_s is None
            else self.stop_requested_s
        )
        log.info("draining", in_flight=self.in_flight())
        self.announce()
        self.wait(
            self.published, started + min(PUBLISH_TIMEOUT_S, self.bound_s)
        )
        # A peer may have answered a lookup just before it got the update.
        served_until = self.clock() + self.linger_s()
        end = started + self.bound_s
        self.wait(lambda: self.clock() >= served_until, end)
        settled = self.wait(self.settle, end)
        return self.outcome(started, settled)

    def wait(
        self, condition: typing.Callable[[], bool], deadline: float
    ) -> bool:
        """Wait for a condition until a deadline or an interrupt.

        Returns
        -------
        bool
            Whether the condition was met.
        """
        while not condition():
            if self.clock() >= deadline or self.interrupted():
                return False
            self.sleep(POLL_S)
        return True

    def outcome(self, started: float, settled: bool) -> Outcome:
        """Return and log how the drain ended."""
        waited_s = self.clock() - started
        if not settled:
            remaining = self.in_flight()
            log.warning(
                "drain_cut_off", in_flight=remaining, waited_s=waited_s
            )
            return CutOff(waited_s, remaining)
        log.info("drained", waited_s=waited_s)
        return Drained(waited_s)
