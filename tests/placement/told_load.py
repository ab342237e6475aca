"""Plays large prompts that instances send to the least loaded engine.

Instances use real loads and decide with the real rules when they report
them, and what they notify other cells of; datagrams arrive after a delay, and
the time is simulated.  The speaker of a cell sends its load to those of other
cells, whose heartbeats pass it on.  An engine prefills one prompt at a time.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
import types
import typing

from briarseam.placement import cell_loads
from briarseam.placement import load_exchange
from briarseam.placement import loads
from briarseam.placement import notice_recipients
from briarseam.placement import urgency
from briarseam.placement import work_notices
from tests import clocks

# Observed on an engine: 12,000 tokens in 0.15 s.
PREFILL_S = 0.15 / 12_000
MIN_LARGE_TOKENS = 4000
MAX_LARGE_TOKENS = 16_000
SMALL_TOKENS = 500
SMALL_SHARE = 0.5
DATAGRAM_S = 0.001
HEARTBEAT_S = 0.5


@dataclasses.dataclass
class Instance:
    """An instance, and its state of reporting.

    Attributes
    ----------
    name, cell
        Name of the instance, and number of its cell.
    loads
        Load of engines, as known to the instance.
    urgent
        Decides which reports are early; ``None`` if none are.
    recipients
        Chooses the instances that get a notice.
    cell_loads
        Exchange of loads with other cells.
    next_s
        Time of the next regular report.
    changed
        Whether the load has changed since the last report.
    """

    name: str
    cell: int
    loads: loads.Loads
    urgent: urgency.UrgentReports | None
    recipients: notice_recipients.Recipients
    cell_loads: cell_loads.CellLoads
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
    """One play of a load.

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
    cells
        Number of cells.
    """

    def __init__(
        self,
        seed: int,
        at_once: bool,
        instances: int,
        engines: int,
        prompts_per_s: float,
        cells: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.prompts_per_s = prompts_per_s
        self.at_once = at_once
        self.cells = cells
        self.peers = instances // cells - 1
        self.interval_s = max(
            load_exchange.BATCH_S,
            self.peers / load_exchange.MAX_DATAGRAMS_PER_S,
        )
        # For each engine, the end and the sender of its large prompts.
        self.engines: dict[str, list[tuple[float, Instance]]] = {
            f"e{number}": [] for number in range(engines)
        }
        self.free_s = dict.fromkeys(self.engines, 0.0)
        self.events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.order = itertools.count()
        self.large = self.behind = self.reports = 0
        self.instances = [
            self.instance(f"i{number}", number % cells)
            for number in range(instances)
        ]
        self.by_name = {one.name: one for one in self.instances}

    def instance(self, name: str, cell: int) -> Instance:
        """Return a new instance."""
        known = loads.Loads(clock=self.clock)
        urgent = urgency.UrgentReports(self.clock) if self.at_once else None
        if urgent is not None:
            known.record_addition = urgent.record
        recipients = notice_recipients.Recipients(
            lambda: [
                other.name for other in self.instances if other.cell != cell
            ],
            self.clock,
            self.random,
        )
        cells = types.SimpleNamespace(
            name=lambda: f"c{cell}",
            size=lambda: self.peers + 1,
            # The first instances are the speakers of their cells.
            is_speaker=lambda: name == f"i{cell}",
            addresses=lambda: [
                f"i{number}" for number in range(self.cells) if number != cell
            ],
            publish_load=self.publish_load,
        )
        exchange = cell_loads.CellLoads(
            known, cells, self.clock, name if self.at_once else ""
        )
        return Instance(name, cell, known, urgent, recipients, exchange)

    def publish_load(self, name: str, message: cell_loads.CellLoad) -> None:
        """Send the load of a cell to the speaker of another one."""
        self.after(
            DATAGRAM_S,
            lambda: self.by_name[name].cell_loads.answer(message),
        )

    def review(self, speaker: Instance) -> None:
        """Publish the load of a speaker's cell."""
        self.after(cell_loads.PUBLISH_INTERVAL_S, lambda: self.review(speaker))
        speaker.cell_loads.review()

    def beat(self, speaker: Instance, peer: Instance) -> None:
        """Pass the loads of other cells to a peer, by heartbeats."""
        self.after(HEARTBEAT_S, lambda: self.beat(speaker, peer))
        source, target = speaker.cell_loads, peer.cell_loads
        if self.at_once:
            target.consume_included(speaker.name, source.provide_included())
        target.consume(speaker.name, source.provide())

    def start_heartbeats(self) -> None:
        """Start the exchange between the cells, if there are several."""
        if self.cells == 1:
            return
        for one in self.instances:
            speaker = self.instances[one.cell]
            action = (
                functools.partial(self.review, one)
                if one is speaker
                else functools.partial(self.beat, speaker, one)
            )
            self.after(self.random.uniform(0.0, HEARTBEAT_S), action)

    def after(self, delay_s: float, action: typing.Callable[[], None]) -> None:
        """Schedule an action."""
        event = (self.clock() + delay_s, next(self.order), action)
        heapq.heappush(self.events, event)

    def run(self, duration_s: float) -> Outcome:
        """Play the load for some seconds."""
        end_s = self.clock() + duration_s
        self.start_heartbeats()
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
        additions = instance.urgent and instance.urgent.take_additions()
        if not additions:
            return
        notice = work_notices.WorkNotice(
            instance.name,
            instance.loads.incarnation,
            additions.sequence,
            additions.rows,
        )
        for name in instance.recipients.take(self.peers + 1)[0]:
            noticed = self.by_name[name].loads.noticed
            self.after(
                DATAGRAM_S * self.random.uniform(0.3, 1.7),
                functools.partial(noticed.apply, notice),
            )

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
        report = instance.loads.provide()

        def deliver() -> None:
            for other in self.instances:
                if other is not instance and other.cell == instance.cell:
                    other.loads.consume(instance.name, report)

        self.after(DATAGRAM_S * self.random.uniform(0.3, 1.7), deliver)
