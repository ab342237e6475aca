"""The switches of a stand-in engine."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from briarseam.testing import switches


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of a model engine.

    Attributes
    ----------
    slots
        Runs that prefill or decode at a time.
    prefill_s_per_piece
        Seconds of prefill for a piece that is not cached.
    token_s
        Seconds between tokens.
    cache_tokens
        Room of the prefix cache in tokens.
    load_lag_ms
        Age of what ``GET /load`` shows.
    event_lag_ms
        Age at which cache events show.
    event_loss
        Share of cache events that never show.
    fencing
        Whether orders with a lower fencing number are refused.
    load_s
        Seconds to load weights once they are fetched.
    crash_word
        A prompt with this word ends the process; empty for none.
    kv_bytes_per_token
        Size of exported KV.
    truncate_after
        Streams close after so many tokens; 0 for never.
    """

    slots: typing.Annotated[int, msgspec.Meta(ge=1)] = 8
    prefill_s_per_piece: switches.Amount = 0.2
    token_s: switches.Amount = 0.02
    cache_tokens: switches.Count = 100_000
    load_lag_ms: switches.Amount = 0
    event_lag_ms: switches.Amount = 0
    event_loss: switches.Share = 0
    fencing: bool = True
    load_s: switches.Amount = 1
    crash_word: str = ""
    kv_bytes_per_token: switches.Count = 64
    truncate_after: switches.Count = 0
