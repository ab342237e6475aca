"""KV blocks of a stand-in engine: their bytes, export and import."""

from __future__ import annotations

import dataclasses
import struct

import msgspec
import urllib3

from briarseam.cache import pieces
from briarseam.testing import checksums
from briarseam.testing import engine_cache
from briarseam.testing import http_messages

MAGIC = b"BSKV1"
HEADER_LENGTH = struct.Struct(">I")
STORE_TIMEOUT = urllib3.Timeout(connect=2, read=30)


@dataclasses.dataclass(frozen=True)
class Header:
    """What a block says that it holds."""

    model: str
    version: str
    digest: str


@dataclasses.dataclass(frozen=True)
class ExportRequest:
    """Body of ``POST /kv/export``."""

    model: str
    version: str
    digest: str
    store: str
    block: str


@dataclasses.dataclass(frozen=True)
class Exported:
    """Answer to an export."""

    bytes: int
    checksum: str


@dataclasses.dataclass(frozen=True)
class ImportBlock:
    """One block to import."""

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
    """The block at which an import ended, and why."""

    index: int
    reason: str


@dataclasses.dataclass(frozen=True)
class Imported:
    """Answer to an import."""

    imported: int
    bytes: int
    failed: ImportFailure | None


class StoreError(Exception):
    """The store did not do what was asked."""


def encode_block(prefix: engine_cache.Prefix, bytes_per_token: int) -> bytes:
    """Build the block of a piece.

    Parameters
    ----------
    prefix
        The piece.
    bytes_per_token
        Size of its content.

    Returns
    -------
    bytes
        Header and content.
    """
    header = msgspec.json.encode(Header(*engine_cache.named(prefix)))
    size = bytes_per_token * pieces.PIECE_TOKENS
    content = prefix.digest * (size // len(prefix.digest) + 1)
    length = HEADER_LENGTH.pack(len(header))
    return b"".join((MAGIC, length, header, content[:size]))


def decode_header(block: bytes) -> Header | None:
    """Read the header of a block.

    Parameters
    ----------
    block
        Its bytes.

    Returns
    -------
    Header or None
        The header; ``None`` when there is no valid one.
    """
    start = len(MAGIC) + HEADER_LENGTH.size
    if not block.startswith(MAGIC) or len(block) < start:
        return None
    (length,) = HEADER_LENGTH.unpack(block[len(MAGIC) : start])
    try:
        return msgspec.json.decode(block[start : start + length], type=Header)
    except ValueError:
        return None


class KvTransfers:
    """Moves blocks between the prefix cache and stores.

    Parameters
    ----------
    cache
        The prefix cache.
    """

    def __init__(self, cache: engine_cache.PrefixCache) -> None:
        self.cache = cache
        self.pool = urllib3.PoolManager(
            maxsize=8, retries=False, timeout=STORE_TIMEOUT
        )

    def export(
        self, request: ExportRequest, bytes_per_token: int
    ) -> Exported | None:
        """Write a piece to a store.

        Parameters
        ----------
        request
            The piece and where it goes.
        bytes_per_token
            Size of its content.

        Returns
        -------
        Exported or None
            Length and checksum; ``None`` when the piece is not cached.

        Raises
        ------
        StoreError
            When the store did not take it.
        ValueError
            When the digest is not hexadecimal.
        """
        digest = bytes.fromhex(request.digest)
        prefix = engine_cache.Prefix(request.model, request.version, digest)
        if not self.cache.contains(prefix):
            return None
        block = encode_block(prefix, bytes_per_token)
        checksum = checksums.checksum_of(block)
        try:
            answer = self.pool.request(
                "PUT",
                f"http://{request.store}/blocks/{request.block}",
                body=block,
                headers={http_messages.CHECKSUM_HEADER: checksum},
            )
        except urllib3.exceptions.HTTPError as error:
            raise StoreError(f"store unreachable: {error}") from error
        if answer.status >= 300:
            raise StoreError(f"store answered {answer.status}")
        return Exported(len(block), checksum)

    def load(self, request: ImportRequest) -> Imported:
        """Read pieces from stores into the cache, in order.

        Parameters
        ----------
        request
            The pieces and where they lie.

        Returns
        -------
        Imported
            How many were read before the first failure.

        Raises
        ------
        ValueError
            When a digest is not hexadecimal.
        """
        moved = 0
        for index, wanted in enumerate(request.blocks):
            digest = bytes.fromhex(wanted.digest)
            prefix = engine_cache.Prefix(
                request.model, request.version, digest
            )
            try:
                block = self.fetch(wanted)
                verify(block, wanted, prefix)
            except StoreError as error:
                failure = ImportFailure(index, str(error))
                return Imported(index, moved, failure)
            moved += len(block)
            self.cache.add([prefix])
        return Imported(len(request.blocks), moved, None)

    def fetch(self, wanted: ImportBlock) -> bytes:
        """Read a block from its store.

        Parameters
        ----------
        wanted
            The block.

        Returns
        -------
        bytes
            What the store gave.

        Raises
        ------
        StoreError
            When the store gave nothing.
        """
        try:
            answer = self.pool.request(
                "GET", f"http://{wanted.store}/blocks/{wanted.block}"
            )
        except urllib3.exceptions.HTTPError as error:
            raise StoreError("unreachable") from error
        if answer.status == 404:
            raise StoreError("missing")
        if answer.status >= 300:
            raise StoreError(f"status {answer.status}")
        return answer.data


def verify(
    block: bytes, wanted: ImportBlock, prefix: engine_cache.Prefix
) -> None:
    """Check that a block is the one wanted.

    Parameters
    ----------
    block
        What the store gave.
    wanted
        The block with its checksum.
    prefix
        The piece that it must hold.

    Raises
    ------
    StoreError
        When checksum or header don't fit.
    """
    if checksums.checksum_of(block) != wanted.checksum:
        raise StoreError("checksum")
    if decode_header(block) != Header(*engine_cache.named(prefix)):
        raise StoreError("header")
