"""Bodies, events and answers of a stand-in engine's runs and orders."""

from __future__ import annotations

import dataclasses
import typing

import msgspec


@dataclasses.dataclass(frozen=True)
class RunRequest:
    """Body of ``POST /runs``.

    Attributes
    ----------
    run_id
        Never used before on this engine.
    model
        The model's name.
    prompt
        The whole prompt.
    max_tokens
        Length of the whole answer, tokens of ``prior`` included.
    version
        The weight version that must be loaded; ``None`` for any.
    adapter
        The adapter that must be loaded; ``None`` for the plain model.
    prior
        Tokens of the answer that the caller already has.
    priority
        0 goes first, 9 last.
    organisation
        Opaque salt of the prefix cache.
    """

    run_id: typing.Annotated[str, msgspec.Meta(min_length=1)]
    model: str
    prompt: str
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)]
    version: str | None = None
    adapter: str | None = None
    prior: tuple[str, ...] = ()
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=9)] = 5
    organisation: str = ""


@dataclasses.dataclass(frozen=True)
class Start:
    """Data of the ``start`` event."""

    run_id: str
    version: str
    cached_tokens: int
    prompt_tokens: int


@dataclasses.dataclass(frozen=True)
class Token:
    """Data of a ``token`` event."""

    run_id: str
    offset: int
    token: str


@dataclasses.dataclass(frozen=True)
class Done:
    """Data of the ``done`` event."""

    run_id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Failure:
    """Data of the ``error`` event."""

    reason: str


@dataclasses.dataclass(frozen=True)
class OtherVersion:
    """Answer to a run for a version that is not loaded."""

    version: str | None


@dataclasses.dataclass(frozen=True)
class NoAdapter:
    """Answer to a run for an adapter that is not loaded."""

    adapters: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Duplicate:
    """Answer to a run whose id was used before."""

    duplicate: bool = True


@dataclasses.dataclass(frozen=True)
class Cancelled:
    """Answer to a cancel; false when the run had ended."""

    cancelled: bool


@dataclasses.dataclass(frozen=True)
class Runs:
    """How often each run id was started since boot."""

    runs: dict[str, int]


@dataclasses.dataclass(frozen=True)
class Order:
    """Body of ``POST /orders``.

    Attributes
    ----------
    order_id
        Names the order in the answer.
    fence
        Fencing number of whoever gives it.
    kind
        What to do; orders say what should be, so repeating one is harmless.
    model
        The model to load, or that an adapter is for.
    version
        The weight version to load.
    adapter
        The adapter to load.
    role
        The role to take.
    weights
        ``IP:PORT`` of the weight store; ``None`` fetches nothing.
    """

    order_id: str
    fence: int
    kind: typing.Literal["load", "adapter", "role"]
    model: str = ""
    version: str = ""
    adapter: str = ""
    role: str = ""
    weights: str | None = None


@dataclasses.dataclass(frozen=True)
class OrderAnswer:
    """Answer to an order that was taken."""

    order_id: str
    state: typing.Literal["loading", "done"]


@dataclasses.dataclass(frozen=True)
class Fenced:
    """Answer to an order whose fencing number is too low."""

    fence: int


@dataclasses.dataclass(frozen=True)
class ModelState:
    """State of one model."""

    version: str | None
    loading: str | None = None
    progress: float = 0
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class EngineState:
    """Answer of ``GET /state``."""

    boot_id: str
    models: dict[str, ModelState]
    fence: int
    fencing: bool
    role: str
