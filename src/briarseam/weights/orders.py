"""Orders to engines and their possible outcomes."""

from __future__ import annotations

import dataclasses
import enum


class Mode(enum.Enum):
    """What happens to the runs of an engine that loads new weights."""

    FINISH = "finish"
    EVICT = "evict"
    RETAIN = "retain"


class EngineUnavailableError(Exception):
    """An engine did not answer, or another one answered in its place."""


@dataclasses.dataclass(frozen=True)
class Report:
    """An engine's report of its state.

    Attributes
    ----------
    versions
        Weight version by model.
    changing
        Whether the engine is carrying out an order.
    orders_taken
        Number of orders accepted since the engine's start.
    """

    versions: dict[str, int]
    changing: bool
    orders_taken: int


@dataclasses.dataclass(frozen=True)
class VersionOrder:
    """An order to load new weights.

    Attributes
    ----------
    model, version
        Name of the model, and version of the weights.
    mode
        What happens to active runs.
    leader
        Name of the instance that gives the order.
    fence
        Fencing number of the leader.
    orders_taken
        The engine accepts the order only if it has accepted exactly this
        many orders, so that a delayed order has no effect.
    """

    model: str
    version: int
    mode: Mode
    leader: str
    fence: int
    orders_taken: int


@dataclasses.dataclass(frozen=True)
class Taken:
    """The engine carries out the order, or has the weights already."""


@dataclasses.dataclass(frozen=True)
class Busy:
    """Another order is in progress, or was accepted in between."""


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The engine has seen a higher fencing number."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The engine does not accept such an order."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """The order may be carried out, now or later."""

    detail: str


Outcome = Taken | Busy | Superseded | Refused | Lost
