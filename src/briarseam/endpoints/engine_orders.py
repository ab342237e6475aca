"""The model engine, seen by an agent: its reported state, and orders.

One small adapter, so that another engine's protocol changes this module
only.
"""

from __future__ import annotations

import dataclasses
import json
import typing

import urllib3

from briarseam.endpoints import reading

DEFAULT_TIMEOUT_S = 1.0
POOL_SIZE = 64
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
HTTP_CLIENT_ERRORS = range(400, 500)


@dataclasses.dataclass(frozen=True)
class ModelState:
    """What an engine reports of one model.

    Attributes
    ----------
    version
        Weight version loaded; ``None`` for none.
    loading
        Version being loaded; ``None`` for none.
    progress
        How far that load is, 0 to 1.
    adapters
        Adapters loaded.
    """

    version: str | None = None
    loading: str | None = None
    progress: float = 0.0
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What an engine reports of itself.

    Attributes
    ----------
    boot_id
        Another one after each restart.
    models
        By name.
    fence
        Highest fencing number it has taken.
    fencing
        Whether it refuses lower ones.
    role
        Its present role.
    """

    boot_id: str
    models: dict[str, ModelState]
    fence: int = 0
    fencing: bool = False
    role: str = ""


@dataclasses.dataclass(frozen=True)
class Load:
    """Serve this weight version of the model."""

    model: str
    version: str
    weights: str | None


@dataclasses.dataclass(frozen=True)
class LoadAdapter:
    """Have this adapter besides the model's weights."""

    model: str
    adapter: str


@dataclasses.dataclass(frozen=True)
class TakeRole:
    """Take this role."""

    role: str


Order = Load | LoadAdapter | TakeRole


@dataclasses.dataclass(frozen=True)
class Taken:
    """The engine has taken the order."""

    loading: bool


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The engine has taken orders under a higher fencing number."""

    fence: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """The engine has certainly not taken the order."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """The order may have been taken, now or later."""

    detail: str


Outcome = Taken | Superseded | Refused | Lost


class StateUnavailableError(Exception):
    """The engine did not report its state."""


class OrderClient:
    """Reads engines' states and gives them orders.

    Parameters
    ----------
    timeout_s
        Bound on one call, in seconds.
    """

    def __init__(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self.timeout_s = timeout_s
        # Library retries stay off: a repeated order may arrive after a
        # newer one of the same holder.
        self.pool = urllib3.PoolManager(
            num_pools=POOL_SIZE, maxsize=2, retries=False
        )

    def state(self, address: str) -> EngineState:
        """Return what the engine reports of itself right now.

        Raises
        ------
        StateUnavailableError
            When it does not answer properly in time.
        """
        return reading.read(
            self.pool,
            f"http://{address}/state",
            EngineState,
            StateUnavailableError,
            self.timeout_s,
        )

    def give(
        self, address: str, order: Order, order_id: str, fence: int
    ) -> Outcome:
        """Give an engine one order; it is not repeated here.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        order
            What should be so.
        order_id
            Names the order in logs.
        fence
            Fencing number under which it is given.
        """
        body = {"order_id": order_id, "fence": fence, **order_fields(order)}
        try:
            response = self.pool.request(
                "POST",
                f"http://{address}/orders",
                body=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                timeout=self.timeout_s,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return Refused(str(error))
        except urllib3.exceptions.HTTPError as error:
            return Lost(str(error))
        return outcome_of(response)


def order_fields(order: Order) -> dict[str, typing.Any]:
    """Return an order's fields as the protocol names them."""
    match order:
        case Load():
            kind = "load"
        case LoadAdapter():
            kind = "adapter"
        case TakeRole():
            kind = "role"
    return {"kind": kind, **dataclasses.asdict(order)}


def outcome_of(response: urllib3.BaseHTTPResponse) -> Outcome:
    """Return what an engine's answer to an order says."""
    if response.status in (HTTP_OK, HTTP_ACCEPTED):
        return Taken(loading=response.status == HTTP_ACCEPTED)
    detail = f"answered {response.status}"
    if response.status == HTTP_CONFLICT:
        try:
            return Superseded(int(response.json()["fence"]))
        except (ValueError, KeyError, TypeError):
            return Refused(detail)
    if response.status in HTTP_CLIENT_ERRORS:
        return Refused(detail)
    return Lost(detail)
