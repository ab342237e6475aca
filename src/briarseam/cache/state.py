"""Data classes of the kept cache that other slices see."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.cache import names


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """One piece's KV in a store, written and confirmed.

    Attributes
    ----------
    packed
        The name, see :class:`briarseam.cache.names.Names`.
    size
        Bytes.
    checksum
        blake2b-16 of the bytes, as the engine gave it.
    store
        Name of the store endpoint.
    boot_id
        The store's boot that holds it.
    """

    packed: bytes
    size: int
    checksum: bytes
    store: str
    boot_id: str

    @property
    def key(self) -> bytes:
        """What a prompt's piece has to match."""
        return self.packed[names.KEY_OFFSET : names.NONCE_OFFSET]

    @property
    def group(self) -> bytes:
        """Organisation and session, hashed."""
        return self.packed[: names.VARIANT_OFFSET]

    @property
    def variant(self) -> bytes:
        """Model, adapter and weight version, hashed."""
        return self.packed[names.VARIANT_OFFSET : names.DEPTH_OFFSET]

    @property
    def depth(self) -> int:
        """Pieces in front of this one."""
        depth: int = names.DEPTH.unpack_from(self.packed, names.DEPTH_OFFSET)[
            0
        ]
        return depth


@dataclasses.dataclass(frozen=True)
class Prompt:
    """What the kept cache needs to know of a prompt.

    Attributes
    ----------
    organisation, session
        Whose it is; the session may be empty.
    model, adapter, version
        What it is computed with.
    chain
        Plain chain digests of its whole pieces.
    """

    organisation: str
    session: str
    model: str
    adapter: str
    version: str
    chain: tuple[bytes, ...]


class Planned(typing.NamedTuple):
    """One block of a plan and the chain digest it stands for."""

    digest: bytes
    block: Block


@dataclasses.dataclass(frozen=True)
class Plan:
    """What an import would bring an endpoint.

    Attributes
    ----------
    model, version
        What the blocks were computed with.
    cached_pieces
        Pieces the endpoint has already; the blocks follow on them.
    blocks
        In order of the prompt.
    arrival_s
        Predicted seconds until each block is in, by the budget and the
        observed rate of its link; as long as ``blocks``.
    made_at
        When it was made, by the clock of the service.
    """

    model: str = ""
    version: str = ""
    cached_pieces: int = 0
    blocks: tuple[Planned, ...] = ()
    arrival_s: tuple[float, ...] = ()
    made_at: float = 0.0

    @property
    def bytes(self) -> int:
        """Bytes to move."""
        return sum(planned.block.size for planned in self.blocks)

    @property
    def predicted_s(self) -> float:
        """Predicted seconds for the whole import."""
        return self.arrival_s[-1] if self.arrival_s else 0.0

    @property
    def store(self) -> str:
        """Store of the first block, empty when there is none."""
        return self.blocks[0].block.store if self.blocks else ""

    def cut(self, count: int) -> Plan:
        """Return the plan of the first ``count`` blocks."""
        return dataclasses.replace(
            self, blocks=self.blocks[:count], arrival_s=self.arrival_s[:count]
        )

    def best(self, prefill_s_per_piece: float) -> Plan:
        """Return the front part that saves most time over recomputing.

        Parameters
        ----------
        prefill_s_per_piece
            Seconds the endpoint needs to compute one piece.
        """
        best_count = 0
        best_saved_s = 0.0
        for count, arrival_s in enumerate(self.arrival_s, start=1):
            saved_s = count * prefill_s_per_piece - arrival_s
            if saved_s > best_saved_s:
                best_count, best_saved_s = count, saved_s
        return self.cut(best_count)


@dataclasses.dataclass(frozen=True)
class Imported:
    """What an import did; pieces that did not come are recomputed.

    Attributes
    ----------
    pieces
        Pieces the endpoint now has besides those it had.
    bytes
        Bytes moved.
    failed
        Why the rest did not come; empty when all did.
    """

    pieces: int = 0
    bytes: int = 0
    failed: str = ""


@dataclasses.dataclass(frozen=True)
class Holders:
    """Which agents keep the index of a group.

    Attributes
    ----------
    mine
        Whether this agent is the owner, whose index is authoritative.
    others
        ``ip:port`` of the other agents that keep it, owner first; one is
        in another zone.
    epoch
        Changes with the set of agents.
    """

    is_owner: bool = True
    others: tuple[str, ...] = ()
    epoch: int = 0


class Metrics(typing.Protocol):
    """What the slice counts with."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""


class NoMetrics:
    """Counts nothing."""

    def count(self, name: str, amount: int = 1) -> None:
        """Pass over it."""
