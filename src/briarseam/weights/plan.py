"""Number of engines to change at once, and whether their runs may finish."""

from __future__ import annotations

import dataclasses
import math
import threading

from briarseam.weights import orders

# Weights come from a rate-limited store: with more than about two of five
# engines loading at once each load takes longer, so nothing is gained.
MAX_SHARE = 0.4
# Share of the engines that are out of service at once if time permits.
RELAXED_SHARE = 0.2
# At least two at once, where ``MAX_SHARE`` allows it: six engines, one at a
# time and five seconds each, would take twice the time for which older
# weights may be used.
MIN_RELAXED = 2
# Durations assumed until changes were measured: runs that may finish end
# within some seconds, a load takes one or two.  The values are high, so that
# a first plan rather ends early.
INITIAL_CHANGE_S = {
    orders.Mode.FINISH: 5.0,
    orders.Mode.RETAIN: 2.5,
    orders.Mode.EVICT: 2.5,
}
# Weight of the newest measurement in the average.
SMOOTHING = 0.3
# Reserve for a change of leader during the rollout.
RESERVE_S = 1.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """How a rollout continues.

    Attributes
    ----------
    at_once
        Maximum number of engines to change at the same time.
    mode
        What happens to their runs.
    """

    at_once: int
    mode: orders.Mode


class ChangeDurations:
    """Average measured durations of changes; thread-safe."""

    def __init__(self) -> None:
        self.seconds = dict(INITIAL_CHANGE_S)
        self.lock = threading.Lock()

    def record(self, mode: orders.Mode, took_s: float) -> None:
        """Record the duration of a change, in seconds."""
        with self.lock:
            known_s = self.seconds[mode]
            self.seconds[mode] = known_s + SMOOTHING * (took_s - known_s)

    def expected_s(self, mode: orders.Mode) -> float:
        """Return the expected duration of a change, in seconds."""
        with self.lock:
            return self.seconds[mode]


def make(
    engines: int,
    outdated: int,
    remaining_s: float,
    durations: ChangeDurations,
    in_progress: int = 0,
) -> Plan:
    """Return the least disruptive plan that ends in time, or the fastest one.

    Parameters
    ----------
    engines
        Number of all engines of the model.
    outdated
        Number of engines that have older weights and are not being changed.
    remaining_s
        Time until their weights are excluded from use, in seconds; not
        positive if they already are.
    durations
        Durations of changes.
    in_progress
        Number of engines that are being changed; on average half of the
        change is done.
    """
    max_at_once = max(1, int(engines * MAX_SHARE))
    relaxed_at_once = min(
        max_at_once, max(MIN_RELAXED, int(engines * RELAXED_SHARE))
    )
    change_s = durations.expected_s(orders.Mode.FINISH)
    # More rounds than engines are of no use, and the time may be infinite.
    spare_s = remaining_s - RESERVE_S - (change_s / 2 if in_progress else 0.0)
    rounds = int(min(spare_s / change_s, max(1, outdated)))
    if rounds >= 1:
        needed = math.ceil(outdated / rounds)
        if needed <= max_at_once:
            return Plan(max(relaxed_at_once, needed), orders.Mode.FINISH)
    return Plan(max_at_once, orders.Mode.RETAIN)
