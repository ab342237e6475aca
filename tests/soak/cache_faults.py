"""Faults that strike while parts of replaced weights are freed."""

from __future__ import annotations

import dataclasses
import enum
import typing

if typing.TYPE_CHECKING:
    from tests.soak import links


class Freeing:
    """What strikes while parts of replaced weights are freed."""


@dataclasses.dataclass(frozen=True)
class WeightsNamed(Freeing):
    """The operators name the next weights, which engines load by orders."""


@dataclasses.dataclass(frozen=True)
class EntryLapsed(Freeing):
    """The entry of an endpoint that goes on is gone, and comes back."""

    endpoint: int


@dataclasses.dataclass(frozen=True)
class AllPaused(Freeing):
    """All instances stand still."""


@dataclasses.dataclass(frozen=True)
class PeersCut(Freeing):
    """One instance loses its links to all others."""

    instance: int
    state: links.State


class Trouble(enum.StrEnum):
    """What a store of KV cache does wrong."""

    LOSES_REMOVALS = "loses removals"
    LOSES_SAVES = "loses saves"
    DELAYS_EVENTS = "delays events"
    DELAYS_FREES = "delays frees"
    RESTARTS = "restarts"


@dataclasses.dataclass(frozen=True)
class CacheStruck(Freeing):
    """A store of KV cache is in trouble, or restarts empty."""

    store: int
    how: Trouble
