"""Calls to engines and stores of KV cache that are no callers' requests."""

from __future__ import annotations

import typing

import msgspec
import urllib3

from briarseam import malformed
from briarseam import sockets
from briarseam.discovery import starts
from briarseam.platform import decoding
from briarseam.platform import names
from briarseam.weights import orders

# Reports need no slot and are answered in some ms.
CALL_TIMEOUT_S = 0.8
OK = 200
OP_VERSION = "version"
SWAP_MODES = {
    orders.Mode.FINISH: "queue",
    orders.Mode.EVICT: "evict",
    orders.Mode.RETAIN: "retain",
}


class WireModel(msgspec.Struct):
    """A model that an engine serves."""

    name: str
    version: decoding.Number = 0


class WireReport(msgspec.Struct):
    """What an engine reports of itself."""

    models: list[WireModel] = []
    # Whether an order is being carried out; no measure of load.
    busy: bool = False
    # Orders accepted since the engine's start.
    seq: decoding.Number = 0
    # Unix time of the engine's start, in ms; left out by older ones.
    born: decoding.Number = starts.UNKNOWN_MS


def ignore_start(start: starts.Start) -> None:
    """Tell nobody of a start."""


class EngineClient:
    """Calls engines; thread-safe.

    Parameters
    ----------
    tally
        Notes reports that can't be read.
    on_start
        Called with the start that answered where it is not the expected
        one.
    """

    def __init__(
        self,
        tally: malformed.Tally | None = None,
        on_start: typing.Callable[[starts.Start], None] = ignore_start,
    ) -> None:
        self.tally = tally or malformed.Tally()
        self.on_start = on_start
        self.pool = urllib3.PoolManager(
            maxsize=2, retries=False, socket_options=sockets.OPTIONS
        )

    def report(self, address: str, endpoint: str) -> orders.Report:
        """Return what an engine reports.

        Raises
        ------
        EngineUnavailableError
            When it does not answer properly, or is another one now.
        """
        response = self.call("GET", address, names.REPORT_PATH, endpoint)
        if response.status != OK:
            raise orders.EngineUnavailableError(
                f"the report answered {response.status}"
            )
        try:
            wire = decoding.decode(response.data, WireReport)
        except decoding.MalformedError as error:
            self.tally.note(malformed.Kind.ENGINE_REPORT, endpoint, error)
            raise orders.EngineUnavailableError(str(error)) from error
        self.check_start(endpoint, wire.born)
        return orders.Report(
            versions={model.name: model.version for model in wire.models},
            changing=wire.busy,
            orders_taken=wire.seq,
        )

    def check_start(self, endpoint: str, born_ms: int) -> None:
        """Raise for a report of another start than the expected one.

        Guard: an engine that started again under its name takes calls that
        were meant for the start before.  Its weights and its number of
        orders must not be noted as the other's.
        """
        expected = starts.parse(endpoint)
        if born_ms in (starts.UNKNOWN_MS, expected.born_ms):
            return
        self.on_start(starts.Start(expected.name, born_ms))
        raise orders.EngineUnavailableError(
            f"the start of {born_ms} answered for {endpoint}"
        )

    def order(
        self, address: str, endpoint: str, order: orders.VersionOrder
    ) -> orders.Outcome:
        """Order new weights; tell what is known to have become of it."""
        body = {
            "op": OP_VERSION,
            "model": order.model,
            "version": order.version,
            "swapMode": SWAP_MODES[order.mode],
            "holder": order.leader,
            "fence": order.fence,
            "expected": order.orders_taken,
        }
        try:
            response = self.call(
                "POST",
                address,
                names.ORDER_PATH,
                endpoint,
                msgspec.json.encode(body),
            )
        except orders.EngineUnavailableError as error:
            return orders.Lost(str(error))
        match response.status:
            case 200 | 202:
                return orders.Taken()
            case 409:
                return orders.Busy()
            case 412:
                return orders.Superseded()
            case status:
                return orders.Refused(f"the order was answered {status}")

    def call(
        self,
        method: str,
        address: str,
        path: str,
        endpoint: str,
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Make one call to the engine that is expected at an address."""
        headers = {names.EXPECT_ENDPOINT: starts.parse(endpoint).name}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            return self.pool.request(
                method,
                f"http://{address}{path}",
                body=body,
                headers=headers,
                timeout=CALL_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError as error:
            raise orders.EngineUnavailableError(
                f"{type(error).__name__}: {error}"
            ) from error
