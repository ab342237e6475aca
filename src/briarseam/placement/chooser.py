"""Choosing an endpoint for a request."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import clocks
from briarseam import verdict
from briarseam.discovery import starts
from briarseam.eligibility import service as eligibilities
from briarseam.forwarding import calls
from briarseam.placement import avoidance
from briarseam.placement import cache_sharing
from briarseam.placement import cost
from briarseam.placement import endpoint_bytes
from briarseam.placement import fetch_leases
from briarseam.placement import kept as kept_module
from briarseam.placement import loads as load_module
from briarseam.placement import mean_sizes
from briarseam.placement import plain
from briarseam.placement import prompt_chooser
from briarseam.placement import requests
from briarseam.placement import residency as residencies
from briarseam.prediction import predictor as predictors
from briarseam.reachability import tracker
from briarseam.weights import engine_weights

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

RETRY_AFTER_S = 0.5
TOO_LARGE = verdict.NotRun(
    verdict.Reason.OVERLOADED, "the prompt exceeds the engines' memory"
)
# An endpoint that has crashed is back after some seconds.
SOFTWARE_RETRY_S = 1.0
NO_SOFTWARE = verdict.NotRun(
    verdict.Reason.NO_ENDPOINT,
    "no endpoint runs the software that began the stream",
    SOFTWARE_RETRY_S,
)
Choice = (
    requests.Placement
    | requests.Unplaced
    | requests.Unreachable
    | verdict.NotRun
)


SoftwareOf = typing.Callable[["discovery.Endpoint"], str | None]


def announced_software(endpoint: discovery.Endpoint) -> str | None:
    """Return the software version in an endpoint's entry."""
    return endpoint.software


