"""The store instance, seen by an agent: list, look at and delete blocks.

The bytes of blocks never come here; engines read and write them.
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec
import urllib3

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
POOL_SIZE = 8
MAX_LISTED = 500
HTTP_OK = 200
HTTP_MIN_ERROR = 300


@dataclasses.dataclass(frozen=True)
class StoredBlock:
    """One block as the store holds it.

    Attributes
    ----------
    name
        Its name.
    bytes
        Bytes that are there.
    checksum
        blake2b-16 in hex of the bytes that are there.
    time_ms
        When it was written, by the store's clock, ms since the epoch.
    """

    name: str
    bytes: int
    checksum: str
    time_ms: float


@dataclasses.dataclass(frozen=True)
class Page:
    """Part of a listing, in order of name.

    Attributes
    ----------
    boot_id
        The store's boot.
    blocks
        The blocks.
    more
        Whether others follow.
    """

    boot_id: str
    blocks: tuple[StoredBlock, ...]
    more: bool


@dataclasses.dataclass(frozen=True)
class StoreState:
    """How full a store is.

    Attributes
    ----------
    boot_id
        The store's boot.
    used, capacity
        Bytes.
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
    """The store did not answer, or not as its protocol says."""


Body = typing.TypeVar("Body")


class StoreClient:
    """Calls to store instances.

    Parameters
    ----------
    timeout_s
        Bound on one call.
    """

    def __init__(self, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.timeout_s = timeout_s
        # Library retries stay off: the caller decides what a lost answer
        # means, and a store that is away must be noticed at once.
        self.pool = urllib3.PoolManager(
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
        """Return the validated body of a GET."""
        call_timeout_s = self.timeout_s if timeout_s is None else timeout_s
        response = self.request("GET", url, call_timeout_s)
        try:
            return msgspec.json.decode(response.data, type=body_type)
        except msgspec.DecodeError as error:
            raise StoreUnavailableError(str(error)) from error

    def state(self, address: str) -> StoreState:
        """Return how full the store is.

        Raises
        ------
        StoreUnavailableError
            When it does not answer properly.
        """
        return self.get(f"http://{address}/state", StoreState)

    def listing(
        self,
        address: str,
        after: str,
        limit: int = MAX_LISTED,
        timeout_s: float | None = None,
    ) -> Page:
        """Return blocks whose names follow on ``after``.

        Raises
        ------
        StoreUnavailableError
            When the store does not answer properly.
        """
        url = f"http://{address}/blocks?after={after}&max={limit}"
        raw = self.get(url, RawPage, timeout_s)
        blocks = tuple(StoredBlock(*row) for row in raw.blocks)
        return Page(raw.boot_id, blocks, raw.more)

    def delete(self, address: str, block: str) -> None:
        """Delete a block; it is gone afterwards, also if it was before.

        Raises
        ------
        StoreUnavailableError
            When the store did not confirm it.
        """
        url = f"http://{address}/blocks/{block}"
        self.request("DELETE", url, self.timeout_s)
