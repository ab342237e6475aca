"""Messages between instances about what stores of KV cache keep."""

from __future__ import annotations

import msgspec

from briarseam.wire import codec


@codec.message("stores-asked")
class StoresAsked(msgspec.Struct, frozen=True):
    """Ask an instance that reads stores for what has changed.

    Attributes
    ----------
    cursors
        For each store its address, and generation and sequence of what the
        asker has; an empty generation asks for all.
    wait_s
        How long to wait for a change, in seconds.
    """

    cursors: tuple[tuple[str, str, int], ...]
    wait_s: float


class StoreUpdate(msgspec.Struct, frozen=True):
    """What is new of one store.

    Attributes
    ----------
    address
        The store.
    readable
        Whether it answers the instance that reads it.
    epoch
        The store's own, which frees parts only for who knows it.
    generation, sequence
        Where this ends.
    age_s
        Seconds since the store told so.
    whole
        Whether ``parts`` is all that the store keeps, not what changed.
    parts
        Salt, part and length in tokens; 0 tokens when it was dropped.
    born_ms
        When the store started, by its own clock; 0 where it did not say.
    """

    address: str
    readable: bool
    epoch: int
    generation: str
    sequence: int
    age_s: float
    whole: bool
    parts: tuple[tuple[str, str, int], ...]
    born_ms: int = 0


@codec.message("stores-told")
class StoresTold(msgspec.Struct, frozen=True):
    """What is new of the stores that were asked for.

    Attributes
    ----------
    reads
        Whether the instance reads these stores itself; what it only knows
        from others would be handed on in circles.
    stores
        All that were asked for and are known; unchanged ones with no parts.
    """

    reads: bool
    stores: tuple[StoreUpdate, ...]