class Chooser:
    """Chooses the endpoint for each request; thread-safe.

    Parameters
    ----------
    endpoints
        Returns the endpoints of a service that accept new requests.
    required
        Returns the oldest weight version of a model that may still be used.
    known_weights
        Weight versions of engines, and engines that are changing weights.
    endpoints_age_s
        Returns the time since the list of endpoints was read, in seconds.
    loads
        Load of endpoints.
    clock
        Seconds.
    eligibility
        Excludes endpoints by evacuations, cold starts and regions; unless
        given, none is excluded.
    reachability
        Endpoints to which connections fail; unless given, none is known.
    software_of
        Returns the software version of an endpoint; ``None`` if not sure.
    predict
        Whether engines are compared by the expected number of late answers.
    sharing
        Who uses whose cached parts of prompts; unless given, all do.

    Attributes
    ----------
    bodies
        Limits the bodies in flight to one endpoint; no limit at first.
    """

    def __init__(
        self,
        endpoints: typing.Callable[[str], list[discovery.Endpoint]],
        required: typing.Callable[[str], int],
        known_weights: engine_weights.EngineWeights,
        endpoints_age_s: typing.Callable[[], float] = lambda: 0.0,
        loads: load_module.Loads | None = None,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        eligibility: eligibilities.Eligibility | None = None,
        reachability: tracker.Reachability | None = None,
        software_of: SoftwareOf = announced_software,
        predict: bool = False,
        sharing: cache_sharing.CacheSharing | None = None,
        end_of_fetch: fetch_leases.EndOfFetch = fetch_leases.may_always_fetch,
    ) -> None:
        self.sharing = sharing or cache_sharing.CacheSharing()
        self.software_of = software_of
        self.endpoints = endpoints
        self.reachability = reachability or tracker.Reachability(
            endpoints, clock
        )
        self.eligibility = eligibility or eligibilities.unrestricted()
        self.required = required
        self.clock = clock
        self.loads = loads or load_module.Loads()
        self.residency = residencies.Residency()
        self.known_weights = known_weights
        self.endpoints_age_s = endpoints_age_s
        self.kept_index = kept_module.KeptIndex(clock)
        self.avoided = avoidance.Avoided(clock)
        self.bodies = endpoint_bytes.EndpointBytes()
        self.mean_sizes = mean_sizes.MeanSizes()
        self.predictor = predictors.Predictor(clock)
        self.plain = plain.PlainChooser(self.loads)
        self.prompts = prompt_chooser.PromptChooser(
            self.loads,
            self.known_weights,
            self.required,
            self.kept_index,
            self.residency,
            self.mean_sizes,
            self.eligibility.region_map,
            self.predictor,
            self.sharing,
            end_of_fetch,
        )
        self.compare_by_prediction(predict)

    def compare_by_prediction(self, predict: bool) -> None:
        """Set whether engines are compared by predicted late answers."""
        self.prompts.costs = (
            cost.LatenessCosts(self.predictor)
            if predict
            else cost.TokenCosts()
        )

    def record_arrival(self, request: requests.Request) -> None:
        """Update the mean prompt size of a new request's route."""
        prompt = request.call.prompt
        if prompt is not None:
            tokens = requests.memory_of(prompt)
            self.mean_sizes.record(request.route.name, tokens)

    def choose(self, request: requests.Request) -> Choice:
        """Return the placement of a request, or why it has none."""
        known = [
            endpoint
            for endpoint in self.endpoints(request.service.name)
            if self.may_continue(endpoint, request)
        ]
        if not known and request.software is not None:
            return NO_SOFTWARE
        candidates = [
            endpoint for endpoint in known if endpoint.id not in request.tried
        ]
        if known and not self.reachability.reachable(candidates or known):
            # Before limits: their parts belong to the instance that sends.
            return requests.Unreachable(len(candidates or known))
        if not candidates:
            return verdict.NotRun(
                verdict.Reason.NO_ENDPOINT,
                "no endpoint of the service accepts requests",
                RETRY_AFTER_S,
            )
        eligible = self.eligibility.select(
            candidates, request.service, request.regions
        )
        if isinstance(eligible, verdict.NotRun):
            return eligible
        warm = self.reachability.reachable(eligible.warm)
        cold = self.reachability.reachable(eligible.cold)
        count = len(eligible.warm) + len(eligible.cold)
        if count and not (warm or cold):
            return requests.Unreachable(count)
        placement = self.choose_acquired(request, warm)
        if cold and isinstance(placement, requests.Unplaced):
            # Cold endpoints are slow and take few requests, so they are used
            # only while no warm one has capacity.
            return self.choose_acquired(request, cold)
        return placement

    def may_continue(
        self, endpoint: discovery.Endpoint, request: requests.Request
    ) -> bool:
        """Return whether an endpoint's software may answer a request.

        One that failed of late may have started again under its name with
        other software.
        """
        if request.software is None:
            return True
        if self.software_of(endpoint) != request.software:
            return False
        has_birth = endpoint.start.born_ms != starts.UNKNOWN_MS
        return not has_birth or endpoint.id not in self.avoided

    def exclusion(self, request: requests.Request) -> verdict.NotRun | None:
        """Return why no endpoint may get a request now, tried ones included.

        ``None`` if one may.
        """
        endpoints = self.endpoints(request.service.name)
        if not endpoints:
            return None
        eligible = self.eligibility.select(
            endpoints, request.service, request.regions
        )
        return eligible if isinstance(eligible, verdict.NotRun) else None

    def choose_acquired(
        self, request: requests.Request, candidates: list[discovery.Endpoint]
    ) -> Choice:
        """Return a placement on an endpoint whose limits allow a send now."""
        size = request.body_bytes
        remaining = self.bodies.with_room(candidates, size)
        if candidates and not remaining:
            share = self.bodies.share()
            return requests.BodiesAtLimit(len(candidates), size, share)
        while remaining:
            placement = self.choose_among(request, remaining)
            if not isinstance(placement, requests.Placement):
                return placement
            chosen = placement.endpoint
            reservation = self.bodies.try_reserve(chosen.id, size)
            if reservation is not None:
                if self.eligibility.try_acquire(chosen, request.service):
                    return dataclasses.replace(
                        placement, reservation=reservation
                    )
                reservation.release()
            # Other requests have used up the limit since it was checked.
            remaining = [one for one in remaining if one.id != chosen.id]
        return requests.AtLimit(len(candidates))

    def choose_among(
        self, request: requests.Request, candidates: list[discovery.Endpoint]
    ) -> Choice:
        """Return the placement of a request on one of some endpoints."""
        preferred = [
            endpoint
            for endpoint in candidates
            if endpoint.id not in self.avoided
        ]
        prompt = request.call.prompt
        if prompt is None:
            return self.place_without_prompt(request, preferred or candidates)
        if not requests.can_fit(request, prompt):
            return TOO_LARGE
        preferred = [
            endpoint
            for endpoint in preferred
            if not self.known_weights.is_changing(endpoint.id)
        ]
        placed = self.prompts.choose(request, preferred or candidates)
        if isinstance(placed, requests.NoCapacity):
            return placed
        return dataclasses.replace(
            placed, endpoints_age_s=self.endpoints_age_s()
        )

    def place_without_prompt(
        self, request: requests.Request, candidates: list[discovery.Endpoint]
    ) -> requests.Placement | requests.QueueFull:
        """Place a request without a prompt on one of some endpoints."""
        chosen = self.plain.choose(request, candidates)
        if isinstance(chosen, requests.QueueFull):
            return chosen
        return requests.Placement(
            chosen,
            requests.instructions_for(request, chosen),
            load=self.loads.of(chosen.id),
            endpoints_age_s=self.endpoints_age_s(),
        )

    def is_current(
        self, placement: requests.Placement, request: requests.Request
    ) -> bool:
        """Return whether a prompt may still be sent as it was placed.

        An organisation that has become isolated since may have computed the
        parts that the placement names.
        """
        instructions = placement.instructions
        if not instructions.salt:
            return True
        version = instructions.version or 0
        return instructions.salt == self.prompts.salt(request, version)

    def release(
        self, placement: requests.Placement, rejected: bool = False
    ) -> None:
        """Record that a request is decided, or was not sent.

        Parameters
        ----------
        placement
            Its placement.
        rejected
            Whether the endpoint has rejected it.
        """
        self.eligibility.rejection_limits.release(
            placement.endpoint.id, rejected
        )
        reservation = placement.reservation
        if reservation is not None and not reservation.sent:
            reservation.release()

    def record_start(
        self, placement: requests.Placement, call: calls.Call
    ) -> load_module.Load:
        """Count a request that is about to be sent; return its load."""
        if placement.reservation is not None:
            placement.reservation.sent = True
        prompt = call.prompt
        if prompt is None:
            added = load_module.Load(requests=1)
        else:
            self.kept_index.record_saves(
                placement.instructions.salt,
                prompt.shared,
                placement.instructions.save_to,
            )
            self.kept_index.health.record_start(
                placement.sources(), call.id, placement.fetch_late_s
            )
            added = load_module.Load(
                requests=1,
                waiting_tokens=placement.prefill_tokens,
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
        """Record that an endpoint began to answer; return the new load."""
        running = dataclasses.replace(added, waiting_tokens=0, running=1)
        self.loads.add(placement.endpoint.id, running.minus(added))
        self.update_estimates(placement, request, took_s)
        prompt = request.call.prompt
        if prompt is not None and request.service.engine is not None:
            self.residency.record(
                placement.endpoint.id,
                placement.instructions.salt,
                [(part.id, part.tokens) for part in prompt.parts],
                request.service.engine.cache_tokens,
            )
        return running

    def update_estimates(
        self,
        placement: requests.Placement,
        request: requests.Request,
        took_s: float,
    ) -> None:
        """Update the estimates with the time to a first event."""
        self.record_speed(placement, request, took_s)
        sources = placement.sources()
        if not sources:
            return
        times = self.predictor.rates.prefill_times.of(request.service.name)
        # The engine prefills the remaining tokens after the fetch.
        tokens = placement.tokens_ahead()
        in_time = took_s <= placement.fetch_late_s + times.seconds(tokens)
        self.kept_index.health.record_end(sources, request.call.id)
        self.kept_index.health.record_first_event(sources, in_time)

    def record_speed(
        self,
        placement: requests.Placement,
        request: requests.Request,
        took_s: float,
    ) -> None:
        """Update the estimated speeds with the time to a first event."""
        fetched = bool(placement.sources())
        tokens = placement.tokens_ahead()
        if placement.prediction is None:
            if not fetched:
                times = self.predictor.rates.prefill_times
                times.of(request.service.name).record(tokens, took_s)
            return
        if took_s > request.route.timeout_s:
            # The instance was frozen meanwhile: no caller waits this long.
            return
        self.predictor.record(
            request.service.name,
            placement.endpoint.id,
            tokens,
            placement.prediction.first_event_s,
            took_s,
            fetched,
        )

    def record_answer(
        self,
        placement: requests.Placement,
        request: requests.Request,
        took_s: float,
    ) -> None:
        """Update the estimates with the time to a complete answer."""
        if request.call.prompt is None:
            self.plain.record_answer(placement, request, took_s)

    def record_end(
        self,
        placement: requests.Placement,
        call: calls.Call,
        added: load_module.Load,
    ) -> None:
        """Remove the load of a request that has ended."""
        if placement.reservation is not None:
            placement.reservation.release()
        self.kept_index.health.record_end(placement.sources(), call.id)
        self.loads.subtract(placement.endpoint.id, added)

    def forget_old(self, endpoints: typing.Collection[str]) -> None:
        """Drop all endpoints but these, and expired entries."""
        self.residency.keep_only(endpoints)
        self.kept_index.forget_old()
        self.avoided.forget_old(endpoints)
        self.reachability.keep_only(endpoints)
        self.predictor.rates.keep_only(endpoints)
