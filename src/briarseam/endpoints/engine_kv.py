"""The model engine's KV transfers, ordered by an agent.

The engine reads blocks from a store or writes them there; the bytes never
pass through here.
"""

from __future__ import annotations

import dataclasses
import enum

import msgspec
import urllib3

CONNECT_TIMEOUT_S = 0.5
POOL_SIZE = 16
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_BAD_GATEWAY = 502


class Fault(enum.StrEnum):
    """Why a block did not come."""

    MISSING = "missing"
    CORRUPT = "corrupt"
    UNREACHABLE = "unreachable"
    ENGINE = "engine"


@dataclasses.dataclass(frozen=True)
class ImportBlock:
    """One block to import.

    Attributes
    ----------
    digest
        Chain digest by which the engine names the prefix, hex.
    store
        ``ip:port`` of the store.
    block
        Name there.
    checksum
        blake2b-16 in hex of its bytes.
    """

    digest: str
    store: str
    block: str
    checksum: str


@dataclasses.dataclass(frozen=True)
class ImportRequest:
    """Body of ``POST /kv/import``."""

    model: str
    version: str
    blocks: tuple[ImportBlock, ...]


@dataclasses.dataclass(frozen=True)
class ImportFailure:
    """The block at which an import ended, and the engine's reason."""

    index: int
    reason: str


@dataclasses.dataclass(frozen=True)
class ImportAnswer:
    """What an import did.

    Attributes
    ----------
    imported
        Blocks that came, from the first on.
    bytes
        Their bytes.
    failed
        The block at which it ended, if any.
    """

    imported: int
    bytes: int
    failed: ImportFailure | None = None


@dataclasses.dataclass(frozen=True)
class Exported:
    """The engine says that it wrote the block."""

    bytes: int
    checksum: str


@dataclasses.dataclass(frozen=True)
class NotCached:
    """The engine no longer has the piece."""


@dataclasses.dataclass(frozen=True)
class ExportFailed:
    """Nobody knows how much of the block was written."""

    detail: str


ExportOutcome = Exported | NotCached | ExportFailed


class KvUnavailableError(Exception):
    """The engine did not answer, or not as its protocol says."""


def fault_of(failure: ImportFailure) -> Fault:
    """Return the kind of fault that an engine's reason names.

    Only what is surely the block's or the store's fault counts as theirs;
    an engine that has loaded other weights meanwhile says so too.
    """
    match failure.reason:
        case "missing":
            return Fault.MISSING
        case "checksum" | "header":
            return Fault.CORRUPT
        case "unreachable":
            return Fault.UNREACHABLE
        case reason if reason.startswith("status "):
            return Fault.UNREACHABLE
    return Fault.ENGINE


class KvClient:
    """Orders transfers between engines and stores."""

    def __init__(self) -> None:
        # Library retries stay off: an import sent twice would move its
        # bytes twice over a budgeted link.
        self.pool = urllib3.PoolManager(
            maxsize=POOL_SIZE, num_pools=256, retries=False
        )

    def post(
        self, url: str, body: bytes, timeout_s: float
    ) -> urllib3.BaseHTTPResponse:
        """Return the response to a JSON body."""
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, timeout_s), total=timeout_s
        )
        headers = {"Content-Type": "application/json"}
        try:
            return self.pool.request(
                "POST", url, body=body, headers=headers, timeout=timeout
            )
        except urllib3.exceptions.HTTPError as error:
            raise KvUnavailableError(str(error)) from error

    def import_blocks(
        self, address: str, request: ImportRequest, timeout_s: float
    ) -> ImportAnswer:
        """Let the engine fetch blocks, in order.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        request
            The blocks.
        timeout_s
            Bound on the whole import.

        Raises
        ------
        KvUnavailableError
            When the engine does not answer properly in time; it may have
            taken any of the blocks.
        """
        url = f"http://{address}/kv/import"
        response = self.post(url, msgspec.json.encode(request), timeout_s)
        if response.status != HTTP_OK:
            raise KvUnavailableError(f"import answered {response.status}")
        try:
            return msgspec.json.decode(response.data, type=ImportAnswer)
        except msgspec.DecodeError as error:
            raise KvUnavailableError(str(error)) from error

    def export(
        self,
        address: str,
        model: str,
        version: str,
        digest: bytes,
        store: str,
        block: str,
        timeout_s: float,
    ) -> ExportOutcome:
        """Let the engine write one piece to a store.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        model, version, digest
            The piece, as the engine names it.
        store, block
            Where it goes.
        timeout_s
            Bound on the transfer.
        """
        fields = {
            "model": model,
            "version": version,
            "digest": digest.hex(),
            "store": store,
            "block": block,
        }
        url = f"http://{address}/kv/export"
        try:
            response = self.post(url, msgspec.json.encode(fields), timeout_s)
        except KvUnavailableError as error:
            return ExportFailed(str(error))
        if response.status == HTTP_NOT_FOUND:
            return NotCached()
        if response.status != HTTP_OK:
            detail = response.data.decode(errors="replace")
            return ExportFailed(f"{response.status}: {detail}")
        try:
            return msgspec.json.decode(response.data, type=Exported)
        except msgspec.DecodeError as error:
            return ExportFailed(str(error))
