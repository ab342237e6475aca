"""Client of a model engine's KV cache transfers, for an agent.

The engine itself reads blocks from a store or writes them there; the agent
does not handle their bytes.
"""

from __future__ import annotations

import dataclasses
import enum

import msgspec
import urllib3

from briarseam import bounded_http

CONNECT_TIMEOUT_S = 0.5
POOL_SIZE = 16
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_BAD_GATEWAY = 502


class Fault(enum.StrEnum):
    """Why a block was not imported."""

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
        Chain digest by which the engine identifies the prefix, in hex.
    store
        ``ip:port`` of the store.
    block
        Name of the block at the store.
    checksum
        blake2b-16 of its bytes, in hex.
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
    """The block at which an import stopped, and the engine's reason."""

    index: int
    reason: str


@dataclasses.dataclass(frozen=True)
class ImportAnswer:
    """Result of an import.

    Attributes
    ----------
    imported
        Number of imported blocks, counted from the first one.
    bytes
        Size of these blocks.
    failed
        The block at which the import stopped, if any.
    """

    imported: int
    bytes: int
    failed: ImportFailure | None = None


@dataclasses.dataclass(frozen=True)
class Exported:
    """The engine reported that it wrote the block."""

    bytes: int
    checksum: str


@dataclasses.dataclass(frozen=True)
class NotCached:
    """The engine no longer has the piece."""


@dataclasses.dataclass(frozen=True)
class ExportFailed:
    """The export failed; the store may have any part of the block."""

    detail: str


ExportOutcome = Exported | NotCached | ExportFailed


class KvUnavailableError(Exception):
    """The engine gave no answer, or an invalid one."""


def fault_of(failure: ImportFailure) -> Fault:
    """Return the kind of fault for an engine's reason.

    Only reasons that clearly lie with the block or the store count as their
    faults.  All others count as the engine's, such as a change of its
    weights during the import.
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
    """Requests transfers between engines and stores."""

    def __init__(self) -> None:
        # No retries by the library: an import sent twice would transfer its
        # bytes twice over a link with a budget.
        self.pool = bounded_http.pool_manager(
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
        """Let the engine import blocks, in order.

        Parameters
        ----------
        address
            ``ip:port`` of the engine.
        request
            The blocks.
        timeout_s
            Timeout of the complete import, in seconds.

        Raises
        ------
        KvUnavailableError
            If the engine gives no valid answer in time; it may have
            imported any of the blocks.
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
            Identify the piece at the engine.
        store, block
            Address of the store, and name of the block there.
        timeout_s
            Timeout of the export, in seconds.
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
