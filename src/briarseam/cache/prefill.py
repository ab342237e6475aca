"""How long engines take to compute one piece, learned from their runs."""

from __future__ import annotations

import threading

DEFAULT_S = 0.2
FASTER_GAIN = 0.5
SLOWER_GAIN = 0.02
MAX_MODELS = 256


class Prefill:
    """Seconds of prefill for one piece, for each model.

    The time to the first token holds queueing too, so the estimate follows
    the fast runs quickly and the slow ones slowly.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_model: dict[str, float] = {}

    def learn(self, model: str, pieces: int, first_token_s: float) -> None:
        """Take in a run that computed some pieces.

        Parameters
        ----------
        model
            The model.
        pieces
            Whole pieces that were computed.
        first_token_s
            Seconds until its first token.
        """
        if pieces <= 0 or first_token_s <= 0.0:
            return
        sample = first_token_s / pieces
        with self.lock:
            known = self.by_model.get(model)
            if known is None:
                if len(self.by_model) < MAX_MODELS:
                    self.by_model[model] = sample
                return
            gain = FASTER_GAIN if sample < known else SLOWER_GAIN
            self.by_model[model] = known + gain * (sample - known)

    def piece_s(self, model: str) -> float:
        """Return the seconds for one piece."""
        return self.by_model.get(model, DEFAULT_S)
