"""Expected number of answers that are late because of a prompt."""

from __future__ import annotations

import typing

if typing.TYPE_CHECKING:
    from briarseam.prediction import forecast as forecasts
    from briarseam.prediction import spread as spreads

# Weight of the time to the first event, relative to the target.  Two
# endpoints at which the prompt is in time with near certainty are compared
# by it.
TIE_SHARE = 0.05
# A pause holds a fixed number of steps, so work that is not known cannot
# lengthen it as it delays first events; only slow steps can, up to this much.
MAX_STEP_STRETCH = 3.0


def expected_late(
    forecast: forecasts.Forecast,
    spread: spreads.Spread,
    remaining_s: float,
    streams: int,
    max_pause_s: float,
    steps_per_event: int = 1,
) -> float:
    """Return the expected number of late answers at one endpoint.

    Parameters
    ----------
    forecast
        Times at the endpoint if it gets the prompt.
    spread
        Distribution of actual relative to predicted times.
    remaining_s
        Time until the prompt's first event is due, in seconds; negative once
        it is overdue.
    streams
        Number of streams that run at the endpoint.
    max_pause_s
        Longest pause between events that their callers tolerate, in seconds;
        0 for any.
    steps_per_event
        As in :class:`briarseam.routes.model.EngineTraits`.
    """
    late = spread.exceeds(remaining_s / forecast.first_event_s)
    if streams > 0 and max_pause_s > 0.0:
        pause_s = longest_pause_s(forecast, steps_per_event)
        if pause_s * MAX_STEP_STRETCH > max_pause_s:
            late += streams * spread.exceeds(max_pause_s / pause_s)
    return late


def longest_pause_s(
    forecast: forecasts.Forecast, steps_per_event: int
) -> float:
    """Return the longest pause between events during a prefill, in seconds.

    At most `steps_per_event` steps are between two events.  If that number
    is 1, which also stands for an unknown one, the whole prefill is assumed
    to be one pause.
    """
    if steps_per_event <= 1:
        return forecast.prefill_s
    return min(forecast.prefill_s, steps_per_event * forecast.step_s)


def tie_break(
    first_event_s: float, prefill_s: float, target_s: float
) -> float:
    """Return a small addition that prefers the sooner endpoint.

    A first event later than the target is not worse than one at the target:
    both are late.  Of endpoints at which the prompt is late, the one that
    spends less time on it is preferred.

    Parameters
    ----------
    first_event_s
        Predicted time to the first event, in seconds.
    prefill_s
        Predicted time to prefill the prompt itself, in seconds.
    target_s
        Target time to the first event, in seconds.
    """
    return TIE_SHARE * (
        min(first_event_s / target_s, 1.0) + prefill_s / target_s
    )
