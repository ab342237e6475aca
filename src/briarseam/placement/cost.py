"""What a prompt costs on an engine, and whether it may go there."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.placement import requests

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.forwarding import calls
    from briarseam.placement import kept as kept_module
    from briarseam.placement import loads as load_module

# Reading a prompt while a stream runs takes about as much longer as reading
# this many tokens more: one step with a slot more takes 0.1 ms of the 9 ms
# that a piece of 1,024 tokens takes, over the ten steps that a prompt needs.
TOKENS_PER_STREAM = 100
# A prompt that no endpoint holds goes to the endpoint that ranks first for
# its session unless that has this much more to read than another: about the
# shared part of a large prompt.  Not varied in a measurement.
HOME_BONUS_TOKENS = 6000
# An answer that begins on older weights than others have loses part of its
# worth, so that engines with newer weights are preferred, but not by so much
# that they are swamped.  Not varied in a measurement.
OLD_WEIGHTS_TOKENS = 4000
# Above this fill another engine is preferred, by so many tokens for all of
# the memory.
EASY_FILL = 0.6
FILL_TOKENS = 40_000
# An engine runs as many requests at once as it has slots.  One more waits
# for one to end: at 32 slots and some two seconds a run about 70 ms, in
# which 157 tokens a ms are read elsewhere.
TOKENS_PER_WAITING = 10_000
# Fetching a token's KV cache takes about a tenth of the time of reading it,
# by the links' speed and the size of a token: 158 MB for 8,610 tokens take
# 7 ms at 170 Gbit/s, and reading them 77 ms.
FETCH_COST = 0.1


@dataclasses.dataclass(frozen=True)
class VersionPlan:
    """What is the same on all engines with the same weights.

    Attributes
    ----------
    salt
        Text under which the prompt's parts are cached.
    stores
        Where they come from and go to.
    """

    salt: str
    stores: kept_module.Plan


@dataclasses.dataclass(frozen=True)
class PromptAsk:
    """A prompt that is to be placed.

    Attributes
    ----------
    request, prompt
        The prompt.
    home
        Id of the engine that ranks first for its session.
    parts
        Ids and lengths of its parts.
    usual_tokens, most_fill
        What a usual prompt of its kind takes of an engine's memory, and how
        full the engine may get with that.  Were room judged by a prompt's
        own size, the next smaller one would take what is freed before a
        large one finds enough.
    versions
        Weights of the engines by their ids.
    newest, required
        The newest of these, and the oldest that may still be used.
    plans
        By version of weights.
    """

    request: requests.Request
    prompt: calls.Prompt
    home: str
    parts: tuple[tuple[str, int], ...]
    usual_tokens: float
    most_fill: float
    versions: dict[str, int]
    newest: int
    required: int
    plans: dict[int, VersionPlan]

    def may_go(self, found: Candidate) -> bool:
        """Tell whether it may run on an engine at all."""
        version = self.versions[found.endpoint.id]
        return self.has_room(found) and version >= self.required

    def has_room(self, found: Candidate) -> bool:
        """Tell whether an engine has memory and a free slot.

        An answer that was begun and is broken off is worse than a late one,
        so its rest is made wherever it can be.
        """
        if self.request.begun:
            return True
        has_memory = found.usual_fill <= self.most_fill
        return has_memory and found.free_slots > 0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An engine that could take a prompt.

    Attributes
    ----------
    endpoint
        The engine.
    plan
        Of its weights.
    load
        Work known there.
    missing_tokens, held_tokens, fetched_tokens
        As in :class:`briarseam.placement.requests.Placement`.
    usual_fill
        How full its memory would be with a usual prompt of its kind.
    is_old
        Whether others have newer weights.
    cost
        When the prompt would be read, in tokens to be read until then.
    """

    endpoint: discovery.Endpoint
    plan: VersionPlan
    load: load_module.Load
    missing_tokens: int
    held_tokens: int
    fetched_tokens: int
    usual_fill: float
    is_old: bool
    cost: float

    @property
    def free_slots(self) -> int:
        """Slots that nobody is known to have taken."""
        return max(0, self.endpoint.slots - self.load.requests)


def candidate(
    ask: PromptAsk,
    endpoint: discovery.Endpoint,
    load: load_module.Load,
    held: int,
) -> Candidate:
    """Return what it would mean to run a prompt on an engine.

    Parameters
    ----------
    ask
        The prompt.
    endpoint
        The engine.
    load
        Work known there.
    held
        Tokens of the prompt that it holds.
    """
    version = ask.versions[endpoint.id]
    plan = ask.plans[version]
    fetched = max(plan.stores.fetched_tokens - held, 0)
    missing = max(ask.prompt.input_tokens - held - fetched, 0)
    missing += int(fetched * FETCH_COST)
    own_tokens = requests.memory_of(ask.prompt)
    fill = requests.fill_of(load, ask.request, own_tokens)
    usual_fill = requests.fill_of(load, ask.request, ask.usual_tokens)
    waiting = max(0, load.requests + 1 - endpoint.slots)
    is_old = version < ask.newest
    cost = float(load.waiting_tokens + missing)
    cost += load.running * TOKENS_PER_STREAM
    cost += max(0.0, fill - EASY_FILL) * FILL_TOKENS
    cost += waiting * TOKENS_PER_WAITING
    cost += OLD_WEIGHTS_TOKENS if is_old else 0
    cost -= HOME_BONUS_TOKENS if endpoint.id == ask.home else 0
    return Candidate(
        endpoint,
        plan,
        load,
        missing,
        held,
        fetched,
        usual_fill,
        is_old,
        cost,
    )


def full(ask: PromptAsk, engines: list[Candidate]) -> requests.NoCapacity:
    """Return why none of the engines that were looked at may take a prompt."""
    return requests.NoCapacity(
        least_fill=min(engine.usual_fill for engine in engines),
        most_fill=ask.most_fill,
        engines=len(engines),
        free_slots=sum(engine.free_slots for engine in engines),
        outdated=sum(
            ask.versions[engine.endpoint.id] < ask.required
            for engine in engines
        ),
    )
