"""Choosing among engines for a prompt."""

from __future__ import annotations

import dataclasses
import math
import typing

from briarseam.lookup import rank
from briarseam.placement import cost
from briarseam.placement import fetch_leases
from briarseam.placement import fetching
from briarseam.placement import kept as kept_module
from briarseam.placement import late_costs
from briarseam.placement import requests
from briarseam.placement import salts

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.eligibility import regions
    from briarseam.placement import cache_sharing
    from briarseam.placement import loads as load_module
    from briarseam.placement import mean_sizes
    from briarseam.placement import residency as residencies
    from briarseam.prediction import predictor as predictors
    from briarseam.weights import engine_weights

# Up to COMPARE_ALL_MAX engines are all compared for each prompt; more are
# compared in groups of GROUP_SIZE.  Two choices already keep the load of the
# busiest engine near the mean.
COMPARE_ALL_MAX = 8
GROUP_SIZE = 3
# Up to SAMPLE_ALL_MAX engines are all compared by expected late answers, of
# more SAMPLE_SIZE at a time.  If all were compared, the prompts that all
# instances place within the time of a message would go to the same few.
SAMPLE_ALL_MAX = 16
SAMPLE_SIZE = 8


class PromptChooser:
    """Chooses the engine for each prompt; thread-safe.

    Parameters
    ----------
    loads
        Load of endpoints.
    known_weights
        Weight versions of engines.
    required
        Returns the oldest weight version of a model that may still be used.
    kept_index
        Parts of prompts that stores keep.
    residency
        Parts of prompts that engines hold.
    sizes
        Mean sizes of prompts by route.
    region_map
        Regions of stores.
    predictor
        Learned speeds.
    sharing
        Who uses whose cached parts.
    end_of_fetch
        Returns when a fetch of a model's weight version must have ended;
        ``None`` if none may begin.

    Attributes
    ----------
    costs
        How engines are compared.
    """

    def __init__(
        self,
        loads: load_module.Loads,
        known_weights: engine_weights.EngineWeights,
        required: typing.Callable[[str], int],
        kept_index: kept_module.KeptIndex,
        residency: residencies.Residency,
        sizes: mean_sizes.MeanSizes,
        region_map: regions.RegionMap,
        predictor: predictors.Predictor,
        sharing: cache_sharing.CacheSharing,
        end_of_fetch: fetch_leases.EndOfFetch = fetch_leases.may_always_fetch,
    ) -> None:
        self.loads = loads
        self.known_weights = known_weights
        self.required = required
        self.kept_index = kept_index
        self.residency = residency
        self.sizes = sizes
        self.region_map = region_map
        self.predictor = predictor
        self.sharing = sharing
        self.end_of_fetch = end_of_fetch
        self.costs: cost.Costs = cost.TokenCosts()

    def choose(
        self,
        request: requests.Request,
        candidates: list[discovery.Endpoint],
    ) -> requests.Placement | requests.NoCapacity:
        """Place a prompt where it will be answered best."""
        key = requests.session_of(requests.prompt_of(request))
        # Ranks by name, on which all instances agree even while only some of
        # them have learned of an engine's restart.
        ranked = rank.ranked(
            key, candidates, lambda endpoint: endpoint.start.name
        )
        query = self.query(request, ranked)
        match self.costs:
            case cost.TokenCosts():
                best = self.best_of_groups(query, ranked)
            case cost.LatenessCosts():
                best = self.best_of_samples(query, ranked)
        if isinstance(best, requests.NoCapacity):
            return best
        return self.placement(query, best)

    def query(
        self, request: requests.Request, ranked: list[discovery.Endpoint]
    ) -> cost.PlacementQuery:
        """Return what is needed to compare engines for a prompt."""
        prompt = requests.prompt_of(request)
        versions = {
            endpoint.id: self.version_of(endpoint, prompt.model)
            for endpoint in ranked
        }
        plans = {
            version: self.plan(request, version)
            for version in set(versions.values())
        }
        typical_tokens = self.sizes.of(request.route.name)
        if typical_tokens is None:
            typical_tokens = requests.memory_of(prompt)
        return cost.PlacementQuery(
            request=request,
            prompt=prompt,
            home=ranked[0].id,
            parts=tuple((part.id, part.tokens) for part in prompt.parts),
            typical_tokens=typical_tokens,
            max_fill=requests.fill_limit(typical_tokens),
            versions=versions,
            newest=max(versions.values()),
            required=self.required(prompt.model),
            plans=plans,
        )

    def best_of_groups(
        self, query: cost.PlacementQuery, ranked: list[discovery.Endpoint]
    ) -> cost.Candidate | requests.NoCapacity:
        """Return the engine with the least cost of the first suitable group.

        Of many engines only a few are compared: the session's own first, and
        further ones while these are full or have old weights.  Other
        instances' loads are known up to 1.5 s late; if all engines were
        compared, all instances would choose the same least loaded engine
        until they learn of each other's requests.
        """
        size = GROUP_SIZE if len(ranked) > COMPARE_ALL_MAX else len(ranked)
        best: cost.Candidate | None = None
        rejected: list[cost.Candidate] = []
        for first in range(0, len(ranked), size):
            for endpoint in ranked[first : first + size]:
                candidate = self.candidate(query, endpoint)
                if not query.allows(candidate):
                    rejected.append(candidate)
                elif best is None or candidate.cost < best.cost:
                    best = candidate
            if best is not None and not best.has_old_weights:
                break
        if best is None:
            return cost.no_capacity(query, rejected)
        return best

    def best_of_samples(
        self, query: cost.PlacementQuery, ranked: list[discovery.Endpoint]
    ) -> cost.Candidate | requests.NoCapacity:
        """Return the engine with the fewest late answers of some.

        Prompts that are placed at the same time by several instances are
        compared at different engines, as long as their sessions differ.
        """
        size = SAMPLE_SIZE if len(ranked) > SAMPLE_ALL_MAX else len(ranked)
        for first in range(0, len(ranked), size):
            best = self.best_of(query, ranked[first : first + size])
            if best is not None:
                return best
        return cost.no_capacity(
            query, [self.candidate(query, endpoint) for endpoint in ranked]
        )

    def best_of(
        self, query: cost.PlacementQuery, engines: list[discovery.Endpoint]
    ) -> cost.Candidate | None:
        """Return the engine with the fewest late answers, if one has room."""
        return late_costs.best(
            query,
            engines,
            self.loads.of_all([one.id for one in engines]),
            self.held_by_all(query, engines),
            self.predictor,
        )

    def plan(
        self, request: requests.Request, version: int
    ) -> cost.VersionPlan:
        """Return the plan for all engines with the same weight version."""
        prompt = requests.prompt_of(request)
        # First: if the process is suspended from here on, the fetch ends
        # earlier, and what is checked below was still true when it began.
        fetch_until_ms = self.fetch_until_ms(prompt.model, version)
        salt = self.salt(request, version)
        if not version or self.sharing.is_outdated():
            # Parts that are not shared for a moment only are not worth their
            # place in a store.
            return cost.VersionPlan(salt, kept_module.NO_TRANSFERS)
        return cost.VersionPlan(
            salt,
            self.kept_index.plan(
                salt,
                prompt.shared,
                lambda store: self.region_map.allows(
                    request.regions, store.zone
                ),
                may_fetch=fetch_until_ms is not None,
            ),
            math.inf if fetch_until_ms is None else fetch_until_ms,
        )

    def fetch_until_ms(self, model: str, version: int) -> float | None:
        """Return when a fetch must have ended, by the endpoints' clock.

        ``None`` if none may begin.
        """
        end_s = self.end_of_fetch(model, version)
        if end_s is None:
            return None
        return self.kept_index.endpoint_clocks.shown(end_s)

    def salt(self, request: requests.Request, version: int) -> str:
        """Return the salt of a prompt's parts as of now."""
        organisation = request.organisation
        scope = self.sharing.scope_of(
            None if organisation is None else organisation.name
        )
        model = requests.prompt_of(request).model
        return str(salts.Salt(model, version, scope))

    def candidate(
        self, query: cost.PlacementQuery, endpoint: discovery.Endpoint
    ) -> cost.Candidate:
        """Return a prompt's cost and fit on an engine."""
        load = self.loads.of(endpoint.id)
        (held,) = self.held_by_all(query, [endpoint])
        return cost.candidate(query, endpoint, load, held)

    def held_by_all(
        self, query: cost.PlacementQuery, engines: list[discovery.Endpoint]
    ) -> list[int]:
        """Return the tokens of a prompt in the memory of engines."""
        by_version = {
            version: plan.salt for version, plan in query.plans.items()
        }
        return self.residency.held_by_all(
            [
                (engine.id, by_version[query.versions[engine.id]])
                for engine in engines
            ],
            query.parts,
        )

    def placement(
        self, query: cost.PlacementQuery, chosen: cost.Candidate
    ) -> requests.Placement:
        """Return the placement of a prompt on the chosen engine."""
        stores = chosen.plan.stores
        version = query.versions[chosen.endpoint.id]
        times = self.predictor.rates.prefill_times.of(
            query.request.service.name
        )
        waiting_s = times.seconds(chosen.load.waiting_tokens)
        late_after_s = fetching.late_after_s(
            query.request.target_remaining_s,
            waiting_s
            + times.seconds(query.prompt.input_tokens - chosen.held_tokens),
            waiting_s + times.seconds(chosen.fetched_tokens),
        )
        instructions = dataclasses.replace(
            requests.instructions_for(
                query.request, chosen.endpoint, version, chosen.plan.salt
            ),
            fetch_from=(*stores.fetch_from, ""),
            save_to=(*stores.save_to, ""),
            fetch_until_ms=chosen.plan.fetch_until_ms,
        )
        return requests.Placement(
            chosen.endpoint,
            instructions,
            chosen.prefill_tokens,
            chosen.held_tokens,
            chosen.fetched_tokens,
            late_after_s,
            chosen.load,
            prediction=chosen.prediction,
        )

    def version_of(self, endpoint: discovery.Endpoint, model: str) -> int:
        """Return an engine's last known weight version of a model."""
        announced = endpoint.versions.get(model, 0)
        return self.known_weights.version(endpoint.id, model, announced)
