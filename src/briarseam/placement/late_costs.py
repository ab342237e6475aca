"""Comparison of engines by the expected number of late answers."""

from __future__ import annotations

import dataclasses
import math
import typing

from briarseam.placement import cost
from briarseam.placement import requests
from briarseam.prediction import forecast as forecasts
from briarseam.prediction import lateness

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.discovery import model as discovery
    from briarseam.placement import loads as load_module
    from briarseam.prediction import predictor as predictors

# Candidates within this number of late answers of the best are equal: the
# first in the session's ranking is taken.  Sessions then meet at the engines
# that hold their parts, and instances don't all choose the same engine.
EQUAL_LATE = 0.02
# Loss of an answer on old weights, as a number of late answers.
OLD_WEIGHTS_LATE = 0.2
# Loss at an engine whose memory is filled beyond `cost.FILL_THRESHOLD`, per
# share of its memory.
FILL_LATE = 2.0
# Loss for each request beyond an engine's slots.  Only a partly answered
# request is sent to an engine without a free slot.
QUEUED_LATE = 0.25
# Target of a route without one, for the comparison of times only.
DEFAULT_TARGET_S = 1.0


def best(
    query: cost.PlacementQuery,
    ranked: collections.abc.Sequence[discovery.Endpoint],
    loads: collections.abc.Sequence[load_module.Load],
    held: collections.abc.Sequence[int],
    predictor: predictors.Predictor,
) -> cost.Candidate | requests.NoCapacity:
    """Return the engine with the fewest expected late answers.

    Parameters
    ----------
    query
        The prompt.
    ranked
        The engines, in the order of the session's ranking.
    loads, held
        Load of each, and tokens of the prompt in its memory.
    predictor
        Learned speeds and spreads.
    """
    ratios = predictor.rates.ratios_of([engine.id for engine in ranked])
    comparison = Comparison(query, predictor)
    losses = [
        comparison.loss(*engine)
        for engine in zip(ranked, loads, held, ratios, strict=True)
    ]
    limit = min(losses) + EQUAL_LATE
    if math.isinf(limit):
        return cost.no_capacity(
            query,
            [
                cost.candidate(query, *engine)
                for engine in zip(ranked, loads, held, strict=True)
            ],
        )
    index = next(index for index, loss in enumerate(losses) if loss <= limit)
    chosen = cost.candidate(query, ranked[index], loads[index], held[index])
    first_event_s = comparison.forecast(
        loads[index].waiting_tokens, chosen.prefill_tokens, ratios[index]
    ).first_event_s
    return dataclasses.replace(
        chosen,
        prediction=forecasts.Prediction(
            first_event_s, ratios[index], losses[index]
        ),
    )


class Comparison:
    """Expected late answers of one prompt at each engine.

    What is the same for all engines is computed once.

    Parameters
    ----------
    query
        The prompt.
    predictor
        Learned speeds and spreads.
    """

    def __init__(
        self, query: cost.PlacementQuery, predictor: predictors.Predictor
    ) -> None:
        request = query.request
        service = request.service
        engine = service.engine
        self.query = query
        self.speed = predictor.rates.speed(service.name)
        self.spread = predictor.spreads.of(service.name)
        self.max_pause_s = predictor.max_pauses.get(service.name, 0.0)
        self.steps_per_event = engine.steps_per_event if engine else 1
        target_s = request.route.target_latency_s
        self.target_s = target_s or DEFAULT_TARGET_S
        self.remaining_s = request.target_remaining_s if target_s else math.inf
        self.cache_tokens = engine.cache_tokens if engine else 0
        self.own_tokens = requests.memory_of(query.prompt)

    def loss(
        self,
        engine: discovery.Endpoint,
        load: load_module.Load,
        held: int,
        ratio: float,
    ) -> float:
        """Return the loss at an engine, as a number of late answers.

        Infinite if the engine may not take the prompt.

        Parameters
        ----------
        engine
            The engine.
        load
            Its known load.
        held
            Tokens of the prompt in its memory.
        ratio
            Ratio of actual to predicted times there.
        """
        query = self.query
        version = query.versions[engine.id]
        queued = load.requests + 1 - engine.slots
        if version < query.required:
            return math.inf
        fill = typical_fill = 0.0
        if self.cache_tokens > 0:
            taken = load.memory_tokens
            fill = (taken + self.own_tokens) / self.cache_tokens
            typical_fill = (taken + query.typical_tokens) / self.cache_tokens
        if not query.request.partly_answered and (
            queued > 0 or typical_fill > query.max_fill
        ):
            return math.inf
        fetched = cost.fetched_tokens(query.plans[version], held)
        prefill = cost.prefill_tokens(query.prompt, held, fetched)
        forecast = self.forecast(load.waiting_tokens, prefill, ratio)
        loss = lateness.expected_late(
            forecast,
            self.spread,
            self.remaining_s,
            load.running,
            self.max_pause_s,
            self.steps_per_event,
        )
        loss += lateness.tie_break(
            forecast.first_event_s,
            prefill * ratio * self.speed.s_per_token,
            self.target_s,
        )
        if fill > cost.FILL_THRESHOLD:
            loss += (fill - cost.FILL_THRESHOLD) * FILL_LATE
        if queued > 0:
            loss += queued * QUEUED_LATE
        if version < query.newest:
            loss += OLD_WEIGHTS_LATE
        return loss

    def forecast(
        self, waiting_tokens: int, prefill_tokens: int, ratio: float
    ) -> forecasts.Forecast:
        """Return the forecast for an engine."""
        return forecasts.forecast(
            self.speed, ratio, waiting_tokens, prefill_tokens
        )
