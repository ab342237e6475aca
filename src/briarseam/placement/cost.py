"""Cost of a prompt on an engine, and whether the engine may take it."""

from __future__ import annotations

import dataclasses
import math
import typing

from briarseam.placement import requests

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.forwarding import calls
    from briarseam.placement import kept as kept_module
    from briarseam.placement import loads as load_module
    from briarseam.prediction import forecast
    from briarseam.prediction import predictor as predictors

# Each running stream delays a prefill by about this many tokens: a step with
# one more slot takes 0.1 ms more, a piece of 1,024 tokens takes 9 ms, and a
# prompt needs ten steps.
STREAM_COST_TOKENS = 100
# Advantage of the engine that ranks first for a session, so that a prompt
# that no engine holds goes there: about the shared part of a large prompt.
HOME_BONUS_TOKENS = 6000
# Cost of weights that are older than those of other engines.  An answer on
# them is worth less, but engines with newer weights must not be swamped.
OLD_WEIGHTS_COST_TOKENS = 4000
# An engine whose memory is filled beyond this share costs FILL_COST_TOKENS
# times the excess, so that emptier engines are preferred.
FILL_THRESHOLD = 0.6
FILL_COST_TOKENS = 40_000
# Cost of a request beyond the engine's slots, which waits for another one to
# end: about 70 ms at 32 slots and 2 s a run, in which another engine
# prefills 157 tokens per ms.
QUEUED_COST_TOKENS = 10_000
# Time to fetch a token's KV cache, relative to its prefill: 158 MB for 8,610
# tokens take 7 ms at 170 Gbit/s, and their prefill takes 77 ms.
FETCH_COST_FACTOR = 0.1


@dataclasses.dataclass(frozen=True)
class TokenCosts:
    """Engines are compared by tokens, with the same speed for all."""


@dataclasses.dataclass(frozen=True)
class LatenessCosts:
    """Engines are compared by the expected number of late answers.

    Attributes
    ----------
    predictor
        Learned speeds and spreads.
    """

    predictor: predictors.Predictor


Costs = TokenCosts | LatenessCosts


@dataclasses.dataclass(frozen=True)
class VersionPlan:
    """Plan of a prompt for all engines with the same weight version.

    Attributes
    ----------
    salt
        Salt of the prompt's cached parts.
    stores
        Stores that the parts are fetched from and saved to.
    fetch_until_ms
        Time by the endpoints' clock at which the fetch has to end.
    """

    salt: str
    stores: kept_module.TransferPlan
    fetch_until_ms: float = math.inf


