"""Messages between instances about the content of KV cache stores."""

from __future__ import annotations

import msgspec

from briarseam.wire import codec


@codec.message("stores-asked")
class StoresAsked(msgspec.Struct, frozen=True):
    """Query to an instance that reads stores, for changes.

    Attributes
    ----------
    cursors
        For each store its address, and the generation and sequence that the
        sender has; an empty generation requests the complete content.
    wait_s
        Longest time to wait for a change, in seconds.
    """

    cursors: tuple[tuple[str, str, int], ...]
    wait_s: float


class StoreUpdate(msgspec.Struct, frozen=True):
    """Update of one store's content.

    Attributes
    ----------
    address
        Address of the store.
    readable
        Whether the store answers its reader.
    epoch
        Epoch of the store; a request to free parts must name it.
    generation, sequence
        Position of the reader's index after this update.
    age_s
        Seconds since the store reported this.
    whole
        Whether ``parts`` is the complete content rather than changes.
    parts
        Salt, part id and length in tokens; 0 tokens if it was dropped.
    born_ms
        Start time of the store, by its own clock; 0 if not reported.
    clock_ms
        What the clock of all endpoints and stores shows at least when this
        is sent; 0 if not known.
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
    clock_ms: float = 0.0


@codec.message("stores-told")
class StoresTold(msgspec.Struct, frozen=True):
    """Updates of the queried stores.

    Attributes
    ----------
    reads
        Whether the instance reads these stores directly.  Content that it
        only has from other readers would circulate between instances.
    stores
        Updates of the queried stores that are known; unchanged ones have no
        parts.
    """

    reads: bool
    stores: tuple[StoreUpdate, ...]
