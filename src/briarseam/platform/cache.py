"""Client for stores of kept KV cache."""

from __future__ import annotations

import functools
import time
import typing

import msgspec
import urllib3

from briarseam import bounded_http
from briarseam import malformed
from briarseam import sockets
from briarseam.discovery import starts
from briarseam.placement import store_index
from briarseam.placement import store_watch
from briarseam.platform import decoding
from briarseam.platform import names

MS = 1000.0
# Of one store: a long poll, and a call that frees parts beside it.
CONNECTIONS = 2
# Response time that is allowed beyond the requested wait; a store answers
# within a few ms.
RESPONSE_SLACK_S = 0.6
LIST_TIMEOUT_S = 2.0
OK = 200
OK_BELOW = 300
REMOVED_SIGN = "-"
# A later time is not one in ms: it would be in the year 2286.
MAX_CLOCK_MS = 1e13
NO_CLOCK = msgspec.Raw(b"0")

ClockMs = typing.Annotated[float, msgspec.Meta(ge=0, lt=MAX_CLOCK_MS)]


class WireEvent(msgspec.Struct, array_like=True):
    """One change; ``tokens`` is the number stored after it."""

    number: int
    sign: typing.Literal["+", "-"]
    salt: str
    part: str
    tokens: decoding.Tokens
    model: str


class WireEvents(msgspec.Struct):
    """Changes; rows are decoded separately."""

    epoch: decoding.Number
    next: decoding.Number
    lost: bool = False
    events: list[msgspec.Raw] = []
    # Unix time of the store's start, in ms; older stores omit it.
    born: decoding.Number = starts.UNKNOWN_MS
    # What the clock of all endpoints and stores shows.
    clock_ms: msgspec.Raw = NO_CLOCK


class WirePart(msgspec.Struct, array_like=True):
    """A part that is stored completely."""

    salt: str
    part: str
    tokens: decoding.Tokens
    model: str


class WireList(msgspec.Struct):
    """Completely stored parts; rows are decoded separately."""

    epoch: decoding.Number
    next: decoding.Number
    held: list[msgspec.Raw] = []
    # Unix time of the store's start, in ms; older stores omit it.
    born: decoding.Number = starts.UNKNOWN_MS
    # What the clock of all endpoints and stores shows.
    clock_ms: msgspec.Raw = NO_CLOCK


class CacheStoreClient:
    """Client for stores of KV cache; thread-safe.

    Parameters
    ----------
    tally
        Records malformed rows.  The other rows of a store stay valid:
        discarding its whole content would make engines process every
        prompt again.
    """

    def __init__(self, tally: malformed.Tally | None = None) -> None:
        self.tally = tally or malformed.Tally()
        self.pool = bounded_http.pool_manager(
            maxsize=CONNECTIONS, retries=False, socket_options=sockets.OPTIONS
        )

    def content(self, address: str) -> store_index.Content:
        """Return all parts that a store holds completely.

        Raises
        ------
        StoreUnavailableError
            If the store gives no valid answer.
        """
        wire = self.get(
            f"http://{address}{names.CACHE_LIST_PATH}",
            {},
            LIST_TIMEOUT_S,
            WireList,
        )
        parts = tuple(
            store_index.PartEvent(row.salt, row.part, row.tokens)
            for row in self.decode_rows(address, wire.held, WirePart)
        )
        return store_index.Content(
            wire.epoch,
            wire.next,
            parts,
            self.check_start(address, wire.born),
            self.decode_clock(address, wire.clock_ms),
        )

    def changes(
        self, address: str, since: int, wait_s: float
    ) -> store_index.Changes:
        """Return the changes from a number on; wait for the first.

        Raises
        ------
        StoreUnavailableError
            If the store gives no valid answer.
        """
        wire = self.get(
            f"http://{address}{names.CACHE_EVENTS_PATH}?since={since}",
            {names.WAIT_MS: str(int(wait_s * MS))},
            wait_s + RESPONSE_SLACK_S,
            WireEvents,
        )
        events = tuple(
            store_index.PartEvent(
                row.salt,
                row.part,
                0 if row.sign == REMOVED_SIGN else row.tokens,
            )
            for row in self.decode_rows(address, wire.events, WireEvent)
        )
        return store_index.Changes(
            wire.epoch,
            wire.next,
            wire.lost,
            events,
            self.check_start(address, wire.born),
            self.decode_clock(address, wire.clock_ms),
        )

    def check_start(self, address: str, born_ms: int) -> int:
        """Return the start time of a store; unknown if far in the future.

        Guard: all later answers would count as those of a former start.
        """
        if starts.is_plausible(born_ms, time.time()):
            return born_ms
        self.tally.note(
            malformed.Kind.CACHE_ROW, address, f"start at {born_ms} ms"
        )
        return starts.UNKNOWN_MS

    def decode_clock(self, address: str, shown: msgspec.Raw) -> float:
        """Return what a clock showed; unknown if that is malformed.

        The content of the store is valid all the same.
        """
        try:
            return decoding.decode(bytes(shown), ClockMs)
        except decoding.MalformedError as error:
            self.tally.note(malformed.Kind.CACHE_ROW, address, error)
            return store_index.UNKNOWN_CLOCK_MS

    def decode_rows(
        self,
        address: str,
        rows: list[msgspec.Raw],
        kind: type[decoding.Decoded],
    ) -> list[decoding.Decoded]:
        """Return the well-formed rows of a store's answer."""
        record_malformed = functools.partial(
            self.tally.note, malformed.Kind.CACHE_ROW, address
        )
        return decoding.decode_rows(rows, kind, record_malformed)

    def free(
        self,
        address: str,
        epoch: int,
        parts: typing.Sequence[tuple[str, str]],
        until_ms: float,
    ) -> None:
        """Free parts at once.

        Parameters
        ----------
        address
            Address of the store.
        epoch
            Epoch that the parts belong to; nothing is freed in another one.
        parts
            Salt and id of each part.
        until_ms
            Time by the endpoints' clock from which nothing is freed: the
            call may reach the store late.

        Raises
        ------
        StoreUnavailableError
            If the store does not confirm it.
        """
        body = {
            "parts": [list(part) for part in parts],
            "epoch": epoch,
            "until_ms": int(until_ms),
        }
        try:
            response = self.pool.request(
                "POST",
                f"http://{address}{names.CACHE_FREE_PATH}",
                body=msgspec.json.encode(body),
                headers={"Content-Type": "application/json"},
                timeout=RESPONSE_SLACK_S,
            )
        except urllib3.exceptions.HTTPError as error:
            raise store_watch.StoreUnavailableError(str(error)) from error
        if not OK <= response.status < OK_BELOW:
            raise store_watch.StoreUnavailableError(
                f"request to free parts returned status {response.status}"
            )

    def get(
        self,
        url: str,
        headers: dict[str, str],
        timeout_s: float,
        kind: type[decoding.Decoded],
    ) -> decoding.Decoded:
        """Return the decoded answer to a GET request."""
        try:
            response = self.pool.request(
                "GET", url, headers=headers, timeout=timeout_s
            )
            if response.status != OK:
                raise store_watch.StoreUnavailableError(
                    f"store returned status {response.status}"
                )
            return decoding.decode(response.data, kind)
        except urllib3.exceptions.HTTPError as error:
            raise store_watch.StoreUnavailableError(
                f"{type(error).__name__}: {error}"
            ) from error
        except decoding.MalformedError as error:
            self.tally.note(malformed.Kind.CACHE_ANSWER, url, error)
            raise store_watch.StoreUnavailableError(
                f"malformed answer: {error}"
            ) from error