@dataclasses.dataclass(frozen=True)
class PlacementQuery:
    """A prompt to be placed, and what is needed to compare engines.

    Attributes
    ----------
    request, prompt
        The prompt.
    home
        Id of the engine that ranks first for its session.
    parts
        Ids and lengths of its parts.
    typical_tokens, max_fill
        Memory that a typical prompt of its route takes, and the share of an
        engine's memory that may be in use with it.  If a prompt's own size
        were compared instead, smaller ones would take freed memory before
        there is enough for a large one.
    versions
        Weight versions by engine id.
    newest, required
        The newest of these, and the oldest that may still be used.
    plans
        Plans by weight version.
    """

    request: requests.Request
    prompt: calls.Prompt
    home: str
    parts: tuple[tuple[str, int], ...]
    typical_tokens: float
    max_fill: float
    versions: dict[str, int]
    newest: int
    required: int
    plans: dict[int, VersionPlan]

    def allows(self, candidate: Candidate) -> bool:
        """Return whether the prompt may run on an engine at all."""
        version = self.versions[candidate.endpoint.id]
        return self.has_room(candidate) and version >= self.required

    def has_room(self, candidate: Candidate) -> bool:
        """Return whether an engine has memory and a free slot.

        A broken-off answer is worse than a late one, so a partly answered
        request is always accepted.
        """
        if self.request.partly_answered:
            return True
        has_memory = candidate.typical_fill <= self.max_fill
        return has_memory and candidate.free_slots > 0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An engine that could take a prompt.

    Attributes
    ----------
    endpoint
        The engine.
    plan
        Plan for its weight version.
    load
        Its known load.
    prefill_tokens, held_tokens, fetched_tokens
        As in :class:`briarseam.placement.requests.Placement`.
    typical_fill
        Share of its memory in use, with a typical prompt of the route.
    has_old_weights
        Whether other engines have newer weights.
    cost
        Time until the prompt would be prefilled, as a number of tokens.
    prediction
        What is predicted for the engine; ``None`` for `TokenCosts`.
    """

    endpoint: discovery.Endpoint
    plan: VersionPlan
    load: load_module.Load
    prefill_tokens: int
    held_tokens: int
    fetched_tokens: int
    typical_fill: float
    has_old_weights: bool
    cost: float
    prediction: forecast.Prediction | None = None

    @property
    def free_slots(self) -> int:
        """Number of slots not known to be in use."""
        return max(0, self.endpoint.slots - self.load.requests)


def candidate(
    query: PlacementQuery,
    endpoint: discovery.Endpoint,
    load: load_module.Load,
    held: int,
) -> Candidate:
    """Return a prompt's cost and fit on an engine.

    Parameters
    ----------
    query
        The prompt.
    endpoint
        The engine.
    load
        Its known load.
    held
        Tokens of the prompt in its memory.
    """
    version = query.versions[endpoint.id]
    plan = query.plans[version]
    fetched = fetched_tokens(plan, held)
    prefill = prefill_tokens(query.prompt, held, fetched)
    own_tokens = requests.memory_of(query.prompt)
    fill = requests.fill_of(load, query.request, own_tokens)
    typical_fill = requests.fill_of(load, query.request, query.typical_tokens)
    queued = max(0, load.requests + 1 - endpoint.slots)
    has_old_weights = version < query.newest
    cost = float(load.waiting_tokens + prefill)
    cost += load.running * STREAM_COST_TOKENS
    cost += max(0.0, fill - FILL_THRESHOLD) * FILL_COST_TOKENS
    cost += queued * QUEUED_COST_TOKENS
    cost += OLD_WEIGHTS_COST_TOKENS if has_old_weights else 0
    cost -= HOME_BONUS_TOKENS if endpoint.id == query.home else 0
    return Candidate(
        endpoint,
        plan,
        load,
        prefill,
        held,
        fetched,
        typical_fill,
        has_old_weights,
        cost,
    )


def fetched_tokens(plan: VersionPlan, held: int) -> int:
    """Return the tokens that an engine would fetch from stores."""
    return max(plan.stores.fetched_tokens - held, 0)


def prefill_tokens(prompt: calls.Prompt, held: int, fetched: int) -> int:
    """Return the tokens that an engine would prefill.

    Those that it fetches are counted at `FETCH_COST_FACTOR`.
    """
    prefill = max(prompt.input_tokens - held - fetched, 0)
    return prefill + int(fetched * FETCH_COST_FACTOR)


def no_capacity(
    query: PlacementQuery, engines: list[Candidate]
) -> requests.NoCapacity:
    """Return why none of the compared engines may take a prompt."""
    return requests.NoCapacity(
        min_fill=min(engine.typical_fill for engine in engines),
        max_fill=query.max_fill,
        engines=len(engines),
        free_slots=sum(engine.free_slots for engine in engines),
        outdated=sum(
            query.versions[engine.endpoint.id] < query.required
            for engine in engines
        ),
        soonest=soonest(query, engines),
    )


def soonest(query: PlacementQuery, engines: list[Candidate]) -> str:
    """Return the id of the engine that has room first; empty for none."""
    usable = [
        engine
        for engine in engines
        if query.versions[engine.endpoint.id] >= query.required
    ]
    if not usable:
        return ""
    return min(usable, key=lambda engine: engine.typical_fill).endpoint.id
