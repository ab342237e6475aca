"""Refusing requests that take down each endpoint that runs them.

One request in very many crashes its endpoint, and its caller sends it
again.  Tried at one endpoint after the other it takes all of them down,
with everything else that they run.  It shows as the same path, caller and
body being lost at several endpoints within a short time.
"""

from __future__ import annotations

import dataclasses
import hashlib
import threading
import typing

import msgpack
import msgspec
import structlog

from briarseam import clocks

# Endpoints that a request may have been lost at before it is refused.  One
# or two are lost with any endpoint that crashes by itself or resets.
LOST_ENDPOINTS_LIMIT = 3
# How long a loss counts: a crashed endpoint is back after some seconds, and
# callers that repeat a request do so within their deadlines.
LOSS_TTL_S = 60.0
# Losses told to peers, the newest first.
MAX_PUBLISHED_LOSSES = 100
DIGEST_BYTES = 12
log = structlog.get_logger("briarseam.forwarding")


@dataclasses.dataclass
class Losses:
    """Where a request was lost.

    Attributes
    ----------
    endpoints
        Ids of the endpoints.
    last_s
        When it was lost last, by the guard's clock.
    """

    endpoints: set[str] = dataclasses.field(default_factory=set)
    last_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class PeerLosses:
    """What a peer told.

    Attributes
    ----------
    losses
        Ids of endpoints by request.
    at_s
        When it was told last, by the guard's clock.
    """

    losses: dict[bytes, frozenset[str]]
    received_s: float


class CrashGuard:
    """Counts losses by request, with those that peers tell.

    Parameters
    ----------
    clock
        Seconds.

    Attributes
    ----------
    on_lost
        Called with the digest of a request that was lost here, and the
        endpoint's id.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.on_lost: typing.Callable[[bytes, str], None] = ignore
        self.local: dict[bytes, Losses] = {}
        self.by_peer: dict[str, PeerLosses] = {}
        self.lock = threading.Lock()

    def is_refused(self, digest: bytes) -> bool:
        """Tell whether a request was lost at too many endpoints."""
        with self.lock:
            local = self.local.get(digest)
            lost: set[str] = set()
            if local is not None and self.clock() - local.last_s < LOSS_TTL_S:
                lost |= local.endpoints
            for remote in self.by_peer.values():
                lost |= remote.losses.get(digest, frozenset())
        return len(lost) >= LOST_ENDPOINTS_LIMIT

    def record_loss(self, digest: bytes, endpoint: str) -> None:
        """Note that an endpoint was lost while it had a request."""
        self.add_loss(digest, endpoint)
        self.on_lost(digest, endpoint)

    def add_loss(self, digest: bytes, endpoint: str) -> None:
        """Note a loss, here or in a cell whose heartbeats are not heard."""
        with self.lock:
            losses = self.local.setdefault(digest, Losses())
            losses.endpoints.add(endpoint)
            losses.last_s = self.clock()
            count = len(losses.endpoints)
        if count >= LOST_ENDPOINTS_LIMIT:
            log.warning(
                "request_condemned", digest=digest.hex(), endpoints=count
            )

    def record_answer(self, digest: bytes) -> None:
        """Note that a request was answered, so that it is none of these."""
        with self.lock:
            self.local.pop(digest, None)

    def forget_expired(self) -> None:
        """Forget losses that count no longer."""
        oldest_s = self.clock() - LOSS_TTL_S
        with self.lock:
            self.local = {
                digest: losses
                for digest, losses in self.local.items()
                if losses.last_s > oldest_s
            }
            # A peer that is gone tells no more, but its losses count on.
            self.by_peer = {
                member: remote
                for member, remote in self.by_peer.items()
                if remote.received_s > oldest_s
            }

    def provide(self) -> bytes:
        """Return the newest losses, for peers."""
        with self.lock:
            newest = sorted(
                self.local.items(), key=lambda item: -item[1].last_s
            )[:MAX_PUBLISHED_LOSSES]
            rows = [
                (digest, sorted(losses.endpoints)) for digest, losses in newest
            ]
        packed: bytes = msgpack.packb(rows)
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Take in a peer's losses."""
        rows = msgspec.msgpack.decode(data, type=list[tuple[bytes, list[str]]])
        losses = {digest: frozenset(endpoints) for digest, endpoints in rows}
        with self.lock:
            self.by_peer[member] = PeerLosses(losses, self.clock())


def ignore(digest: bytes, endpoint: str) -> None:
    """Tell nobody of a loss."""


def digest_of(path: str, caller: str, body: bytes) -> bytes:
    """Return what is equal for repeats of one request."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (path.encode("latin-1", "replace"), caller.encode()):
        hashed.update(len(part).to_bytes(4, "big"))
        hashed.update(part)
    hashed.update(body)
    return hashed.digest()
