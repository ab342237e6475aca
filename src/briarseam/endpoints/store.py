"""Client of a store, for an agent: list and delete blocks, read its state.

Engines read and write the bytes of blocks; the agent does not handle them.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec
import urllib3

from briarseam import bounded_http

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
POOL_SIZE = 8
MAX_LISTED = 500
HTTP_OK = 200
HTTP_MIN_ERROR = 300


@dataclasses.dataclass(frozen=True)
class StoredBlock:
    """A block at a store.

    Attributes
    ----------
    name
        Name of the block.
    bytes
        Number of stored bytes.
    checksum
        blake2b-16 of the stored bytes, in hex.
    time_ms
        When it was written, by the store's clock, in ms since the Unix
        epoch.
    """

    name: str
    bytes: int
    checksum: str
    time_ms: float


@dataclasses.dataclass(frozen=True)
class Page:
    """Part of a listing, ordered by name.

    Attributes
    ----------
    boot_id
        Identifies the store's start.
    blocks
        The blocks.
    more
        Whether more blocks follow.
    """

    boot_id: str
    blocks: tuple[StoredBlock, ...]
    more: bool


@dataclasses.dataclass(frozen=True)
class StoreState:
    """Fill level of a store.

    Attributes
    ----------
    boot_id
        Identifies the store's start.
    used, capacity
        Used and total space, in bytes.
    """

    boot_id: str
    used: int
    capacity: int


@dataclasses.dataclass(frozen=True)
class RawPage:
    """Body of a listing."""

    boot_id: str
    blocks: tuple[tuple[str, int, str, float], ...]
    more: bool


class StoreUnavailableError(Exception):
    """The store gave no answer, or an invalid one."""


Body = typing.TypeVar("Body")


class StoreClient:
    """Client of stores.

    Parameters
    ----------
    timeout_s
        Timeout of a call, in seconds.
    """

    def __init__(self, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.timeout_s = timeout_s
        # No retries by the library: the caller decides what a lost answer
        # means, and an unavailable store must be detected at once.
        self.pool = bounded_http.pool_manager(
            maxsize=POOL_SIZE, num_pools=64, retries=False
        )

    def request(
        self, method: str, url: str, timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        """Return a response or raise :class:`StoreUnavailableError`."""
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), total=timeout_s
        )
        try:
            response = self.pool.request(method, url, timeout=timeout)
        except urllib3.exceptions.HTTPError as error:
            raise StoreUnavailableError(str(error)) from error
        if response.status >= HTTP_MIN_ERROR:
            raise StoreUnavailableError(f"answered {response.status}")
        return response

    def get(
        self, url: str, body_type: type[Body], timeout_s: float | None = None
    ) -> Body:
        """Return the decoded and validated body of a GET request."""
        call_timeout_s = self.timeout_s if timeout_s is None else timeout_s
        response = self.request("GET", url, call_timeout_s)
        try:
            return msgspec.json.decode(response.data, type=body_type)
        except msgspec.DecodeError as error:
            raise StoreUnavailableError(str(error)) from error

    def state(self, address: str) -> StoreState:
        """Return the fill level of a store.

        Raises
        ------
        StoreUnavailableError
            If it gives no valid answer.
        """
        return self.get(f"http://{address}/state", StoreState)

    def listing(
        self,
        address: str,
        after: str,
        limit: int = MAX_LISTED,
        timeout_s: float | None = None,
    ) -> Page:
        """Return the blocks whose names sort after ``after``.

        Raises
        ------
        StoreUnavailableError
            If the store gives no valid answer.
        """
        url = f"http://{address}/blocks?after={after}&max={limit}"
        raw = self.get(url, RawPage, timeout_s)
        blocks = tuple(StoredBlock(*row) for row in raw.blocks)
        return Page(raw.boot_id, blocks, raw.more)

    def delete(self, address: str, block: str) -> None:
        """Delete a block; succeeds if it does not exist.

        Raises
        ------
        StoreUnavailableError
            If the store did not confirm the deletion.
        """
        url = f"http://{address}/blocks/{block}"
        self.request("DELETE", url, self.timeout_s)
