"""Plays large prompts that instances send to the least loaded engine.

Instances use real loads and decide with the real rules when they report
them; datagrams arrive after a delay, and the time is simulated.  An engine
prefills one prompt at a time.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
import typing

from briarseam.placement import load_exchange
from briarseam.placement import loads
from briarseam.placement import urgency
from tests import clocks

# Observed on an engine: 12,000 tokens in 0.15 s.
PREFILL_S = 0.15 / 12_000
MIN_LARGE_TOKENS = 4000
MAX_LARGE_TOKENS = 16_000
SMALL_TOKENS = 500
SMALL_SHARE = 0.5
DATAGRAM_S = 0.001


@dataclasses.dataclass
class Instance:
    """An instance, and its state of reporting.

    Attributes
    ----------
    loads
        Load of engines, as known to the instance.
    urgent
        Decides which reports are early; ``None`` if none are.
    next_s
        Time of the next regular report.
    changed
        Whether the load has changed since the last report.
    """

    loads: loads.Loads
    urgent: urgency.UrgentReports | None
    next_s: float = 0.0
    changed: bool = False


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What became of the large prompts.

    Attributes
    ----------
    large
        Number of large prompts.
    behind
        Those sent to an engine while it had a large prompt of another
        instance yet to prefill.
    reports
        Reports sent by all instances.
    """

    large: int
    behind: int
    reports: int


class Play:
    """One play of a load in one cell.

    Parameters
    ----------
    seed
        Seed of the arrivals.
    at_once
        Whether large additions are reported immediately.
    instances, engines
        Numbers of instances and engines.
    prompts_per_s
        Prompts per second over all instances.
    """

    def __init__(
        self,
        seed: int,
        at_once: bool,
        instances: int,
        engines: int,
        prompts_per_s: float,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.prompts_per_s = prompts_per_s
        self.peers = instances - 1
        self.interval_s = max(
            load_exchange.BATCH_S,
            self.peers / load_exchange.MAX_DATAGRAMS_PER_S,
        )
        # For each engine, the end and the sender of its large prompts.
        self.engines: dict[str, list[tuple[float, Instance]]] = {
            f"e{number}": [] for number in range(engines)
        }
        self.free_s = dict.fromkeys(self.engines, 0.0)
        self.instances = [self.instance(at_once) for _ in range(instances)]
        self.events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.order = itertools.count()
        self.large = self.behind = self.reports = 0

    def instance(self, at_once: bool) -> Instance:
        """Return a new instance."""
        known = loads.Loads(clock=self.clock)
        if not at_once:
            return Instance(known, None)
        urgent = urgency.UrgentReports(self.clock)
        known.record_addition = lambda endpoint, tokens, sequence: (
            urgent.record(endpoint, tokens)
        )
        return Instance(known, urgent)

    def after(self, delay_s: float, action: typing.Callable[[], None]) -> None:
        """Schedule an action."""
        event = (self.clock() + delay_s, next(self.order), action)
        heapq.heappush(self.events, event)

    def run(self, duration_s: float) -> Outcome:
        """Play the load for some seconds."""
        end_s = self.clock() + duration_s
        self.after(0.0, self.arrive)
        while self.events[0][0] < end_s:
            self.clock.now_s, _order, action = heapq.heappop(self.events)
            action()
        return Outcome(self.large, self.behind, self.reports)

    def arrive(self) -> None:
        """Send a prompt to the least loaded engine known to an instance."""
        self.after(self.random.expovariate(self.prompts_per_s), self.arrive)
        instance = self.random.choice(self.instances)
        tokens = SMALL_TOKENS
        if self.random.random() >= SMALL_SHARE:
            tokens = self.random.randint(MIN_LARGE_TOKENS, MAX_LARGE_TOKENS)
        engine = min(
            self.engines,
            key=lambda name: (
                instance.loads.of(name).waiting_tokens,
                self.random.random(),
            ),
        )
        now_s = self.clock()
        end_s = max(now_s, self.free_s[engine]) + tokens * PREFILL_S
        self.free_s[engine] = end_s
        if tokens != SMALL_TOKENS:
            self.large += 1
            self.engines[engine] = [
                (other_s, sender)
                for other_s, sender in self.engines[engine]
                if other_s > now_s
            ]
            self.behind += any(
                sender is not instance
                for _other_s, sender in self.engines[engine]
            )
            self.engines[engine].append((end_s, instance))
        added = loads.Load(waiting_tokens=tokens)
        instance.loads.add(engine, added)
        self.change(instance)

        def first_event() -> None:
            instance.loads.add(engine, loads.NO_LOAD.minus(added))
            self.change(instance)

        self.after(end_s - now_s, first_event)

    def change(self, instance: Instance) -> None:
        """Report a change when it is due."""
        instance.changed = True
        self.after(self.due_s(instance), functools.partial(self.due, instance))

    def due_s(self, instance: Instance) -> float:
        """Return the seconds until the next report."""
        regular_s = max(instance.next_s - self.clock(), 0.0)
        if instance.urgent is None:
            return regular_s
        return min(regular_s, instance.urgent.delay_s(self.peers))

    def due(self, instance: Instance) -> None:
        """Send a report if there is something new and it is due."""
        if not instance.changed or self.due_s(instance) > 0.0:
            return
        if instance.urgent is not None:
            if instance.next_s > self.clock():
                instance.urgent.bucket.take(self.peers)
            instance.urgent.start_report()
        instance.changed = False
        instance.next_s = self.clock() + self.interval_s
        self.reports += 1
        name = f"i{self.instances.index(instance)}"
        report = instance.loads.provide()

        def deliver() -> None:
            for other in self.instances:
                if other is not instance:
                    other.loads.consume(name, report)

        self.after(DATAGRAM_S * self.random.uniform(0.3, 1.7), deliver)
