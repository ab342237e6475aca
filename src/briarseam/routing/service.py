"""Choice of an endpoint, and learning from observed runs."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from briarseam.cache import pieces
from briarseam.cache import state as cache
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.orders import state as orders
from briarseam.routing import active_runs
from briarseam.routing import candidates
from briarseam.routing import endpoint_backoff
from briarseam.routing import loads as load_module
from briarseam.routing import predict
from briarseam.routing import prefixes as prefix_module
from briarseam.routing import rates as rate_module
from briarseam.routing import state

RETRY_AFTER_S = 1.0
Clock = typing.Callable[[], float]


class KeptCache(typing.Protocol):
    """The operations of the kept cache that routing needs."""

    def plan(
        self,
        organisation: str,
        model: str,
        adapter: str,
        version: str,
        chain: typing.Sequence[bytes],
        cached_pieces: int,
        session: str = "",
    ) -> cache.Plan:
        """Return the blocks that could be imported for a prompt."""

    def engine_salt(self, organisation: str, adapter: str) -> str:
        """Return the salt that an engine uses for its prefixes."""

    def import_to(
        self, address: str, plan: cache.Plan, max_s: float
    ) -> cache.Imported:
        """Make an endpoint import a plan's blocks, and wait for it."""


@dataclasses.dataclass(frozen=True)
class ChooserParts:
    """Dependencies of the chooser, wired by ``compose``.

    Attributes
    ----------
    view
        Returns the current configuration.
    leaving
        Returns the endpoints that are leaving.
    offers
        Returns the versions and adapters that new requests of a model may
        use, best first for a session key; empty while none is reported.
    serves
        Returns whether an endpoint reports the given version and adapter.
    kept
        The kept cache.
    loads, own_runs
        Loads of the engines, and active runs of this agent.
    clock
        Monotonic seconds.
    """

    view: typing.Callable[[], schema.View]
    leaving: typing.Callable[[], frozenset[str]]
    offers: typing.Callable[[str, str], typing.Sequence[orders.Offer]]
    serves: typing.Callable[[str, str, orders.Offer], bool]
    kept: KeptCache
    loads: load_module.Loads
    own_runs: active_runs.ActiveRuns
    clock: Clock = time.monotonic


@dataclasses.dataclass
class ObservedRun:
    """An active run from which rates are learned."""

    choice: state.Choice
    started_at: float
    imported_pieces: int = 0
    has_first_token: bool = False


