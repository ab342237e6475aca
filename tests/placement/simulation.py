"""Plays a load on the real decisions, with modelled engines and stores.

Instances are real choosers with the time of the play as their clock.  What
one knows of the others' work is what was told and has arrived.  An engine
reads one prompt after another, and fetches one part after another; a store
gives to one engine at a time.
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

# A deployment whose engines read slowly and hold four long prompts each.
MODEL = "m"
INSTANCES = 6
ENGINES = 9
MEMORY_TOKENS = 42_000
# Of a token, without what an engine does beside it.
READ_MS = 0.033
STORES = ("10.0.0.1:1", "10.0.0.2:1")
# Of a token, from a store that is well.
FETCH_MS = 0.01
# A transfer that would have to wait longer is not begun.
LONGEST_QUEUE_S = 2.0
CONFIRM_S = 1.0
# After the last arrival, for answers under way.
LINGER_S = 10.0
SESSIONS = 400
# How often a prompt without room looks again.
ROOM_POLL_S = 0.05
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
    """When an engine has read and fetched all it was given."""

    read_s: float = 0.0
    fetched_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What one caller got.

    Attributes
    ----------
    kind
        What was asked.
    at_s
        When.
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
        """Whether the first event was there when it should be."""
        return self.first_s is not None and self.first_s <= self.kind.aim_s


@dataclasses.dataclass(frozen=True)
class Policy:
    """What a play varies.

    Attributes
    ----------
    told_after_s
        From a change of an instance's work to its arrival at the others, or
        the interval of telling it.
    at_once
        Whether each change is told, not each interval's last.
    hold_s
        How long a prompt waits for room.
    """

    told_after_s: float = 0.03
    at_once: bool = True
    hold_s: float = 0.0


class Play:
    """One play of a load.

    Parameters
    ----------
    seed
        Of the arrivals.
    policy
        What is varied.
    kept
        Whether the stores keep the sessions' parts.
    slow_s
        From when to when the first store is four times as slow.
    memory_tokens
        Of each engine.
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
        self.begin_s = self.clock()
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
        """Return one instance."""
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
        made = choosers.Chooser(
            lambda service: endpoints,
            lambda model: 0,
            engine_weights.EngineWeights(goals.GoalHistory(), self.clock),
            loads=loads.Loads(clock=self.clock),
            clock=self.clock,
        )
        made.kept_index.set_stores(
            [
                routes.StoreTraits(address, "a", 10**7, 140_000.0, 0.006, True)
                for address in STORES
            ]
        )
        return made

    def now_s(self) -> float:
        """Return the time of the play."""
        return self.clock() - self.begin_s

    def at(self, when_s: float, act: typing.Callable[[], None]) -> None:
        """Do something at a time of the play."""
        heapq.heappush(self.events, (when_s, next(self.order), act))

    def run(
        self, length_s: float, kinds: tuple[prompt_kinds.Kind, ...]
    ) -> list[Result]:
        """Play, and return what callers got."""
        self.kinds = kinds
        for kind in kinds:
            when_s = self.random.expovariate(kind.per_s)
            while when_s < length_s:
                self.at(when_s, functools.partial(self.arrive, kind))
                when_s += self.random.expovariate(kind.per_s)
        self.confirm()
        if not self.policy.at_once:
            self.tell_by_turns()
        while self.events and self.events[0][0] < length_s + LINGER_S:
            when_s, _order, act = heapq.heappop(self.events)
            self.clock.now_s = self.begin_s + when_s
            act()
        return sorted(self.results, key=lambda result: result.at_s)

    # What instances do.

    def arrive(self, kind: prompt_kinds.Kind) -> None:
        """Let a caller's prompt come to any instance."""
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
            kind.aim_s,
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
        """Send a prompt to an engine, or let it wait for room."""
        prompt = request.call.prompt
        placed = chooser.choose(request)
        if not isinstance(placed, requests.Placement):
            again_s = self.now_s() + ROOM_POLL_S
            if again_s <= at_s + self.policy.hold_s:
                self.at(
                    again_s, lambda: self.place(chooser, kind, request, at_s)
                )
                return
            self.results.append(Result(kind, at_s, None, prompt.input_tokens))
            return
        added = chooser.record_start(placed, request.call)
        self.changed(chooser)
        sent_s = self.now_s()
        ready_s = self.work(placed, prompt)

        def first_event() -> None:
            took_s = ready_s - sent_s
            begun = chooser.record_first_event(placed, request, added, took_s)
            self.changed(chooser)
            self.at(ready_s + kind.stream_s, lambda: ended(begun))

        def ended(begun: loads.Load) -> None:
            chooser.record_end(placed, request.call, begun)
            self.changed(chooser)

        self.results.append(
            Result(kind, at_s, ready_s - at_s, prompt.input_tokens)
        )
        self.at(ready_s, first_event)

    def changed(self, chooser: choosers.Chooser) -> None:
        """Tell the others an instance's work, if it is told at once."""
        if self.policy.at_once:
            self.tell(chooser, self.policy.told_after_s)

    def tell(self, chooser: choosers.Chooser, after_s: float) -> None:
        """Let an instance's work as it is now come to the others."""
        name = f"i{self.instances.index(chooser)}"
        told = chooser.loads.provide()

        def arrive() -> None:
            for other in self.instances:
                if other is not chooser:
                    other.loads.consume(name, told)

        self.at(self.now_s() + after_s, arrive)

    def tell_by_turns(self) -> None:
        """Tell the work of all instances, again and again."""
        for chooser in self.instances:
            self.tell(chooser, 0.0)
        self.at(self.now_s() + self.policy.told_after_s, self.tell_by_turns)

    def confirm(self) -> None:
        """Tell all instances that the stores keep what they keep."""
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
        """Return the text under which parts are cached."""
        return str(salts.Salt(MODEL, 1, ""))

    def parts_of(self, store: int) -> tuple[store_index.PartEvent, ...]:
        """Return what a store keeps: each second session's parts."""
        return tuple(
            store_index.PartEvent(
                self.salt(),
                f"{kind.name}-{number}",
                kind.shared_of(f"{kind.name}-{number}"),
            )
            for kind in self.kinds
            for number in range(store, SESSIONS, len(STORES))
        )

    # What engines and stores do.

    def work(self, placed: requests.Placement, prompt: calls.Prompt) -> float:
        """Return when an engine has read a prompt."""
        self.prompts += 1
        engine = self.engines[placed.endpoint.id]
        now_s = self.now_s()
        ready_s, tokens = now_s, prompt.input_tokens
        if placed.sources():
            ready_s, tokens = self.fetch(placed, prompt, engine)
        begin_s = max(ready_s, engine.read_s)
        engine.read_s = begin_s + tokens * READ_MS / 1000
        return engine.read_s

    def fetch(
        self,
        placed: requests.Placement,
        prompt: calls.Prompt,
        engine: Engine,
    ) -> tuple[float, int]:
        """Return when a fetch is over, and the tokens to be read then."""
        (store,) = placed.sources()
        self.fetches += 1
        begin_s = max(self.now_s(), engine.fetched_s, self.store_free_s[store])
        if begin_s - self.now_s() > LONGEST_QUEUE_S:
            return self.now_s() + LONGEST_QUEUE_S, prompt.input_tokens
        slow = self.is_slow(store, begin_s)
        fetched = sum(part.tokens for part in prompt.shared)
        end_s = begin_s + fetched * FETCH_MS * (4 if slow else 1) / 1000
        engine.fetched_s = self.store_free_s[store] = end_s
        return end_s, prompt.input_tokens - fetched

    def is_slow(self, store: str, when_s: float) -> bool:
        """Tell whether a store's link is slow at a time."""
        first_s, end_s = self.slow_s
        return store == STORES[0] and first_s <= when_s < end_s
