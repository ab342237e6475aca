"""Client of a model engine for an agent: its state, and orders to it.

Only this adapter depends on the protocol of the engine's orders.
"""

from __future__ import annotations

import dataclasses
import json
import typing

import urllib3

from briarseam import bounded_http
from briarseam.endpoints import reading

DEFAULT_TIMEOUT_S = 1.0
POOL_SIZE = 64
HTTP_OK = 200
HTTP_ACCEPTED = 202
HTTP_CONFLICT = 409
HTTP_CLIENT_ERRORS = range(400, 500)


@dataclasses.dataclass(frozen=True)
class ModelState:
    """State of one model at an engine.

    Attributes
    ----------
    version
        Loaded weight version, if any.
    loading
        Weight version that is being loaded, if any.
    progress
        Progress of that load, 0 to 1.
    adapters
        Loaded adapters.
    """

    version: str | None = None
    loading: str | None = None
    progress: float = 0.0
    adapters: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class EngineState:
    """State that an engine reports.

    Attributes
    ----------
    boot_id
        Identifies the engine's start.
    models
        States of its models, by name.
    fence
        Highest fencing number of the orders that it accepted.
    fencing
        Whether it refuses orders with lower fencing numbers.
    role
        Its current role.
    """

    boot_id: str
    models: dict[str, ModelState]
    fence: int = 0
    fencing: bool = False
    role: str = ""


@dataclasses.dataclass(frozen=True)
class Load:
    """Order to load and serve a weight version of a model."""

    model: str
    version: str
    weights: str | None


@dataclasses.dataclass(frozen=True)
class LoadAdapter:
    """Order to load an adapter in addition to the model's weights."""

    model: str
    adapter: str


@dataclasses.dataclass(frozen=True)
class TakeRole:
    """Order to take a role."""

    role: str


Order = Load | LoadAdapter | TakeRole


@dataclasses.dataclass(frozen=True)
class Taken:
    """The engine accepted the order."""

    loading: bool


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The engine accepted an order with a higher fencing number before."""

    fence: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """The engine did not accept the order."""

    detail: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """The engine may have accepted the order, or may still do so."""

    detail: str


Outcome = Taken | Superseded | Refused | Lost


class StateUnavailableError(Exception):
    """The engine did not report its state."""


class OrderClient:
    """Reads engines' states and sends orders to them.

    Parameters
    ----------
    timeout_s
        Timeout of a call, in seconds.
    """

    def __init__(self, timeout_s: float = DEFAULT_TIMEOUT_S) -> None:
        self.timeout_s = timeout_s
        # No retries by the library: a repeated order may arrive after a
        # newer one of the same lease holder.
        self.pool = bounded_http.pool_manager(
            num_pools=POOL_SIZE, maxsize=2, retries=False
        )

    def state(self, address: str) -> EngineState:
        """Return the current state of an engine.

        Raises
        ------
        StateUnavailableError
            If it gives no valid answer in time.
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
        """Send an order to an engine, without retries.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        order
            The order.
        order_id
            Identifies the order in logs.
        fence
            Fencing number of the lease under which it is given.
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
    """Return the fields of an order for the engine's protocol."""
    match order:
        case Load():
            kind = "load"
        case LoadAdapter():
            kind = "adapter"
        case TakeRole():
            kind = "role"
    return {"kind": kind, **dataclasses.asdict(order)}


def outcome_of(response: urllib3.BaseHTTPResponse) -> Outcome:
    """Return the outcome of an order from the engine's response."""
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
