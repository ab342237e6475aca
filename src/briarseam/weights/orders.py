"""Orders to engines, and what can become of them."""

from __future__ import annotations

import dataclasses
import enum


class Mode(enum.Enum):
    """What happens to the runs of an engine that takes new weights."""

    FINISH = "finish"
    EVICT = "evict"
    RETAIN = "retain"


class EngineUnavailableError(Exception):
    """An engine did not answer, or is not the one that was expected."""


@dataclasses.dataclass(frozen=True)
class Report:
    """What an engine reports of itself.

    Attributes
    ----------
    versions
        Weight version by model.
    changing
        Whether an order is being carried out.
    orders_taken
        Orders that it has accepted since its start.
    """

    versions: dict[str, int]
    changing: bool
    orders_taken: int


@dataclasses.dataclass(frozen=True)
class VersionOrder:
    """An order to take new weights.

    Attributes
    ----------
    model, version
        Which weights.
    mode
        What happens to runs under way.
    leader
        Who orders.
    fence
        Fencing number under which it is ordered.
    orders_taken
        The engine takes it only if it has accepted just so many orders,
        so that a late one changes nothing.
    """

    model: str
    version: int
    mode: Mode
    leader: str
    fence: int
    orders_taken: int


@dataclasses.dataclass(frozen=True)
class Taken:
    """The engine carries it out, or has what was ordered."""


@dataclasses.dataclass(frozen=True)
class Busy:
    """Another order is under way, or was taken meanwhile."""


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The engine has seen a higher fencing number."""


@dataclasses.dataclass(frozen=True)
class Refused:
    """The engine does not take such an order."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """The order may be carried out, now or later."""

    detail: str


Outcome = Taken | Busy | Superseded | Refused | Lost
