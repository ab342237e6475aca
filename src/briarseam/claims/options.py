"""Options of the claims, this agent, and how to reach other agents."""

from __future__ import annotations

import dataclasses
import typing

if typing.TYPE_CHECKING:
    from briarseam.wire import codec

# Number of streams that the keys are distributed over.  It is no setting:
# agents with different numbers would look for one key in two streams.
SHARDS = 4
STREAM_PREFIX = "claims-"
DEFAULT_WINDOW_S = 3600.0
DEFAULT_BATCH_MS = 20.0
DEFAULT_WAIT_S = 2.0


def stream_name(number: int) -> str:
    """Return the name of a shard's stream."""
    return f"{STREAM_PREFIX}{number:02d}"


class PeerClient(typing.Protocol):
    """Client of another agent; see ``briarseam.wire.client``."""

    def call(self, request: codec.Message, timeout_s: float) -> codec.Message:
        """Send a message and return the reply."""


@dataclasses.dataclass(frozen=True)
class Holder:
    """One incarnation of an agent, which holds claims.

    Attributes
    ----------
    name
        Name of the agent.
    incarnation
        Differs for each start of the agent.
    address
        Address at which other agents reach it.
    """

    name: str
    incarnation: str
    address: str


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of the claims.

    Attributes
    ----------
    window_s
        Maximum age of a key in seconds; less than the log's retention
        by a margin of at least two minutes.
    batch_ms
        Minimum time between two appends to one stream, in ms.
    wait_s
        Maximum wait for a claim, in seconds.
    shards
        Number of streams that the keys are distributed over; the same for
        all agents.
    """

    window_s: float = DEFAULT_WINDOW_S
    batch_ms: float = DEFAULT_BATCH_MS
    wait_s: float = DEFAULT_WAIT_S
    shards: int = SHARDS


@dataclasses.dataclass(frozen=True)
class Peers:
    """Access to the other agents.

    Attributes
    ----------
    owner_of
        Returns the address of the agent that owns a shard; ``None`` means
        this agent.
    client_of
        Returns a client for the agent at an address.
    """

    owner_of: typing.Callable[[int], str | None]
    client_of: typing.Callable[[str], PeerClient]
