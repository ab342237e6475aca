"""Predicting the time to first token at one engine."""

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
    """What a prediction needs of a prompt.

    Attributes
    ----------
    model
        The model.
    keys
        Names of its whole pieces at the engines.
    tokens
        Its length.
    kept
        What could be imported from its first piece on.
    plans
        What is worth importing, by pieces that are there already.
    """

    model: str
    keys: tuple[bytes, ...]
    tokens: int
    kept: cache.Plan
    plans: dict[int, cache.Plan] = dataclasses.field(default_factory=dict)

    def plan_behind(self, have: int, per_piece_s: float) -> cache.Plan:
        """Return what is worth importing behind the first pieces.

        Most engines looked at have the same part of a prompt, mostly none.
        """
        if have not in self.plans:
            self.plans[have] = follow_on(self.kept, have).best(per_piece_s)
        return self.plans[have]

    @property
    def pieces(self) -> float:
        """Length in pieces, with the last part."""
        return self.tokens / pieces.PIECE_TOKENS


@dataclasses.dataclass(frozen=True)
class Prediction:
    """What a run at one engine is expected to cost.

    Attributes
    ----------
    endpoint
        The engine.
    wait_s
        Until a slot is free.
    have
        Leading pieces it has.
    plan
        What is worth importing there; it may hold again what the engine
        has only probably.
    recompute_pieces
        Pieces it must compute.
    first_token_s
        Until the first token.
    recompute_s
        Of it, time to compute pieces.
    """

    endpoint: str
    wait_s: float
    have: int
    plan: cache.Plan
    recompute_pieces: float
    first_token_s: float
    recompute_s: float


class Predictor:
    """Predicts from loads, own runs, prefixes and learned rates.

    Parameters
    ----------
    loads, own_runs, prefixes, rates
        What is known of the engines.
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
        """Return what a run of ``prompt`` at ``endpoint`` would cost."""
        have = self.prefixes.leading(endpoint, prompt.keys)
        per_piece_s = self.rates.prefill_s_per_piece(prompt.model)
        sure = self.prefixes.sure(endpoint, prompt.keys)
        plan = prompt.plan_behind(sure, per_piece_s)
        left = max(prompt.pieces - max(have, sure + len(plan.blocks)), 0.0)
        wait_s = self.wait_s(prompt.model, endpoint)
        recompute_s = left * per_piece_s
        return Prediction(
            endpoint=endpoint,
            wait_s=wait_s,
            have=have,
            plan=plan,
            recompute_pieces=left,
            # The import runs while the queue moves.
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
        """Return the runs that an engine has by now.

        A report lags; what this agent sent since is added and what ended
        since taken off.  Without that, all requests between two reports
        would go to the engine that looked idle in the last one.
        """
        known_runs = self.own_runs.outstanding(endpoint)
        known_runs += self.loads.others(endpoint)
        load = self.loads.get(endpoint)
        if load is None:
            return known_runs
        changed = self.own_runs.change_since(endpoint, load.as_of)
        return max(load.busy + changed, self.own_runs.outstanding(endpoint))

    def slots(self, endpoint: str) -> int:
        """Return an engine's slots, a guess while it is not known."""
        load = self.loads.get(endpoint)
        return load.slots if load else DEFAULT_SLOTS

    def slots_free(self, endpoint: str) -> int:
        """Return the slots that are probably free."""
        return self.slots(endpoint) - self.busy(endpoint)


def follow_on(kept: cache.Plan, have: int) -> cache.Plan:
    """Return the part of a plan that follows the first ``have`` pieces."""
    if have == 0 or not kept.blocks:
        return kept
    if have >= len(kept.blocks):
        return dataclasses.replace(kept, have=have, blocks=(), until_s=())
    before_s = kept.until_s[have - 1]
    until_s = tuple(at - before_s for at in kept.until_s[have:])
    return dataclasses.replace(
        kept, have=have, blocks=kept.blocks[have:], until_s=until_s
    )
