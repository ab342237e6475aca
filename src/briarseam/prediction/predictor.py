"""What is learned from answers, and its use for one prompt."""

from __future__ import annotations

import typing

from briarseam import clocks
from briarseam.prediction import prefill_time
from briarseam.prediction import rates as rate_module
from briarseam.prediction import spread as spread_module


class Predictor:
    """Learned speeds and spreads of all services; thread-safe.

    Parameters
    ----------
    clock
        Seconds.

    Attributes
    ----------
    rates
        Speeds of services and endpoints.
    spreads
        Distribution of actual to predicted times by service.
    max_pauses
        Longest pause between events that callers tolerate, in seconds, by
        service; services whose callers tolerate any are left out.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.rates = rate_module.Rates(clock)
        self.spreads = spread_module.Spreads()
        self.max_pauses: dict[str, float] = {}

    def record(
        self,
        service: str,
        endpoint: str,
        tokens: int,
        predicted_s: float,
        took_s: float,
        fetched: bool,
    ) -> None:
        """Add the time to a first event.

        Parameters
        ----------
        service, endpoint
            The service, and the start of an endpoint that answered.
        tokens
            Tokens that had to be prefilled until the first event.
        predicted_s, took_s
            Predicted and actual time to the first event, in seconds.
        fetched
            Whether the prompt fetched KV cache from a store.  Its time
            depends on the store, so it doesn't change the speeds.
        """
        if tokens >= prefill_time.MIN_SAMPLE_TOKENS and predicted_s > 0.0:
            self.spreads.of(service).record(took_s / predicted_s)
        if not fetched:
            self.rates.record(service, endpoint, tokens, took_s)