class Chooser:
    """Chooses by predicted time to first token and recomputed work."""

    def __init__(self, parts: ChooserParts) -> None:
        self.parts = parts
        self.prefixes = prefix_module.Prefixes()
        self.rates = rate_module.Rates()
        self.predictor = predict.Predictor(
            parts.loads, parts.own_runs, self.prefixes, self.rates
        )
        self.observed_runs: dict[str, ObservedRun] = {}
        self.boot_ids: dict[str, str] = {}
        self.engines_by_model = candidates.EnginesByModel(self.forget_removed)
        self.backoffs = endpoint_backoff.EndpointBackoffs(parts.clock)
        self.round_robin_index = 0
        self.lock = threading.Lock()

    def choose_engine(
        self, query: state.PromptQuery
    ) -> state.Choice | state.NoChoice:
        """Return the engine for a prompt."""
        view = self.parts.view()
        model = view.models.get(query.model)
        if model is None:
            # The model was removed while the request waited.
            return no_choice(f"{query.model} is not configured any more")
        eligible = self.eligible(view, query) or self.eligible(
            view, query.with_refused()
        )
        if eligible is None:
            version = query.version or model.version
            return no_choice(f"no endpoint serves {query.model} {version}")
        offer, names = eligible
        prompt = self.prompt_of(query, offer)
        if view.routing.strategy == "round-robin":
            names = [self.next_round_robin(names)]
        predictions = [
            self.predictor.predict(prompt, name)
            for name in candidates.pick(
                names,
                query,
                prompt.keys[0] if prompt.keys else b"",
                self.prefixes,
                max(view.routing.candidates, 1),
            )
        ]
        best = min(
            predictions,
            key=lambda one: self.score(one, query, view.routing),
        )
        return state.Choice(
            endpoint=best.endpoint,
            address=view.endpoints[best.endpoint].address,
            model=query.model,
            version=offer.version,
            adapter=offer.adapter,
            first_token_s=best.first_token_s,
            wait_s=best.wait_s,
            prompt_tokens=prompt.tokens,
            keys=prompt.keys,
            cached_pieces=best.cached_pieces,
            recompute_pieces=best.recompute_pieces,
            plan=best.plan,
        )

    def eligible(
        self, view: schema.View, query: state.PromptQuery
    ) -> tuple[orders.Offer, list[str]] | None:
        """Return the best offer that has engines, and these engines."""
        for offer in self.offers(query):
            names = self.engines(view, query, offer)
            if names:
                return offer, names
        return None

    def offers(
        self, query: state.PromptQuery
    ) -> typing.Sequence[orders.Offer]:
        """Return the offers that a prompt may use, best first."""
        if query.version:
            return (orders.Offer(query.version, query.adapter),)
        return self.parts.offers(query.model, candidates.session_key(query))

    def next_round_robin(self, names: list[str]) -> str:
        """Return the next engine in round-robin order."""
        with self.lock:
            self.round_robin_index += 1
            return sorted(names)[self.round_robin_index % len(names)]

    def engines(
        self, view: schema.View, query: state.PromptQuery, offer: orders.Offer
    ) -> list[str]:
        """Return the engines that may run a prompt."""
        barred = self.parts.leaving() | query.excluded
        names = [
            name
            for name in self.engines_by_model.names(view, query.model)
            if name not in barred
            and query.required_endpoint in ("", name)
            and self.parts.serves(name, query.model, offer)
        ]
        return self.parts.loads.reporting(self.backoffs.available(names))

    def least_loaded(self, query: state.PromptQuery) -> list[str]:
        """Return the engines that may run a prompt, the least loaded first."""
        view = self.parts.view()
        if query.model not in view.models:
            return []
        names: dict[str, None] = {}
        for offer in self.offers(query):
            names.update(dict.fromkeys(self.engines(view, query, offer)))
        return sorted(names, key=self.predictor.busy)

    def prompt_of(
        self, query: state.PromptQuery, offer: orders.Offer
    ) -> predict.Prompt:
        """Return the properties of a prompt that predictions need."""
        salt = self.parts.kept.engine_salt(query.organisation, offer.adapter)
        keys = tuple(
            prefix_module.key_of(
                pieces.salted(digest, salt), query.model, offer.version
            )
            for digest in query.chain
        )
        kept_plan = self.parts.kept.plan(
            query.organisation,
            query.model,
            offer.adapter,
            offer.version,
            query.chain,
            0,
            query.session,
        )
        return predict.Prompt(
            query.model, keys, query.prompt_tokens, kept_plan
        )

    def score(
        self,
        prediction: predict.Prediction,
        query: state.PromptQuery,
        policy: values.RoutingPolicy,
    ) -> tuple[float, int]:
        """Return the cost of a prediction, with affinity to break ties.

        The policy's weight sets how much recomputed work counts: 0 takes
        only the time to first token into account, 1 adds the whole time of
        the recomputation, which other requests for the same slots wait for.
        """
        weight = policy.recompute_weight
        cost = prediction.first_token_s + weight * prediction.recompute_s
        return round(cost, 3), candidates.affinity(query, prediction.endpoint)

    def choose_service(
        self, query: state.CallQuery
    ) -> state.Choice | state.NoChoice:
        """Return the endpoint for a call: the one with fewest active runs."""
        view = self.parts.view()
        barred = self.parts.leaving() | query.excluded
        names = [
            name
            for name, endpoint in view.endpoints.items()
            if endpoint.kind is values.EndpointKind.SERVICE
            and query.service in endpoint.services
            and view.is_serving(endpoint)
            and name not in barred
        ]
        if not names:
            return no_choice(f"no endpoint serves {query.service}")
        name = min(
            self.backoffs.available(names),
            key=lambda one: (
                self.predictor.busy(one),
                candidates.tie_break(one),
            ),
        )
        return state.Choice(name, view.endpoints[name].address)

    def has_room(self, choice: state.Choice, share: float) -> bool:
        """Return whether the chosen engine has room for another run.

        Parameters
        ----------
        choice
            The chosen engine.
        share
            Number of runs that may queue there, as a share of its slots.
        """
        slots = self.predictor.slots(choice.endpoint)
        free = self.predictor.slots_free(choice.endpoint)
        return free + int(slots * share) > 0

    def run_s(self, model: str) -> float:
        """Return the time that a run occupies a slot, in seconds."""
        return self.rates.run_s(model)

    def slots(self, model: str) -> int:
        """Return the slots of all engines of a model, at least one."""
        names = self.engines_by_model.names(self.parts.view(), model)
        return candidates.total_slots(names, self.predictor)

    def prepare(
        self, run_id: str, choice: state.Choice, max_s: float
    ) -> cache.Imported:
        """Import the blocks of the choice's plan before the run is granted."""
        if not choice.plan.blocks:
            return cache.Imported()
        imported = self.parts.kept.import_to(
            choice.address, choice.plan, max_s
        )
        with self.lock:
            run = self.observed_runs.get(run_id)
            if run is not None:
                run.imported_pieces = imported.pieces
        return imported

    def record_start(self, run_id: str, choice: state.Choice) -> None:
        """Record the start of a run."""
        now = self.parts.clock()
        self.parts.own_runs.start(
            choice.endpoint,
            active_runs.Dispatch(run_id, now, choice.recompute_pieces),
        )
        with self.lock:
            self.observed_runs[run_id] = ObservedRun(choice, now)
        load = self.parts.loads.get(choice.endpoint)
        if load is not None:
            self.record_boot_id(choice.endpoint, load.boot_id)
        # Recorded at the grant already, so that the next request of the same
        # session is routed to the same engine.
        self.prefixes.record_use(
            choice.endpoint, choice.keys, load.cache_pieces if load else None
        )

    def forget_removed(self, view: schema.View) -> None:
        """Drop the state of endpoints that are no longer configured.

        Endpoints are replaced under new names all the time, so the state of
        a long-running agent would grow without bound.
        """
        self.parts.own_runs.keep_only(view.endpoints)
        for name in [
            one for one in self.boot_ids if one not in view.endpoints
        ]:
            self.boot_ids.pop(name, None)
            self.prefixes.forget(name)

    def record_boot_id(self, endpoint: str, boot_id: str) -> None:
        """Drop an engine's prefixes if it has restarted."""
        if self.boot_ids.get(endpoint, boot_id) != boot_id:
            self.prefixes.forget(endpoint)
        self.boot_ids[endpoint] = boot_id

    def record_first_token(self, run_id: str, cached_tokens: int) -> None:
        """Record a run's first token and learn from it."""
        with self.lock:
            run = self.observed_runs.get(run_id)
            if run is None or run.has_first_token:
                return
            run.has_first_token = True
        choice = run.choice
        self.backoffs.record_success(choice.endpoint)
        cached = cached_tokens // pieces.PIECE_TOKENS
        if cached < choice.cached_pieces + run.imported_pieces:
            # The engine had evicted some of the expected pieces.  The run
            # has computed them again, so that all of them are present.
            self.prefixes.record_use(choice.endpoint, choice.keys, None)
        if choice.wait_s == 0.0 and not run.imported_pieces:
            computed_tokens = choice.prompt_tokens - cached_tokens
            took_s = self.parts.clock() - run.started_at
            computed_pieces = computed_tokens / pieces.PIECE_TOKENS
            self.rates.add_prefill(choice.model, took_s, computed_pieces)

    def record_end(
        self, run_id: str, complete: bool, failed: bool = False
    ) -> None:
        """Record the end of a run and learn its duration.

        Parameters
        ----------
        run_id
            Id of the run.
        complete
            Whether the run gave its complete answer.
        failed
            Whether its endpoint failed before any output.
        """
        now = self.parts.clock()
        with self.lock:
            run = self.observed_runs.pop(run_id, None)
        if run is None:
            return
        choice = run.choice
        self.parts.own_runs.end(choice.endpoint, run_id, now)
        if failed:
            self.backoffs.record_failure(choice.endpoint)
        elif complete:
            self.backoffs.record_success(choice.endpoint)
        if complete and choice.model:
            took_s = max(now - run.started_at - choice.wait_s, 0.001)
            self.rates.add_run(choice.model, took_s)
        elif not run.has_first_token:
            # The run computed nothing, so its new pieces are not there.
            self.prefixes.truncate(
                choice.endpoint, choice.keys, choice.cached_pieces
            )


def no_choice(detail: str) -> state.NoChoice:
    """Return the result for a request that no endpoint can take."""
    return state.NoChoice(detail, RETRY_AFTER_S)
