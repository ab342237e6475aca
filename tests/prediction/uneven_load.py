"""Load on engines of uneven speed, with real choosers.

An engine prefills one prompt after another in steps.  Its streams emit an
event every few steps, so that consecutive steps with prefill stretch the
pause between two events.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from briarseam.discovery import model as discovery
from briarseam.forwarding import calls
from briarseam.placement import chooser as choosers
from briarseam.placement import loads
from briarseam.placement import requests
from briarseam.routes import model as routes
from briarseam.weights import engine_weights
from briarseam.weights import goals
from tests import clocks

MODEL = "m"
SERVICE_NAME = "engines"
INSTANCES = 30
ENGINES = 40
SLOTS = 12
STEP_TOKENS = 2048
STEP_S = 0.030
FLOOR_S = 0.02
STEPS_PER_EVENT = 9
SLOW_FACTOR = 1.3
# Share of the intervals in which an engine is slower, and by how much.
DIP_SHARE = 0.15
DIP_FACTOR = 2.5
DIP_INTERVAL_S = 0.6
STREAM_S = 2.0
TARGET_S = 0.45
MAX_PAUSE_S = 0.4
MIN_TOKENS = 1000
MAX_TOKENS = 20_000
REPORT_INTERVAL_S = 0.12
SERVICE = routes.Service(
    SERVICE_NAME,
    engine=routes.EngineTraits(
        (MODEL,), SLOTS, 400_000, 1000.0, 1000.0, STEPS_PER_EVENT
    ),
)
ROUTE = routes.Route(
    "r",
    "h",
    "/",
    routes.Repeat.STREAM,
    (routes.Share(SERVICE_NAME),),
    15.0,
    TARGET_S,
    2,
    max_pause_s=MAX_PAUSE_S,
)


@dataclasses.dataclass
class Run:
    """One prompt and its stream.

    Attributes
    ----------
    chooser, request, placement, added
        The instance, the request, where it was placed, and its load there.
    tokens
        Tokens yet to be prefilled.
    sent_s
        Time of its arrival.
    first_s
        Seconds until its first event.
    paused
        Whether a pause was longer than its caller tolerates.
    """

    chooser: choosers.Chooser
    request: requests.Request
    placement: requests.Placement
    added: loads.Load
    tokens: int
    sent_s: float
    first_s: float = float("inf")
    paused: bool = False

    @property
    def late(self) -> bool:
        """Whether the first event or a later one was late."""
        return self.first_s > TARGET_S or self.paused


class Engine:
    """A modelled engine.

    Attributes
    ----------
    waiting, streams
        Prompts to be prefilled, and streams that run.
    steps
        Start and end of the last consecutive steps with prefill, as many as
        there are between two events.
    """

    def __init__(self, factor: float, seed: int) -> None:
        self.factor = factor
        self.seed = seed
        self.waiting: collections.deque[Run] = collections.deque()
        self.streams: list[Run] = []
        self.steps: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=STEPS_PER_EVENT
        )

    def step_s(self, now_s: float) -> float:
        """Return the time of a step with prefill that starts now."""
        interval = int(now_s / DIP_INTERVAL_S)
        draw = random.Random(self.seed * 100_003 + interval).random()
        dip = DIP_FACTOR if draw < DIP_SHARE else 1.0
        return STEP_S * self.factor * dip


class UnevenLoad:
    """One simulation.

    Parameters
    ----------
    seed
        Seed of the arrivals and of the engines' slow intervals.
    predict
        Whether the instances predict late answers.
    reported
        Whether instances learn of each other's load by periodic reports;
        else they know it at once.
    """

    def __init__(
        self, seed: int, predict: bool, reported: bool = False
    ) -> None:
        self.reported = reported
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock(0.0)
        self.order = itertools.count()
        self.events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.runs: list[Run] = []
        self.refused = 0
        self.endpoints = [
            discovery.Endpoint(
                f"e{number}",
                SERVICE_NAME,
                f"10.0.0.1:{number + 1}",
                "a",
                SLOTS,
                versions={MODEL: 1},
            )
            for number in range(ENGINES)
        ]
        self.engines = {
            endpoint.id: Engine(
                1.0 if number % 3 else SLOW_FACTOR, seed * ENGINES + number
            )
            for number, endpoint in enumerate(self.endpoints)
        }
        shared = loads.Loads(clock=self.clock)
        self.instances = [
            choosers.Chooser(
                lambda service: self.endpoints,
                lambda model: 0,
                engine_weights.EngineWeights(goals.GoalHistory(), self.clock),
                loads=(loads.Loads(clock=self.clock) if reported else shared),
                clock=self.clock,
                predict=predict,
            )
            for _ in range(INSTANCES)
        ]
        for chooser in self.instances:
            chooser.predictor.max_pauses = {SERVICE_NAME: MAX_PAUSE_S}

    def at(self, time_s: float, action: typing.Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self.events, (time_s, next(self.order), action))

    def run(self, duration_s: float, per_s: float) -> list[Run]:
        """Run the simulation; return all prompts."""
        time_s = self.random.expovariate(per_s)
        while time_s < duration_s:
            self.at(time_s, self.arrive)
            time_s += self.random.expovariate(per_s)
        for number in range(INSTANCES if self.reported else 0):
            first_s = REPORT_INTERVAL_S * number / INSTANCES
            self.at(first_s, lambda number=number: self.report(number))
        while self.events and self.events[0][0] < duration_s + STREAM_S:
            self.clock.now_s, _order, action = heapq.heappop(self.events)
            action()
        return self.runs

    def report(self, number: int) -> None:
        """Tell all other instances the load of one, again and again."""
        data = self.instances[number].loads.provide()
        for other, chooser in enumerate(self.instances):
            if other != number:
                chooser.loads.consume(f"i{number}", data)
        self.at(self.clock() + REPORT_INTERVAL_S, lambda: self.report(number))

    def arrive(self) -> None:
        """Send a new prompt to a random instance."""
        chooser = self.random.choice(self.instances)
        spread = MAX_TOKENS / MIN_TOKENS
        tokens = int(MIN_TOKENS * spread ** self.random.random())
        name = f"p{next(self.order)}"
        parts = (calls.PromptPart(name, tokens),)
        prompt = calls.Prompt(MODEL, tokens, 100, parts)
        call = calls.Call(name, "POST", "/", "h", (), prompt=prompt)
        request = requests.Request(call, ROUTE, SERVICE, None, TARGET_S)
        placement = chooser.choose(request)
        if not isinstance(placement, requests.Placement):
            self.refused += 1
            return
        added = chooser.record_start(placement, call)
        run = Run(chooser, request, placement, added, tokens, self.clock())
        self.runs.append(run)
        engine = self.engines[placement.endpoint.id]
        engine.waiting.append(run)
        if len(engine.waiting) == 1:
            engine.steps.clear()
            self.start_step(engine)

    def start_step(self, engine: Engine) -> None:
        """Start a step with prefill."""
        start_s = self.clock()
        end_s = start_s + engine.step_s(start_s)
        self.at(end_s, lambda: self.end_step(engine, start_s))

    def end_step(self, engine: Engine, start_s: float) -> None:
        """End a step: note pauses, and begin the stream of a prompt."""
        now_s = self.clock()
        engine.steps.append((start_s, now_s))
        pause_from_s = engine.steps[0][0]
        if now_s - pause_from_s > MAX_PAUSE_S:
            for stream in engine.streams:
                if stream.sent_s + stream.first_s <= pause_from_s:
                    stream.paused = True
        run = engine.waiting[0]
        run.tokens -= STEP_TOKENS
        if run.tokens <= 0:
            engine.waiting.popleft()
            self.at(now_s + FLOOR_S, lambda: self.begin(engine, run))
        if engine.waiting:
            self.start_step(engine)

    def begin(self, engine: Engine, run: Run) -> None:
        """Emit a prompt's first event."""
        run.first_s = self.clock() - run.sent_s
        engine.streams.append(run)
        running = run.chooser.record_first_event(
            run.placement, run.request, run.added, run.first_s
        )

        def end() -> None:
            engine.streams.remove(run)
            run.chooser.record_end(run.placement, run.request.call, running)

        self.at(self.clock() + STREAM_S, end)


def late_share(runs: list[Run], after_s: float = 0.0) -> float:
    """Return the share of late answers of prompts sent after a time."""
    counted = [run for run in runs if run.sent_s >= after_s]
    return sum(run.late for run in counted) / len(counted)
