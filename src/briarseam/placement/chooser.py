"""Choosing an endpoint for a request."""

from __future__ import annotations

import dataclasses
import random
import typing

from briarseam import clocks
from briarseam import verdict
from briarseam.forwarding import calls
from briarseam.lookup import rank
from briarseam.placement import cost
from briarseam.placement import fetching
from briarseam.placement import kept as kept_module
from briarseam.placement import loads as load_module
from briarseam.placement import reading
from briarseam.placement import requests
from briarseam.placement import residency as residencies
from briarseam.placement import usual_sizes
from briarseam.weights import engine_weights

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

# An endpoint that could not be reached, or broke off, is left alone for
# this long if there are others: about as long as a restart takes.
AVOID_S = 1.0
# Up to so many engines all are compared for each prompt; of more, so many at
# a time.  Two choices already keep the busiest near the mean.
FEW_ENGINES = 8
CHOICES = 3
RETRY_AFTER_S = 0.5
TOO_LARGE = verdict.NotRun(
    verdict.Reason.OVERLOADED, "the prompt exceeds the engines' memory"
)


class Chooser:
    """Chooses endpoints; thread-safe.

    Parameters
    ----------
    endpoints
        Returns the endpoints of a service that take new work.
    required
        Returns the oldest weights of a model that may still be used.
    known_weights
        Which weights engines have, and which take none just now.
    endpoints_age_s
        Returns the time since the endpoints were read, in seconds.
    loads
        Work at endpoints.
    clock
        Seconds.
    """

    def __init__(
        self,
        endpoints: typing.Callable[[str], list[discovery.Endpoint]],
        required: typing.Callable[[str], int],
        known_weights: engine_weights.EngineWeights,
        endpoints_age_s: typing.Callable[[], float] = lambda: 0.0,
        loads: load_module.Loads | None = None,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.endpoints = endpoints
        self.required = required
        self.clock = clock
        self.loads = loads or load_module.Loads()
        self.residency = residencies.Residency()
        self.known_weights = known_weights
        self.endpoints_age_s = endpoints_age_s
        self.kept_index = kept_module.KeptIndex(clock)
        self.avoided: dict[str, float] = {}
        self.usual_sizes = usual_sizes.UsualSizes()
        self.readings: dict[str, reading.ReadingTime] = {}

    def record_arrival(self, request: requests.Request) -> None:
        """Take in what a request that has just arrived tells of its kind."""
        prompt = request.call.prompt
        if prompt is not None:
            tokens = requests.memory_of(prompt)
            self.usual_sizes.note(request.route.name, tokens)

    def choose(
        self, request: requests.Request
    ) -> requests.Placement | requests.NoCapacity | verdict.NotRun:
        """Return where a request goes, or why nowhere."""
        candidates = [
            endpoint
            for endpoint in self.endpoints(request.service.name)
            if endpoint.id not in request.tried
        ]
        if not candidates:
            return verdict.NotRun(
                verdict.Reason.NO_ENDPOINT,
                "no endpoint of the service takes work",
                RETRY_AFTER_S,
            )
        now_s = self.clock()
        good = [
            endpoint
            for endpoint in candidates
            if self.avoided.get(endpoint.id, 0.0) <= now_s
        ]
        prompt = request.call.prompt
        if prompt is None:
            return self.place_plain(request, good or candidates)
        if not requests.can_fit(request, prompt):
            return TOO_LARGE
        good = [
            endpoint
            for endpoint in good
            if not self.known_weights.is_changing(endpoint.id)
        ]
        return self.place_prompt(request, prompt, good or candidates)

    def place_plain(
        self, request: requests.Request, candidates: list[discovery.Endpoint]
    ) -> requests.Placement:
        """Place a request on the endpoint with the fewest per slot."""
        best = min(
            candidates,
            key=lambda endpoint: (
                self.loads.of(endpoint.id).requests / endpoint.slots,
                random.random(),
            ),
        )
        return requests.Placement(
            best,
            self.instruct(request, best),
            load=self.loads.of(best.id),
            endpoints_age_s=self.endpoints_age_s(),
        )

    def place_prompt(
        self,
        request: requests.Request,
        prompt: calls.Prompt,
        candidates: list[discovery.Endpoint],
    ) -> requests.Placement | requests.NoCapacity:
        """Place a prompt where it will be read soonest.

        Of many engines only a few are compared, the session's own, and the
        next ones while these are full or have old weights.  What is known
        of others' work is up to 1.5 s old: were all compared, all instances
        would send to the same idlest one until they know better.
        """
        key = requests.session_of(prompt)
        # By name, which all instances know alike also while only some of
        # them have heard of a restart.
        ranked = rank.ranked(
            key, candidates, lambda endpoint: endpoint.start.name
        )
        versions = {
            endpoint.id: self.version_of(endpoint, prompt.model)
            for endpoint in candidates
        }
        plans = {
            version: self.plan(request, prompt, version)
            for version in set(versions.values())
        }
        usual_tokens = self.usual_sizes.of(request.route.name)
        if usual_tokens is None:
            usual_tokens = requests.memory_of(prompt)
        ask = cost.PromptAsk(
            request=request,
            prompt=prompt,
            home=ranked[0].id,
            parts=tuple((part.id, part.tokens) for part in prompt.parts),
            usual_tokens=usual_tokens,
            most_fill=requests.fill_limit(usual_tokens),
            versions=versions,
            newest=max(versions.values()),
            required=self.required(prompt.model),
            plans=plans,
        )
        size = CHOICES if len(ranked) > FEW_ENGINES else len(ranked)
        best: cost.Candidate | None = None
        without_room: list[cost.Candidate] = []
        for first in range(0, len(ranked), size):
            for endpoint in ranked[first : first + size]:
                found = self.candidate(ask, endpoint)
                if not ask.may_go(found):
                    without_room.append(found)
                elif best is None or found.cost < best.cost:
                    best = found
            if best is not None and not best.is_old:
                break
        if best is None:
            return cost.full(ask, without_room)
        return self.placement(ask, best)

    def plan(
        self, request: requests.Request, prompt: calls.Prompt, version: int
    ) -> cost.VersionPlan:
        """Return what is the same on all engines with the same weights."""
        salt = requests.salt_of(request, version)
        if not version:
            return cost.VersionPlan(salt, kept_module.NOTHING)
        return cost.VersionPlan(
            salt, self.kept_index.plan(salt, prompt.shared)
        )

    def candidate(
        self, ask: cost.PromptAsk, endpoint: discovery.Endpoint
    ) -> cost.Candidate:
        """Return what it would mean to run a prompt on an engine."""
        load = self.loads.of(endpoint.id)
        salt = ask.plans[ask.versions[endpoint.id]].salt
        held = self.residency.held_tokens(endpoint.id, salt, ask.parts)
        return cost.candidate(ask, endpoint, load, held)

    def reading_time(self, request: requests.Request) -> reading.ReadingTime:
        """Return how fast the engines of a request's service read."""
        name = request.service.name
        found = self.readings.get(name)
        if found is None:
            # Two threads may both find none: the first one's stays.
            found = self.readings.setdefault(name, reading.ReadingTime())
        return found

    def placement(
        self, ask: cost.PromptAsk, chosen: cost.Candidate
    ) -> requests.Placement:
        """Return the placement of a prompt on the engine that was chosen."""
        stores = chosen.plan.stores
        version = ask.versions[chosen.endpoint.id]
        times = self.reading_time(ask.request)
        waiting_s = times.of(chosen.load.waiting_tokens)
        late_after_s = fetching.late_after_s(
            ask.request.aim_left_s,
            waiting_s + times.of(ask.prompt.input_tokens - chosen.held_tokens),
            waiting_s + times.of(chosen.fetched_tokens),
        )
        instructions = dataclasses.replace(
            self.instruct(ask.request, chosen.endpoint, version),
            fetch_from=(*stores.fetch_from, ""),
            save_to=(*stores.save_to, ""),
        )
        return requests.Placement(
            chosen.endpoint,
            instructions,
            chosen.missing_tokens,
            chosen.held_tokens,
            chosen.fetched_tokens,
            late_after_s,
            chosen.load,
            self.endpoints_age_s(),
        )

    def version_of(self, endpoint: discovery.Endpoint, model: str) -> int:
        """Return an engine's weights, as far as known."""
        announced = endpoint.versions.get(model, 0)
        return self.known_weights.version(endpoint.id, model, announced)

    def instruct(
        self,
        request: requests.Request,
        endpoint: discovery.Endpoint,
        version: int = 0,
    ) -> calls.Instructions:
        """Return what to tell an endpoint about a request."""
        organisation = request.organisation
        priority = request.route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return calls.Instructions(
            endpoint=endpoint.id,
            organisation=organisation.name if organisation else "",
            priority=min(priority, 9),
            salt=requests.salt_of(request, version),
            version=version or None,
            last_event_id=request.call.last_event_id,
        )

    def record_start(
        self, placement: requests.Placement, call: calls.Call
    ) -> load_module.Load:
        """Count a request that is about to be sent; return what it adds."""
        prompt = call.prompt
        if prompt is None:
            added = load_module.Load(requests=1)
        else:
            self.kept_index.record_saves(
                placement.instructions.salt,
                prompt.shared,
                placement.instructions.save_to,
            )
            self.kept_index.health.note_begun(
                placement.sources(), call.id, placement.fetch_late_s
            )
            added = load_module.Load(
                requests=1,
                waiting_tokens=placement.missing_tokens,
                memory_tokens=requests.memory_of(prompt),
            )
        self.loads.add(placement.endpoint.id, added)
        return added

    def record_first_event(
        self,
        placement: requests.Placement,
        request: requests.Request,
        added: load_module.Load,
        took_s: float,
    ) -> load_module.Load:
        """Note that an engine has read a prompt; return what it adds now."""
        begun = dataclasses.replace(added, waiting_tokens=0, running=1)
        self.loads.add(placement.endpoint.id, begun.minus(added))
        self.learn(placement, request, took_s)
        prompt = request.call.prompt
        if prompt is not None and request.service.engine is not None:
            self.residency.record(
                placement.endpoint.id,
                placement.instructions.salt,
                [(part.id, part.tokens) for part in prompt.parts],
                request.service.engine.cache_tokens,
            )
        return begun

    def learn(
        self,
        placement: requests.Placement,
        request: requests.Request,
        took_s: float,
    ) -> None:
        """Take in what the time to a first event tells."""
        times = self.reading_time(request)
        tokens = placement.load.waiting_tokens + placement.missing_tokens
        sources = placement.sources()
        if not sources:
            times.note(tokens, took_s)
            return
        # What it had to read comes after the fetch.
        in_time = took_s <= placement.fetch_late_s + times.of(tokens)
        self.kept_index.health.note_over(sources, request.call.id)
        self.kept_index.health.note_first_event(sources, in_time)

    def record_end(
        self,
        placement: requests.Placement,
        call: calls.Call,
        added: load_module.Load,
    ) -> None:
        """Take back what a request added that has left its endpoint."""
        self.kept_index.health.note_over(placement.sources(), call.id)
        self.loads.take(placement.endpoint.id, added)

    def avoid(self, endpoint: str) -> None:
        """Leave an endpoint alone for a while."""
        self.avoided[endpoint] = self.clock() + AVOID_S

    def forget_old(self, endpoints: typing.Collection[str]) -> None:
        """Forget all endpoints but these, and what counts no longer."""
        now_s = self.clock()
        self.residency.keep_only(endpoints)
        self.kept_index.forget_old()
        for endpoint, until_s in list(self.avoided.items()):
            if until_s <= now_s:
                self.avoided.pop(endpoint, None)
