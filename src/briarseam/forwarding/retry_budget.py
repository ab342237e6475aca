"""Retry budget: limits how many requests go to a second endpoint.

When endpoints fail, each retry adds load to the remaining ones.  All
instances together may add a fixed share of the callers' requests, plus some
slack.  Each instance uses only its own share, without coordination.
"""

from __future__ import annotations

import collections
import threading
import typing

from briarseam import clocks

# Share of the budget that is used.  The limit is checked over all instances
# in a sliding window of arrivals, which lag behind the requests sent.
SAFETY_FACTOR = 0.6
SLOTS_PER_WINDOW = 10


class Window:
    """Counter over a sliding window.

    Parameters
    ----------
    length_s
        Length of the window, in seconds.
    clock
        Returns the time in seconds.
    """

    def __init__(
        self, length_s: float, clock: typing.Callable[[], float]
    ) -> None:
        self.slot_s = length_s / SLOTS_PER_WINDOW
        self.clock = clock
        self.slots: collections.deque[list[float]] = collections.deque()

    def add(self) -> None:
        """Count one event."""
        slot = self.clock() // self.slot_s
        if self.slots and self.slots[-1][0] == slot:
            self.slots[-1][1] += 1
        else:
            self.slots.append([slot, 1.0])

    def total(self) -> float:
        """Return the number of events in the window."""
        oldest = self.clock() // self.slot_s - SLOTS_PER_WINDOW
        while self.slots and self.slots[0][0] < oldest:
            self.slots.popleft()
        return sum(count for _slot, count in self.slots)


class RetryBudget:
    """The retry budgets of the local instance, one for each service.

    Parameters
    ----------
    ratio
        Retries allowed for each request of a caller.
    slack
        Additional retries allowed in a window, over all instances.
    window_s
        Length of the window, in seconds.
    instance_count
        Returns the number of instances that share the slack.
    clock
        Returns the time in seconds.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window_s: float,
        instance_count: typing.Callable[[], int],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window_s = window_s
        self.instance_count = instance_count
        self.clock = clock
        self.requests: dict[str, Window] = {}
        self.retries: dict[str, Window] = {}
        self.lock = threading.Lock()

    def deposit(self, service: str) -> None:
        """Count a request of a caller."""
        with self.lock:
            self.window(self.requests, service).add()

    def try_withdraw(self, service: str) -> bool:
        """Withdraw a retry; return whether the budget allows it."""
        with self.lock:
            retries = self.window(self.retries, service)
            allowed = SAFETY_FACTOR * (
                self.ratio * self.window(self.requests, service).total()
                + self.slack / max(1, self.instance_count())
            )
            if retries.total() + 1 > allowed:
                return False
            retries.add()
            return True

    def window(self, windows: dict[str, Window], service: str) -> Window:
        """Return the window of a service."""
        if service not in windows:
            windows[service] = Window(self.window_s, self.clock)
        return windows[service]
