"""Client for the reports of engines and the orders to them."""

from __future__ import annotations

import typing

import msgspec
import urllib3

from briarseam import bounded_http
from briarseam import malformed
from briarseam import sockets
from briarseam.discovery import starts
from briarseam.platform import decoding
from briarseam.platform import names
from briarseam.weights import orders

# Reports need no slot and are answered within a few ms.
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
    """An engine's report of its state."""

    models: list[WireModel] = []
    # Whether an order is in progress; unrelated to load.
    busy: bool = False
    # Number of orders accepted since the engine's start.
    seq: decoding.Number = 0
    # Unix time of the engine's start, in ms; older engines omit it.
    born: decoding.Number = starts.UNKNOWN_MS


def ignore_start(start: starts.Start) -> None:
    """Ignore a start; the default of the callbacks."""


class EngineClient:
    """Client for engines; thread-safe.

    Parameters
    ----------
    tally
        Records malformed reports.
    on_start
        Called with the start that answered if it is not the expected one.
    on_leaving
        Called with each start whose answer says that it is leaving.
    """

    def __init__(
        self,
        tally: malformed.Tally | None = None,
        on_start: typing.Callable[[starts.Start], None] = ignore_start,
        on_leaving: typing.Callable[[starts.Start], None] = ignore_start,
    ) -> None:
        self.tally = tally or malformed.Tally()
        self.on_start = on_start
        self.on_leaving = on_leaving
        self.pool = bounded_http.pool_manager(
            maxsize=2, retries=False, socket_options=sockets.OPTIONS
        )

    def report(self, address: str, endpoint: str) -> orders.Report:
        """Return an engine's report.

        Raises
        ------
        EngineUnavailableError
            If there is no valid answer, or another start answers.
        """
        response = self.call("GET", address, names.REPORT_PATH, endpoint)
        if response.status != OK:
            raise orders.EngineUnavailableError(
                f"report returned status {response.status}"
            )
        try:
            wire = decoding.decode(response.data, WireReport)
        except decoding.MalformedError as error:
            self.tally.note(malformed.Kind.ENGINE_REPORT, endpoint, error)
            raise orders.EngineUnavailableError(str(error)) from error
        self.check_start(endpoint, wire.born)
        # Only now is it known which start has answered.
        if decoding.header_flag(response.headers.get(names.LEAVING)):
            self.on_leaving(starts.parse(endpoint))
        return orders.Report(
            versions={model.name: model.version for model in wire.models},
            changing=wire.busy,
            orders_taken=wire.seq,
        )

    def check_start(self, endpoint: str, born_ms: int) -> None:
        """Raise if a report is not from the expected start of an engine.

        Guard: an engine that restarts under its name answers calls that are
        addressed to its former start.  Its weights and its number of orders
        must not be recorded for the former start.
        """
        expected = starts.parse(endpoint)
        if born_ms in (starts.UNKNOWN_MS, expected.born_ms):
            return
        self.on_start(starts.Start(expected.name, born_ms))
        raise orders.EngineUnavailableError(
            f"start at {born_ms} ms answered for {endpoint}"
        )

    def order(
        self, address: str, endpoint: str, order: orders.VersionOrder
    ) -> orders.Outcome:
        """Send an order for new weights and return its outcome."""
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
                return orders.Refused(f"order returned status {status}")

    def call(
        self,
        method: str,
        address: str,
        path: str,
        endpoint: str,
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Call the engine that is expected at an address."""
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
