"""Calls to stores of kept KV cache."""

from __future__ import annotations

import functools
import typing

import msgspec
import urllib3

from briarseam import malformed
from briarseam import sockets
from briarseam.discovery import starts
from briarseam.placement import store_index
from briarseam.placement import store_watch
from briarseam.platform import decoding
from briarseam.platform import names

MS = 1000.0
# Beyond the wait that was asked for; an answer takes some ms.
RESPONSE_SLACK_S = 0.6
LIST_TIMEOUT_S = 2.0
OK = 200
OK_BELOW = 300
REMOVED_SIGN = "-"


class WireEvent(msgspec.Struct, array_like=True):
    """One change; the tokens are those stored now."""

    number: int
    sign: typing.Literal["+", "-"]
    salt: str
    part: str
    tokens: decoding.Tokens
    model: str


class WireEvents(msgspec.Struct):
    """Changes; each row is decoded by itself."""

    epoch: decoding.Number
    next: decoding.Number
    lost: bool = False
    events: list[msgspec.Raw] = []
    # Unix time of the store's start, in ms; left out by older ones.
    born: decoding.Number = starts.UNKNOWN_MS


class WirePart(msgspec.Struct, array_like=True):
    """One whole part."""

    salt: str
    part: str
    tokens: decoding.Tokens
    model: str


class WireList(msgspec.Struct):
    """Whole parts; each row is decoded by itself."""

    epoch: decoding.Number
    next: decoding.Number
    held: list[msgspec.Raw] = []
    # Unix time of the store's start, in ms; left out by older ones.
    born: decoding.Number = starts.UNKNOWN_MS


class CacheStoreClient:
    """Calls stores of KV cache; thread-safe.

    Parameters
    ----------
    tally
        Notes rows that can't be read.  A store's other rows hold: to
        forget all that it keeps would have every prompt read again.
    """

    def __init__(self, tally: malformed.Tally | None = None) -> None:
        self.tally = tally or malformed.Tally()
        self.pool = urllib3.PoolManager(
            maxsize=1, retries=False, socket_options=sockets.OPTIONS
        )

    def content(self, address: str) -> store_index.Content:
        """Return all that a store keeps whole.

        Raises
        ------
        StoreUnavailableError
            When it does not answer properly.
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
        return store_index.Content(wire.epoch, wire.next, parts, wire.born)

    def changes(
        self, address: str, since: int, wait_s: float
    ) -> store_index.Changes:
        """Return changes from a number on, waiting for the first.

        Raises
        ------
        StoreUnavailableError
            When it does not answer properly.
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
            wire.epoch, wire.next, wire.lost, events, wire.born
        )

    def decode_rows(
        self,
        address: str,
        rows: list[msgspec.Raw],
        kind: type[decoding.Decoded],
    ) -> list[decoding.Decoded]:
        """Return those rows of a store's answer that can be read."""
        record_malformed = functools.partial(
            self.tally.note, malformed.Kind.CACHE_ROW, address
        )
        return decoding.decode_rows(rows, kind, record_malformed)

    def free(
        self,
        address: str,
        epoch: int,
        parts: typing.Sequence[tuple[str, str]],
    ) -> None:
        """Free parts at once, if the store has not started anew.

        Raises
        ------
        StoreUnavailableError
            When it does not confirm that.
        """
        body = {"parts": [list(part) for part in parts], "epoch": epoch}
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
                f"freeing was answered {response.status}"
            )

    def get(
        self,
        url: str,
        headers: dict[str, str],
        timeout_s: float,
        kind: type[decoding.Decoded],
    ) -> decoding.Decoded:
        """Return the decoded answer to a question."""
        try:
            response = self.pool.request(
                "GET", url, headers=headers, timeout=timeout_s
            )
            if response.status != OK:
                raise store_watch.StoreUnavailableError(
                    f"answered {response.status}"
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
