"""Forecast of a prompt's first event at one endpoint."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from briarseam.prediction import rates

# Tokens that an engine prefills in one step.  Steps of about 30 ms with
# prefill and 4 ms without were observed where 12,000 tokens take 0.15 s.
STEP_TOKENS = 2048


@dataclasses.dataclass(frozen=True)
class Prediction:
    """Grounds for the choice of an endpoint.

    Attributes
    ----------
    first_event_s
        Predicted time to the first event, in seconds.
    endpoint_ratio
        Ratio of actual to predicted times at the endpoint.
    expected_late
        Expected number of answers that are late because of the prompt.
    """

    first_event_s: float
    endpoint_ratio: float
    expected_late: float

    def log_fields(self) -> dict[str, float | str]:
        """Return the prediction as log fields."""
        return {
            "predicted_first_ms": round(self.first_event_s * 1000),
            "endpoint_ratio": round(self.endpoint_ratio, 2),
            "expected_late": round(self.expected_late, 3),
        }


class Forecast(typing.NamedTuple):
    """Times at one endpoint if it gets a prompt.

    Attributes
    ----------
    first_event_s
        Time to the prompt's first event, in seconds.
    prefill_s
        Time during which the endpoint prefills without a break, in seconds.
    step_s
        Time of one step with prefill, in seconds.
    """

    first_event_s: float
    prefill_s: float
    step_s: float


def forecast(
    speed: rates.Speed, ratio: float, waiting_tokens: int, prefill_tokens: int
) -> Forecast:
    """Return the forecast for one endpoint.

    Parameters
    ----------
    speed
        Speed of the service's endpoints.
    ratio
        Ratio of actual to predicted times at this one.
    waiting_tokens
        Tokens that other prompts have yet to prefill there.
    prefill_tokens
        Tokens that the prompt would have to prefill there; those that it
        fetches are counted at the share of time that they take.
    """
    token_s = ratio * speed.s_per_token
    prefill_s = token_s * max(0, waiting_tokens + prefill_tokens)
    return Forecast(
        prefill_s + speed.floor_s, prefill_s, token_s * STEP_TOKENS
    )
