"""A budget for sending requests to a second endpoint.

When endpoints fail, each request that is sent once more adds load where
least is left.  All instances together may add a fixed part of what callers
ask, and a little more; each uses its share of it and need not ask others.
"""

from __future__ import annotations

import collections
import threading
import typing

from briarseam import clocks

# Part of the budget that is used.  The window that judges slides over all
# instances and counts what arrived, which lags behind what was sent.
SAFETY_FACTOR = 0.6
SLOTS_PER_WINDOW = 10


class Window:
    """Counts over the last seconds.

    Parameters
    ----------
    length_s
        Length of the window, in seconds.
    clock
        Seconds.
    """

    def __init__(
        self, length_s: float, clock: typing.Callable[[], float]
    ) -> None:
        self.slot_s = length_s / SLOTS_PER_WINDOW
        self.clock = clock
        self.slots: collections.deque[list[float]] = collections.deque()

    def add(self) -> None:
        """Count one."""
        slot = self.clock() // self.slot_s
        if self.slots and self.slots[-1][0] == slot:
            self.slots[-1][1] += 1
        else:
            self.slots.append([slot, 1.0])

    def total(self) -> float:
        """Return the count of the window."""
        oldest = self.clock() // self.slot_s - SLOTS_PER_WINDOW
        while self.slots and self.slots[0][0] < oldest:
            self.slots.popleft()
        return sum(count for _slot, count in self.slots)


class RetryBudget:
    """The budget of this instance, for each service by itself.

    Parameters
    ----------
    ratio
        Retries allowed for each request of callers.
    slack
        Retries allowed in a window beyond that, over all instances.
    window_s
        Length of the window, in seconds.
    instance_count
        Number of instances that share the slack.
    clock
        Seconds.
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
        """Take a retry from the budget; tell whether there was one."""
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
