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
) -> cost.Candidate | None:
    """Return the engine with the fewest expected late answers.

    ``None`` if none may take the prompt.

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
        return None
    index = next(index for index, loss in enumerate(losses) if loss <= limit)
    chosen = cost.candidate(query, ranked[index], loads[index], held[index])
    forecast = comparison.forecast(
        loads[index].waiting_tokens, chosen.prefill_tokens, ratios[index]
    )
    return dataclasses.replace(
        chosen,
        prediction=forecasts.Prediction(
            forecast.first_event_s,
            ratios[index],
            comparison.expected_late(forecast, loads[index].running),
        ),
    )


class VersionCosts(typing.NamedTuple):
    """What is the same for all engines with one weight version.

    Attributes
    ----------
    allowed
        Whether its weights may still be used.
    loss
        Loss by its weights.
    prefill_tokens
        Tokens to prefill if the engine holds none, as in
        :class:`briarseam.placement.cost.Candidate`.
    """

    allowed: bool
    loss: float
    prefill_tokens: int


def prefill_of(query: cost.PlacementQuery, version: int, held: int) -> int:
    """Return the tokens to prefill at an engine that holds some."""
    fetched = cost.fetched_tokens(query.plans[version], held)
    return cost.prefill_tokens(query.prompt, held, fetched)


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
        self.may_exceed = request.partly_answered
        self.by_version = {
            version: VersionCosts(
                version >= query.required,
                OLD_WEIGHTS_LATE if version < query.newest else 0.0,
                prefill_of(query, version, 0),
            )
            for version in query.plans
        }

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
        allowed, loss, prefill = self.by_version[version]
        queued = load.requests + 1 - engine.slots
        if not allowed or (queued > 0 and not self.may_exceed):
            return math.inf
        if self.cache_tokens > 0:
            taken = load.memory_tokens
            typical_fill = (taken + query.typical_tokens) / self.cache_tokens
            if typical_fill > query.max_fill and not self.may_exceed:
                return math.inf
            fill = (taken + self.own_tokens) / self.cache_tokens
            if fill > cost.FILL_THRESHOLD:
                loss += (fill - cost.FILL_THRESHOLD) * FILL_LATE
        if queued > 0:
            loss += queued * QUEUED_LATE
        if held:
            prefill = prefill_of(query, version, held)
        forecast = self.forecast(load.waiting_tokens, prefill, ratio)
        loss += lateness.tie_break(
            forecast.first_event_s,
            prefill * ratio * self.speed.s_per_token,
            self.target_s,
        )
        return loss + self.expected_late(forecast, load.running)

    def expected_late(
        self, forecast: forecasts.Forecast, streams: int
    ) -> float:
        """Return the expected number of late answers at an engine."""
        return lateness.expected_late(
            forecast,
            self.spread,
            self.remaining_s,
            streams,
            self.max_pause_s,
            self.steps_per_event,
        )

    def forecast(
        self, waiting_tokens: int, prefill_tokens: int, ratio: float
    ) -> forecasts.Forecast:
        """Return the forecast for an engine."""
        return forecasts.forecast(
            self.speed, ratio, waiting_tokens, prefill_tokens
        )
