"""Prediction of the time to first token at an engine."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.cache import pieces
from briarseam.cache import state as cache

if typing.TYPE_CHECKING:
    from briarseam.routing import active_runs
    from briarseam.routing import loads as load_module
    from briarseam.routing import prefixes as prefix_module
    from briarseam.routing import rates as rate_module

DEFAULT_SLOTS = 8


@dataclasses.dataclass(frozen=True)
class Prompt:
    """The properties of a prompt that predictions need.

    Attributes
    ----------
    model
        Name of the model.
    keys
        Prefix keys of the prompt's complete pieces at the engines.
    tokens
        Length of the prompt, in tokens.
    kept_plan
        Import plan for all kept blocks, from the first piece on.
    plans
        Cached plans by the number of leading pieces that are present.
    """

    model: str
    keys: tuple[bytes, ...]
    tokens: int
    kept_plan: cache.Plan
    plans: dict[int, cache.Plan] = dataclasses.field(default_factory=dict)

    def plan_after(self, cached_pieces: int, per_piece_s: float) -> cache.Plan:
        """Return the import plan that follows the first pieces.

        Cached, since most candidates have the same number of pieces, mostly
        none.
        """
        if cached_pieces not in self.plans:
            self.plans[cached_pieces] = remaining_plan(
                self.kept_plan, cached_pieces
            ).best(per_piece_s)
        return self.plans[cached_pieces]

    @property
    def pieces(self) -> float:
        """Length in pieces, including the last incomplete one."""
        return self.tokens / pieces.PIECE_TOKENS


@dataclasses.dataclass(frozen=True)
class Prediction:
    """Expected costs of a run at one engine.

    Attributes
    ----------
    endpoint
        Name of the engine.
    wait_s
        Time until a slot is free, in seconds.
    cached_pieces
        Leading pieces that the engine probably has.
    plan
        Blocks that are worth importing; may include pieces that the engine
        has probably but not surely.
    recompute_pieces
        Pieces that the engine must compute.
    first_token_s
        Time to first token, in seconds.
    recompute_s
        Part of ``first_token_s`` that computes pieces, in seconds.
    """

    endpoint: str
    wait_s: float
    cached_pieces: int
    plan: cache.Plan
    recompute_pieces: float
    first_token_s: float
    recompute_s: float


class Predictor:
    """Predicts from loads, this agent's runs, prefixes and learned rates.

    Parameters
    ----------
    loads, own_runs, prefixes, rates
        Known state of the engines.
    """

    def __init__(
        self,
        loads: load_module.Loads,
        own_runs: active_runs.ActiveRuns,
        prefixes: prefix_module.Prefixes,
        rates: rate_module.Rates,
    ) -> None:
        self.loads = loads
        self.own_runs = own_runs
        self.prefixes = prefixes
        self.rates = rates

    def predict(self, prompt: Prompt, endpoint: str) -> Prediction:
        """Return the expected costs of ``prompt`` at ``endpoint``."""
        cached_pieces = self.prefixes.count_leading(endpoint, prompt.keys)
        per_piece_s = self.rates.prefill_s_per_piece(prompt.model)
        sure_pieces = self.prefixes.count_sure(endpoint, prompt.keys)
        plan = prompt.plan_after(sure_pieces, per_piece_s)
        recompute_pieces = max(
            prompt.pieces - max(cached_pieces, sure_pieces + len(plan.blocks)),
            0.0,
        )
        wait_s = self.wait_s(prompt.model, endpoint)
        recompute_s = recompute_pieces * per_piece_s
        return Prediction(
            endpoint=endpoint,
            wait_s=wait_s,
            cached_pieces=cached_pieces,
            plan=plan,
            recompute_pieces=recompute_pieces,
            # The import runs while the prompt waits for a slot.
            first_token_s=max(wait_s, plan.predicted_s) + recompute_s,
            recompute_s=recompute_s,
        )

    def wait_s(self, model: str, endpoint: str) -> float:
        """Return the time until a slot is free, in seconds."""
        slots = self.slots(endpoint)
        ahead = self.busy(endpoint) - slots + 1
        if ahead <= 0:
            return 0.0
        return ahead / slots * self.rates.run_s(model)

    def busy(self, endpoint: str) -> int:
        """Return the estimated number of runs at an engine.

        Corrects the last load report by the runs that this agent started
        and ended since.  Without the correction all requests between two
        reports would go to the engine that looked idle in the last one.
        """
        known_runs = self.own_runs.count(endpoint)
        known_runs += self.loads.peer_run_count(endpoint)
        load = self.loads.get(endpoint)
        if load is None:
            return known_runs
        changed = self.own_runs.change_since(endpoint, load.as_of)
        return max(load.busy + changed, self.own_runs.count(endpoint))

    def slots(self, endpoint: str) -> int:
        """Return an engine's slots, a default if its load is not known."""
        load = self.loads.get(endpoint)
        return load.slots if load else DEFAULT_SLOTS

    def slots_free(self, endpoint: str) -> int:
        """Return the estimated number of free slots."""
        return self.slots(endpoint) - self.busy(endpoint)


def remaining_plan(plan: cache.Plan, cached_pieces: int) -> cache.Plan:
    """Return the part of a plan that follows the first pieces."""
    if cached_pieces == 0 or not plan.blocks:
        return plan
    if cached_pieces >= len(plan.blocks):
        return dataclasses.replace(
            plan, cached_pieces=cached_pieces, blocks=(), arrival_s=()
        )
    before_s = plan.arrival_s[cached_pieces - 1]
    arrival_s = tuple(at - before_s for at in plan.arrival_s[cached_pieces:])
    return dataclasses.replace(
        plan,
        cached_pieces=cached_pieces,
        blocks=plan.blocks[cached_pieces:],
        arrival_s=arrival_s,
    )
