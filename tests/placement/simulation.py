"""Simulates a load with real choosers and modelled engines and stores.

Instances are real choosers that use simulated time.  Each knows the loads of
the others that were published and have arrived.  An engine prefills one
prompt at a time and fetches one part at a time; a store serves one engine at
a time.
"""

from __future__ import annotations

import dataclasses
import functools
import heapq
import itertools
import random
import typing

from briarseam.discovery import model as discovery
from briarseam.forwarding import calls
from briarseam.placement import chooser as choosers
from briarseam.placement import loads
from briarseam.placement import requests
from briarseam.placement import salts
from briarseam.placement import store_index
from briarseam.routes import model as routes
from briarseam.weights import engine_weights
from briarseam.weights import goals
from tests import clocks
from tests.placement import prompt_kinds

# A deployment with slow engines that hold four long prompts each.
MODEL = "m"
INSTANCES = 6
ENGINES = 9
MEMORY_TOKENS = 42_000
# Time to prefill a token on an otherwise idle engine.
PREFILL_MS = 0.033
STORES = ("10.0.0.1:1", "10.0.0.2:1")
# Time to fetch a token from a healthy store.
FETCH_MS = 0.01
# A transfer that would have to wait longer is not started.
MAX_QUEUE_S = 2.0
CONFIRM_S = 1.0
# Simulated time after the last arrival, for answers in progress.
DRAIN_S = 10.0
SESSIONS = 400
# Interval at which a prompt without capacity is placed again.
CAPACITY_POLL_S = 0.05
ROUTE = routes.Route(
    "r",
    "h",
    "/",
    routes.Repeat.STREAM,
    (routes.Share("engines"),),
    15.0,
    0.8,
    2,
    resumable=True,
)


@dataclasses.dataclass
class Engine:
    """Times at which an engine has finished its prefills and fetches."""

    prefilled_s: float = 0.0
    fetched_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """Result of one request.

    Attributes
    ----------
    kind
        Kind of the prompt.
    at_s
        Time of arrival.
    first_s
        Seconds until the first event; ``None`` for a refusal.
    tokens
        Size of the prompt.
    """

    kind: prompt_kinds.Kind
    at_s: float
    first_s: float | None
    tokens: int = 0

    @property
    def in_time(self) -> bool:
        """Whether the first event met its target."""
        return self.first_s is not None and self.first_s <= self.kind.target_s


@dataclasses.dataclass(frozen=True)
class Policy:
    """Policies that are compared.

    Attributes
    ----------
    delay_s
        Time from a change of an instance's load to its arrival at the
        others, or the interval between periodic reports.
    immediate
        Whether each change is published, instead of periodic reports.
    max_wait_s
        Longest time that a prompt waits for capacity.
    """

    delay_s: float = 0.03
    immediate: bool = True
    max_wait_s: float = 0.0


