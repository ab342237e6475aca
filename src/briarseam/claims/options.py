"""What claims are given: options, this agent, and how to reach others."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from briarseam.wire import codec

# How many streams the keys are cut into.  No setting: two agents that cut
# them differently would look for one key in two streams.
SHARDS = 4
STREAM_PREFIX = "claims-"
DEFAULT_WINDOW_S = 3600.0
DEFAULT_BATCH_MS = 20.0
DEFAULT_WAIT_S = 2.0


def stream_name(number: int) -> str:
    """Return the name of a shard's stream."""
    return f"{STREAM_PREFIX}{number:02d}"


class PeerClient(typing.Protocol):
    """What asking another agent takes; see ``briarseam.wire.client``."""

    def call(self, request: codec.Message, timeout_s: float) -> codec.Message:
        """Send a message and return the reply."""


@dataclasses.dataclass(frozen=True)
class Holder:
    """One start of an agent.

    Attributes
    ----------
    name
        The agent.
    incarnation
        Differs for each start of it.
    address
        Where other agents reach it.
    """

    name: str
    incarnation: str
    address: str


@dataclasses.dataclass(frozen=True)
class Options:
    """How claims work.

    Attributes
    ----------
    window_s
        Greatest age of a key in seconds; less than the log's retention
        by a margin of at least two minutes.
    batch_ms
        Least time between two appends to one stream.
    wait_s
        Longest wait for a claim, in seconds.
    shards
        Into how many streams the keys are cut; the same everywhere.
    """

    window_s: float = DEFAULT_WINDOW_S
    batch_ms: float = DEFAULT_BATCH_MS
    wait_s: float = DEFAULT_WAIT_S
    shards: int = SHARDS


@dataclasses.dataclass(frozen=True)
class Peers:
    """How claims reach the other agents.

    Attributes
    ----------
    owner_of
        Address of the agent that owns a shard; ``None`` means this one.
    client_of
        Returns a client of the agent at an address.
    """

    owner_of: typing.Callable[[int], str | None]
    client_of: typing.Callable[[str], PeerClient]
