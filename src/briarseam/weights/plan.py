"""How many engines to change at once, and whether their runs may finish."""

from __future__ import annotations

import dataclasses
import math
import threading

from briarseam.weights import orders

# Weights come from a store that is rate-limited: more loads than about two
# of five engines at once each take longer, so nothing is gained.
MOST_SHARE = 0.4
# With time to spare no more than this are out of service.
EASY_SHARE = 0.2
# But two where the share above allows it: six engines, one at a time and
# five seconds each, would take twice the time that older weights may be used.
EASY_AT_ONCE = 2
# What a change takes until one was measured: runs that may finish end within
# some seconds, a load takes one or two.  Taken for long, so that a first
# plan errs towards an early end.
FIRST_GUESS_S = {
    orders.Mode.FINISH: 5.0,
    orders.Mode.RETAIN: 2.5,
    orders.Mode.EVICT: 2.5,
}
# Weight of the newest measurement in the average.
NEWEST_SHARE = 0.3
# Kept for a change of the duty's holder in the midst.
RESERVE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """How a rollout goes on.

    Attributes
    ----------
    at_once
        Engines that may be changed at the same time.
    mode
        What happens to their runs.
    """

    at_once: int
    mode: orders.Mode


class ChangeTimes:
    """How long changes take, measured; thread-safe."""

    def __init__(self) -> None:
        self.seconds = dict(FIRST_GUESS_S)
        self.lock = threading.Lock()

    def note(self, mode: orders.Mode, took_s: float) -> None:
        """Take in what one change took, in seconds."""
        with self.lock:
            known_s = self.seconds[mode]
            self.seconds[mode] = known_s + NEWEST_SHARE * (took_s - known_s)

    def of(self, mode: orders.Mode) -> float:
        """Return what a change is expected to take, in seconds."""
        with self.lock:
            return self.seconds[mode]


def make(
    engines: int,
    behind: int,
    time_left_s: float,
    times: ChangeTimes,
    under_way: int = 0,
) -> Plan:
    """Return the gentlest plan that ends in time, or the fastest one.

    Parameters
    ----------
    engines
        All engines of the model.
    behind
        Those that have older weights and are not being changed.
    time_left_s
        Until their weights are out of use; not positive when they are.
    times
        What changes take.
    under_way
        Engines that are being changed; on average half of it is done.
    """
    most = max(1, int(engines * MOST_SHARE))
    easy = min(most, max(EASY_AT_ONCE, int(engines * EASY_SHARE)))
    change_s = times.of(orders.Mode.FINISH)
    # More rounds than engines are no use, and time may be endless.
    spare_s = time_left_s - RESERVE_S - (change_s / 2 if under_way else 0.0)
    rounds = int(min(spare_s / change_s, max(1, behind)))
    if rounds >= 1:
        needed = math.ceil(behind / rounds)
        if needed <= most:
            return Plan(max(easy, needed), orders.Mode.FINISH)
    return Plan(most, orders.Mode.RETAIN)
