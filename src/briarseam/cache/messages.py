"""Messages between agents about the index of kept blocks."""

from __future__ import annotations

import dataclasses

from briarseam.cache import state
from briarseam.wire import codec

MAX_BLOCKS = 1024


@codec.message("kept-ask")
@dataclasses.dataclass(frozen=True)
class KeptAsk:
    """Ask which blocks of a group are kept.

    Attributes
    ----------
    group
        Organisation and session, hashed with the shared secret, so only
        who knows both can ask for it.
    variant
        Model, adapter and weight version, hashed.
    """

    group: bytes
    variant: bytes


@codec.message("kept-answer")
@dataclasses.dataclass(frozen=True)
class KeptAnswer:
    """The blocks, confirmed, not freed, in order of depth."""

    blocks: tuple[state.Block, ...]


@codec.message("kept-change")
@dataclasses.dataclass(frozen=True)
class KeptChange:
    """Tell an agent that keeps the index of what has changed.

    Attributes
    ----------
    added
        Blocks now confirmed.
    freed
        Packed names no longer to be read.
    """

    added: tuple[state.Block, ...] = ()
    freed: tuple[bytes, ...] = ()


@codec.message("kept-noted")
@dataclasses.dataclass(frozen=True)
class KeptNoted:
    """The change was taken in."""
