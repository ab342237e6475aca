"""The graceful shutdown that both daemons go through."""

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
    """Nothing was in flight at the end.

    Attributes
    ----------
    waited_s
        Seconds from the announcement.
    """

    waited_s: float


@dataclasses.dataclass(frozen=True)
class CutOff:
    """The bound, or an operator's hurry, came before the last request's end.

    Attributes
    ----------
    waited_s
        Seconds from the announcement.
    in_flight
        Requests that will be cut.
    """

    waited_s: float
    in_flight: int


Outcome = Drained | CutOff


@dataclasses.dataclass(frozen=True)
class Drain:
    """What one daemon does between SIGTERM and its exit.

    Callers keep a lookup for its time to live and connect by themselves,
    so a process that stopped on SIGTERM would refuse or cut callers whom
    the system itself sent there a moment ago.  It vanishes from the
    lookups first, serves until the last of them has run out, and then
    until nothing is in flight.

    Attributes
    ----------
    announce
        Tells the peers, or the agent, that this process is leaving.
    published
        Whether all who give out lookups know it.
    in_flight
        Requests under way.
    settle
        Whether nothing is in flight; if so, the process takes nothing more
        from then on.
    linger_s
        Returns for how many seconds callers may still come that a lookup
        sends here: its time to live, and the time that news takes to reach
        other cells.
    bound_s
        Longest drain; what is in flight then is cut off.
    stop_requested_s
        When the process was asked to stop, by the clock; now unless given.
    interrupted
        Whether to give up waiting now, as an operator asks with SIGINT.
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
        # Guard: whoever sent SIGTERM kills the process some seconds later.
        # Counted from when it was noticed, as after a start or a suspension,
        # the bound would come after that, and what is served until then
        # would be lost.
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
        # A peer may have answered a lookup just before it was told.
        served_until = self.clock() + self.linger_s()
        end = started + self.bound_s
        self.wait(lambda: self.clock() >= served_until, end)
        settled = self.wait(self.settle, end)
        return self.outcome(started, settled)

    def wait(
        self, condition: typing.Callable[[], bool], deadline: float
    ) -> bool:
        """Wait for a condition until a time, or a hurry; tell if it held."""
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
