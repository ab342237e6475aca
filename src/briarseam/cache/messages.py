"""Messages between agents about the index of kept blocks."""

from __future__ import annotations

import dataclasses

from briarseam.cache import state
from briarseam.wire import codec

MAX_BLOCKS = 1024


@codec.message("kept-ask")
@dataclasses.dataclass(frozen=True)
class KeptAsk:
    """Query which blocks of a group are kept.

    Attributes
    ----------
    group
        Organisation and session, hashed with the shared secret, so a
        query requires knowing both.
    variant
        Model, adapter and weight version, hashed.
    """

    group: bytes
    variant: bytes


@codec.message("kept-answer")
@dataclasses.dataclass(frozen=True)
class KeptAnswer:
    """Blocks that are confirmed and not freed, in order of depth."""

    blocks: tuple[state.Block, ...]


@codec.message("kept-change")
@dataclasses.dataclass(frozen=True)
class KeptChange:
    """Notify an agent that holds a copy of the index of changes.

    Attributes
    ----------
    added
        Newly confirmed blocks.
    freed
        Packed names of blocks that must no longer be read.
    """

    added: tuple[state.Block, ...] = ()
    freed: tuple[bytes, ...] = ()


@codec.message("kept-noted")
@dataclasses.dataclass(frozen=True)
class KeptNoted:
    """The change was applied."""
