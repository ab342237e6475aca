"""Data classes of the kept cache that other packages use."""

from __future__ import annotations

import dataclasses
import typing

from briarseam.cache import names


@dataclasses.dataclass(frozen=True, slots=True)
class Block:
    """KV of one piece in a store, written and confirmed.

    Attributes
    ----------
    packed
        The packed name, see :class:`briarseam.cache.names.Names`.
    size
        Bytes.
    checksum
        blake2b-16 of the bytes, as reported by the engine.
    store
        Name of the store endpoint.
    boot_id
        Boot of the store in which it was written.
    """

    packed: bytes
    size: int
    checksum: bytes
    store: str
    boot_id: str

    @property
    def key(self) -> bytes:
        """Key that a piece of a prompt has to match."""
        return self.packed[names.KEY_OFFSET : names.NONCE_OFFSET]

    @property
    def group(self) -> bytes:
        """Hash of organisation and session."""
        return self.packed[: names.VARIANT_OFFSET]

    @property
    def variant(self) -> bytes:
        """Hash of model, adapter and weight version."""
        return self.packed[names.VARIANT_OFFSET : names.DEPTH_OFFSET]

    @property
    def depth(self) -> int:
        """Number of pieces before this one in the prompt."""
        depth: int = names.DEPTH.unpack_from(self.packed, names.DEPTH_OFFSET)[
            0
        ]
        return depth


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Properties of a prompt that the kept cache needs.

    Attributes
    ----------
    organisation, session
        Of the caller; the session may be empty.
    model, adapter, version
        With which it is computed.
    chain
        Unsalted chain digests of its complete pieces.
    """

    organisation: str
    session: str
    model: str
    adapter: str
    version: str
    chain: tuple[bytes, ...]


class Planned(typing.NamedTuple):
    """One block of a plan and its chain digest."""

    digest: bytes
    block: Block


@dataclasses.dataclass(frozen=True)
class Plan:
    """Blocks that an endpoint can import.

    Attributes
    ----------
    model, version
        With which the blocks were computed.
    cached_pieces
        Pieces that the endpoint already has; the blocks follow these.
    blocks
        In order of the prompt.
    arrival_s
        Predicted seconds until each block is imported, from the budget and
        the observed rate of its link; same length as ``blocks``.
    made_at
        Creation time, by the clock of the service.
    """

    model: str = ""
    version: str = ""
    cached_pieces: int = 0
    blocks: tuple[Planned, ...] = ()
    arrival_s: tuple[float, ...] = ()
    made_at: float = 0.0

    @property
    def bytes(self) -> int:
        """Bytes to transfer."""
        return sum(planned.block.size for planned in self.blocks)

    @property
    def predicted_s(self) -> float:
        """Predicted seconds for the entire import."""
        return self.arrival_s[-1] if self.arrival_s else 0.0

    @property
    def store(self) -> str:
        """Store of the first block, empty if there is none."""
        return self.blocks[0].block.store if self.blocks else ""

    def cut(self, count: int) -> Plan:
        """Return the plan of the first ``count`` blocks."""
        return dataclasses.replace(
            self, blocks=self.blocks[:count], arrival_s=self.arrival_s[:count]
        )

    def best(self, prefill_s_per_piece: float) -> Plan:
        """Return the prefix that saves most time over recomputing.

        Parameters
        ----------
        prefill_s_per_piece
            Seconds that the endpoint needs to compute one piece.
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
    """Result of an import; pieces that failed are recomputed.

    Attributes
    ----------
    pieces
        Pieces that the endpoint imported.
    bytes
        Bytes transferred.
    failed
        Why the rest was not imported; empty if all was.
    """

    pieces: int = 0
    bytes: int = 0
    failed: str = ""


@dataclasses.dataclass(frozen=True)
class Holders:
    """Agents that hold the index of a group.

    Attributes
    ----------
    is_owner
        Whether this agent is the owner, whose index is authoritative.
    others
        ``ip:port`` of the other agents that hold it, owner first; one is
        in another zone.
    epoch
        Changes with the set of agents.
    """

    is_owner: bool = True
    others: tuple[str, ...] = ()
    epoch: int = 0


class Metrics(typing.Protocol):
    """Counters of the kept cache."""

    def count(self, name: str, amount: int = 1) -> None:
        """Add to a counter."""


class NoMetrics:
    """Discards all counts."""

    def count(self, name: str, amount: int = 1) -> None:
        """Do nothing."""