class Simulation:
    """One simulation of a load.

    Parameters
    ----------
    seed
        Seed of the arrivals.
    policy
        Policy to simulate.
    kept
        Whether the stores keep the sessions' parts.
    slow_s
        Start and end of the time in which the first store is four times
        slower.
    memory_tokens
        Memory of each engine.
    """

    def __init__(
        self,
        seed: int,
        policy: Policy,
        kept: bool,
        slow_s: tuple[float, float] = (0.0, 0.0),
        memory_tokens: int = MEMORY_TOKENS,
    ) -> None:
        self.random = random.Random(seed)
        self.policy = policy
        self.kept = kept
        self.slow_s = slow_s
        self.clock = clocks.ManualClock()
        self.start_s = self.clock()
        self.events: list[tuple[float, int, typing.Callable[[], None]]] = []
        self.results: list[Result] = []
        self.kinds: tuple[prompt_kinds.Kind, ...] = ()
        self.order = itertools.count()
        self.prompts = 0
        self.fetches = 0
        self.engines = {f"e{number}": Engine() for number in range(ENGINES)}
        self.store_free_s = dict.fromkeys(STORES, 0.0)
        self.service = routes.Service(
            "engines",
            engine=routes.EngineTraits(
                (MODEL,), 64, memory_tokens, 163_840.0, 280_000.0
            ),
        )
        self.instances = [self.instance() for _ in range(INSTANCES)]

    def instance(self) -> choosers.Chooser:
        """Return a new instance."""
        endpoints = [
            discovery.Endpoint(
                name,
                "engines",
                f"10.1.0.1:{port}",
                "a",
                64,
                versions={MODEL: 1},
            )
            for port, name in enumerate(self.engines, 1)
        ]
        chooser = choosers.Chooser(
            lambda service: endpoints,
            lambda model: 0,
            engine_weights.EngineWeights(goals.GoalHistory(), self.clock),
            loads=loads.Loads(clock=self.clock),
            clock=self.clock,
        )
        chooser.kept_index.set_stores(
            [
                routes.StoreTraits(address, "a", 10**7, 140_000.0, 0.006, True)
                for address in STORES
            ]
        )
        return chooser

    def now_s(self) -> float:
        """Return the simulated time."""
        return self.clock() - self.start_s

    def at(self, time_s: float, action: typing.Callable[[], None]) -> None:
        """Schedule an action at a simulated time."""
        heapq.heappush(self.events, (time_s, next(self.order), action))

    def run(
        self, duration_s: float, kinds: tuple[prompt_kinds.Kind, ...]
    ) -> list[Result]:
        """Run the simulation; return the results in order of arrival."""
        self.kinds = kinds
        for kind in kinds:
            time_s = self.random.expovariate(kind.per_s)
            while time_s < duration_s:
                self.at(time_s, functools.partial(self.arrive, kind))
                time_s += self.random.expovariate(kind.per_s)
        self.confirm()
        if not self.policy.immediate:
            self.publish_periodically()
        while self.events and self.events[0][0] < duration_s + DRAIN_S:
            time_s, _order, action = heapq.heappop(self.events)
            self.clock.now_s = self.start_s + time_s
            action()
        return sorted(self.results, key=lambda result: result.at_s)

    # Instances.

    def arrive(self, kind: prompt_kinds.Kind) -> None:
        """Send a new prompt to a random instance."""
        chooser = self.random.choice(self.instances)
        session = f"{kind.name}-{self.random.randrange(SESSIONS)}"
        own = f"own-{next(self.order)}"
        shared = kind.shared_of(session)
        prompt = calls.Prompt(
            MODEL,
            shared + kind.own,
            20,
            (
                calls.PromptPart(session, shared),
                calls.PromptPart(own, kind.own),
            ),
        )
        request = requests.Request(
            calls.Call(own, "POST", "/", "h", (), prompt=prompt),
            dataclasses.replace(ROUTE, name=kind.name),
            self.service,
            None,
            kind.target_s,
        )
        chooser.record_arrival(request)
        self.place(chooser, kind, request, self.now_s())

    def place(
        self,
        chooser: choosers.Chooser,
        kind: prompt_kinds.Kind,
        request: requests.Request,
        at_s: float,
    ) -> None:
        """Send a prompt to an engine, or let it wait for capacity."""
        prompt = request.call.prompt
        placed = chooser.choose(request)
        if not isinstance(placed, requests.Placement):
            retry_s = self.now_s() + CAPACITY_POLL_S
            if retry_s <= at_s + self.policy.max_wait_s:
                self.at(
                    retry_s, lambda: self.place(chooser, kind, request, at_s)
                )
                return
            self.results.append(Result(kind, at_s, None, prompt.input_tokens))
            return
        added = chooser.record_start(placed, request.call)
        self.publish_change(chooser)
        sent_s = self.now_s()
        ready_s = self.prefill(placed, prompt)

        def first_event() -> None:
            took_s = ready_s - sent_s
            running = chooser.record_first_event(
                placed, request, added, took_s
            )
            self.publish_change(chooser)
            self.at(ready_s + kind.stream_s, lambda: ended(running))

        def ended(running: loads.Load) -> None:
            chooser.record_end(placed, request.call, running)
            self.publish_change(chooser)

        self.results.append(
            Result(kind, at_s, ready_s - at_s, prompt.input_tokens)
        )
        self.at(ready_s, first_event)

    def publish_change(self, chooser: choosers.Chooser) -> None:
        """Publish an instance's load, if changes are published at once."""
        if self.policy.immediate:
            self.publish(chooser, self.policy.delay_s)

    def publish(self, chooser: choosers.Chooser, after_s: float) -> None:
        """Deliver an instance's current load to the others after a delay."""
        name = f"i{self.instances.index(chooser)}"
        report = chooser.loads.provide()

        def arrive() -> None:
            for other in self.instances:
                if other is not chooser:
                    other.loads.consume(name, report)

        self.at(self.now_s() + after_s, arrive)

    def publish_periodically(self) -> None:
        """Publish the loads of all instances periodically."""
        for chooser in self.instances:
            self.publish(chooser, 0.0)
        self.at(self.now_s() + self.policy.delay_s, self.publish_periodically)

    def confirm(self) -> None:
        """Confirm the stores' content to all instances periodically."""
        for chooser in self.instances:
            for number, address in enumerate(STORES):
                if not self.now_s():
                    parts = self.parts_of(number) if self.kept else ()
                    content = store_index.Content(1, 0, parts)
                    chooser.kept_index.apply_content(address, content)
                chooser.kept_index.apply_changes(
                    address,
                    store_index.Changes(1, 1, False, ()),
                )
        self.at(self.now_s() + CONFIRM_S, self.confirm)

    def salt(self) -> str:
        """Return the salt of all parts."""
        return str(salts.Salt(MODEL, 1, ""))

    def parts_of(self, store: int) -> tuple[store_index.PartEvent, ...]:
        """Return the parts of a store: those of every second session."""
        return tuple(
            store_index.PartEvent(
                self.salt(),
                f"{kind.name}-{number}",
                kind.shared_of(f"{kind.name}-{number}"),
            )
            for kind in self.kinds
            for number in range(store, SESSIONS, len(STORES))
        )

    # Engines and stores.

    def prefill(
        self, placed: requests.Placement, prompt: calls.Prompt
    ) -> float:
        """Return the time at which an engine has prefilled a prompt."""
        self.prompts += 1
        engine = self.engines[placed.endpoint.id]
        now_s = self.now_s()
        ready_s, tokens = now_s, prompt.input_tokens
        if placed.sources():
            ready_s, tokens = self.fetch(placed, prompt, engine)
        start_s = max(ready_s, engine.prefilled_s)
        engine.prefilled_s = start_s + tokens * PREFILL_MS / 1000
        return engine.prefilled_s

    def fetch(
        self,
        placed: requests.Placement,
        prompt: calls.Prompt,
        engine: Engine,
    ) -> tuple[float, int]:
        """Return the end of a fetch, and the tokens left to prefill."""
        (store,) = placed.sources()
        self.fetches += 1
        start_s = max(self.now_s(), engine.fetched_s, self.store_free_s[store])
        if start_s - self.now_s() > MAX_QUEUE_S:
            return self.now_s() + MAX_QUEUE_S, prompt.input_tokens
        slow = self.is_slow(store, start_s)
        fetched = sum(part.tokens for part in prompt.shared)
        end_s = start_s + fetched * FETCH_MS * (4 if slow else 1) / 1000
        engine.fetched_s = self.store_free_s[store] = end_s
        return end_s, prompt.input_tokens - fetched

    def is_slow(self, store: str, time_s: float) -> bool:
        """Return whether a store's link is slow at a time."""
        first_s, end_s = self.slow_s
        return store == STORES[0] and first_s <= time_s < end_s
