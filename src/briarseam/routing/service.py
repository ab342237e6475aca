"""Choosing an endpoint, and learning from how runs go."""

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
    """What routing needs of the kept cache."""

    def plan(
        self,
        organisation: str,
        model: str,
        adapter: str,
        version: str,
        chain: typing.Sequence[bytes],
        have: int,
        session: str = "",
    ) -> cache.Plan:
        """Return what could be imported for a prompt."""

    def engine_salt(self, organisation: str, adapter: str) -> str:
        """Return the salt under which an engine names prefixes."""

    def import_to(
        self, address: str, plan: cache.Plan, max_s: float
    ) -> cache.Imported:
        """Let an endpoint import a plan's blocks; wait for it."""


@dataclasses.dataclass(frozen=True)
class ChooserParts:
    """What the choice works with, wired by ``compose``.

    Attributes
    ----------
    view
        Present configuration.
    leaving
        Endpoints that are known to leave.
    offers
        Versions and adapters that new requests of a model may name, best
        first for a session's key; empty while none is reported.
    serves
        Whether an endpoint reports what a request has to name.
    kept
        The kept cache.
    loads, own_runs
        Load of the engines and own runs under way.
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
class Sent:
    """A run under way, for learning from it."""

    choice: state.Choice
    at: float
    imported: int = 0
    first_seen: bool = False


class Chooser:
    """Chooses by predicted time to first token and work recomputed."""

    def __init__(self, parts: ChooserParts) -> None:
        self.parts = parts
        self.prefixes = prefix_module.Prefixes()
        self.rates = rate_module.Rates()
        self.predictor = predict.Predictor(
            parts.loads, parts.own_runs, self.prefixes, self.rates
        )
        self.sent: dict[str, Sent] = {}
        self.boots: dict[str, str] = {}
        self.serving = candidates.Serving(self.forget_gone)
        self.troubles = endpoint_backoff.Troubles(parts.clock)
        self.turn = 0
        self.lock = threading.Lock()

    def choose_engine(
        self, query: state.PromptQuery
    ) -> state.Choice | state.NoChoice:
        """Return the engine for a prompt."""
        view = self.parts.view()
        model = view.models.get(query.model)
        if model is None:
            # It was configured when the request came, and waited since.
            return no_choice(f"{query.model} is not configured any more")
        found = self.eligible(view, query) or self.eligible(
            view, query.with_refused()
        )
        if found is None:
            version = query.version or model.version
            return no_choice(f"no endpoint serves {query.model} {version}")
        offer, names = found
        prompt = self.prompt_of(query, offer)
        if view.routing.strategy == "round-robin":
            names = [self.next_in_turn(names)]
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
            have=best.have,
            recompute_pieces=best.recompute_pieces,
            plan=best.plan,
        )

    def eligible(
        self, view: schema.View, query: state.PromptQuery
    ) -> tuple[orders.Offer, list[str]] | None:
        """Return the best offer that has engines, and these."""
        for offer in self.offers(query):
            names = self.engines(view, query, offer)
            if names:
                return offer, names
        return None

    def offers(
        self, query: state.PromptQuery
    ) -> typing.Sequence[orders.Offer]:
        """Return what a prompt may name, best first."""
        if query.version:
            return (orders.Offer(query.version, query.adapter),)
        return self.parts.offers(query.model, candidates.session_of(query))

    def next_in_turn(self, names: list[str]) -> str:
        """Return the next of the engines, one after the other."""
        with self.lock:
            self.turn += 1
            return sorted(names)[self.turn % len(names)]

    def engines(
        self, view: schema.View, query: state.PromptQuery, offer: orders.Offer
    ) -> list[str]:
        """Return the engines that may run a prompt."""
        barred = self.parts.leaving() | query.excluded
        names = [
            name
            for name in self.serving.names(view, query.model)
            if name not in barred
            and query.required_endpoint in ("", name)
            and self.parts.serves(name, query.model, offer)
        ]
        return self.parts.loads.reporting(self.troubles.avoid(names))

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
        """Return what predictions need of a prompt."""
        salt = self.parts.kept.engine_salt(query.organisation, offer.adapter)
        keys = tuple(
            prefix_module.key_of(
                pieces.salted(digest, salt), query.model, offer.version
            )
            for digest in query.chain
        )
        kept = self.parts.kept.plan(
            query.organisation,
            query.model,
            offer.adapter,
            offer.version,
            query.chain,
            0,
            query.session,
        )
        return predict.Prompt(query.model, keys, query.prompt_tokens, kept)

    def score(
        self,
        one: predict.Prediction,
        query: state.PromptQuery,
        policy: values.RoutingPolicy,
    ) -> tuple[float, int]:
        """Return how bad a prediction is, with affinity to break ties.

        The weight moves between the two users' measures: 0 minds the time
        to first token only, 1 the work recomputed as well as the time that
        it costs others who wait for the same slots.
        """
        weight = policy.recompute_weight
        cost = one.first_token_s + weight * one.recompute_s
        return round(cost, 3), candidates.affinity(query, one.endpoint)

    def choose_service(
        self, query: state.CallQuery
    ) -> state.Choice | state.NoChoice:
        """Return the endpoint for a call: the one with least under way."""
        view = self.parts.view()
        barred = self.parts.leaving() | query.excluded
        names = [
            name
            for name, endpoint in view.endpoints.items()
            if endpoint.kind is values.EndpointKind.SERVICE
            and query.service in endpoint.services
            and endpoint.state is values.EndpointState.SERVING
            and name not in barred
        ]
        if not names:
            return no_choice(f"no endpoint serves {query.service}")
        name = min(
            self.troubles.avoid(names),
            key=lambda one: (
                self.predictor.busy(one),
                candidates.tie_break(one),
            ),
        )
        return state.Choice(name, view.endpoints[name].address)

    def has_room(self, choice: state.Choice, share: float) -> bool:
        """Tell whether a choice's engine has a slot, or nearly.

        Parameters
        ----------
        choice
            The engine.
        share
            What may wait there, as a part of its slots.
        """
        slots = self.predictor.slots(choice.endpoint)
        free = self.predictor.slots_free(choice.endpoint)
        return free + int(slots * share) > 0

    def run_s(self, model: str) -> float:
        """Return how long a run takes a slot, in seconds."""
        return self.rates.run_s(model)

    def slots(self, model: str) -> int:
        """Return the slots of all engines of a model, at least one."""
        names = self.serving.names(self.parts.view(), model)
        return candidates.total_slots(names, self.predictor)

    def prepare(
        self, run_id: str, choice: state.Choice, max_s: float
    ) -> cache.Imported:
        """Import what the choice's plan says, before the run is granted."""
        if not choice.plan.blocks:
            return cache.Imported()
        imported = self.parts.kept.import_to(
            choice.address, choice.plan, max_s
        )
        with self.lock:
            sent = self.sent.get(run_id)
            if sent is not None:
                sent.imported = imported.pieces
        return imported

    def record_start(self, run_id: str, choice: state.Choice) -> None:
        """Count a run in."""
        now = self.parts.clock()
        self.parts.own_runs.start(
            choice.endpoint,
            active_runs.Dispatch(run_id, now, choice.recompute_pieces),
        )
        with self.lock:
            self.sent[run_id] = Sent(choice, now)
        load = self.parts.loads.get(choice.endpoint)
        if load is not None:
            self.note_boot(choice.endpoint, load.boot_id)
        # Counted from the grant on, so that the next request of the same
        # session, a moment later, follows the first.
        self.prefixes.use(
            choice.endpoint, choice.keys, load.cache_pieces if load else None
        )

    def forget_gone(self, view: schema.View) -> None:
        """Drop what is known of endpoints that are not configured any more.

        Endpoints are replaced all day under new names; without this an
        agent that lives long would remember all of them.
        """
        self.parts.own_runs.keep(view.endpoints)
        for name in [one for one in self.boots if one not in view.endpoints]:
            self.boots.pop(name, None)
            self.prefixes.forget(name)

    def note_boot(self, endpoint: str, boot_id: str) -> None:
        """Forget an engine's prefixes when it was started anew."""
        if self.boots.get(endpoint, boot_id) != boot_id:
            self.prefixes.forget(endpoint)
        self.boots[endpoint] = boot_id

    def record_first_token(self, run_id: str, cached_tokens: int) -> None:
        """Learn from a run's first token."""
        with self.lock:
            sent = self.sent.get(run_id)
            if sent is None or sent.first_seen:
                return
            sent.first_seen = True
        choice = sent.choice
        self.troubles.worked(choice.endpoint)
        cached = cached_tokens // pieces.PIECE_TOKENS
        if cached < choice.have + sent.imported:
            # The engine had evicted what was thought to be there; it has
            # computed it anew by now, so nothing is dropped but the belief
            # that its memory is as large as reported.
            self.prefixes.use(choice.endpoint, choice.keys, None)
        if choice.wait_s == 0.0 and not sent.imported:
            left_tokens = choice.prompt_tokens - cached_tokens
            took_s = self.parts.clock() - sent.at
            left = left_tokens / pieces.PIECE_TOKENS
            self.rates.learn_prefill(choice.model, took_s, left)

    def record_end(
        self, run_id: str, complete: bool, failed: bool = False
    ) -> None:
        """Count a run out and learn how long it took.

        Parameters
        ----------
        run_id
            The run.
        complete
            Whether it gave its whole answer.
        failed
            Whether its endpoint failed it before it gave anything.
        """
        now = self.parts.clock()
        with self.lock:
            sent = self.sent.pop(run_id, None)
        if sent is None:
            return
        choice = sent.choice
        self.parts.own_runs.end(choice.endpoint, run_id, now)
        if failed:
            self.troubles.failed(choice.endpoint)
        elif complete:
            self.troubles.worked(choice.endpoint)
        if complete and choice.model:
            took_s = max(now - sent.at - choice.wait_s, 0.001)
            self.rates.learn_run(choice.model, took_s)
        elif not sent.first_seen:
            # It never got to compute anything there.
            self.prefixes.truncate(choice.endpoint, choice.keys, choice.have)


def no_choice(detail: str) -> state.NoChoice:
    """Return the outcome when nothing can take a request."""
    return state.NoChoice(detail, RETRY_AFTER_S)
