"""Refusal of requests that crash each endpoint that runs them.

Such a request is rare, but its caller sends it again.  Tried at one
endpoint after the other, it would crash all of them, along with everything
else that they run.  It is detected when requests with the same path, caller
and body are lost at several endpoints within a short time.
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
from briarseam.forwarding import answered_requests

# A request that was lost at this many endpoints is refused.  One or two
# losses also occur when endpoints crash or reset for other reasons.
LOST_ENDPOINTS_LIMIT = 3
# A request that was answered lately is lost with endpoints that another one
# crashes, again and again if callers send it all the time.
ANSWERED_ENDPOINTS_LIMIT = 2 * LOST_ENDPOINTS_LIMIT
# How long a loss counts.  A crashed endpoint is back within seconds, and
# callers repeat a request only within its deadline.
LOSS_TTL_S = 60.0
# Only so many requests are published to peers: first those that were lost at
# the most endpoints, then the newest.
MAX_PUBLISHED_LOSSES = 100
DIGEST_BYTES = 12
log = structlog.get_logger("briarseam.forwarding")


@dataclasses.dataclass
class Losses:
    """Losses of one request.

    Attributes
    ----------
    endpoints
        Ids of the endpoints at which it was lost.
    last_s
        Time of the last loss, by the guard's clock.
    """

    endpoints: set[str] = dataclasses.field(default_factory=set)
    last_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class PeerLosses:
    """Losses that a peer published.

    Attributes
    ----------
    losses
        Ids of endpoints by digest of the request.
    received_s
        When they were last received, by the guard's clock.
    """

    losses: dict[bytes, frozenset[str]]
    received_s: float


class CrashGuard:
    """Counts lost requests, including those that peers publish.

    Parameters
    ----------
    clock
        Returns the time in seconds.

    Attributes
    ----------
    on_lost
        Called with the digest of a request that the local instance lost,
        and the endpoint's id.
    explained
        Returns the endpoints whose loss has another known cause.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.on_lost: typing.Callable[[bytes, str], None] = ignore
        self.explained: typing.Callable[[], frozenset[str]] = frozenset
        self.local: dict[bytes, Losses] = {}
        self.by_peer: dict[str, PeerLosses] = {}
        self.answered = answered_requests.AnsweredRequests(
            LOSS_TTL_S, clock, self.lost_requests
        )
        self.lock = threading.Lock()

    def is_refused(self, digest: bytes) -> bool:
        """Return whether a request was lost at too many endpoints."""
        return self.is_too_many(digest, self.endpoints_of(digest))

    def is_too_many(self, digest: bytes, endpoints: set[str]) -> bool:
        """Return whether a request lost at these endpoints is refused."""
        if len(endpoints) < LOST_ENDPOINTS_LIMIT:
            return False
        unexplained = len(endpoints - self.explained())
        if unexplained < LOST_ENDPOINTS_LIMIT:
            return False
        if unexplained >= ANSWERED_ENDPOINTS_LIMIT:
            return True
        return not self.answered.is_answered(digest)

    def endpoints_of(self, digest: bytes) -> set[str]:
        """Return the ids of the endpoints at which a request was lost."""
        with self.lock:
            local = self.local.get(digest)
            lost: set[str] = set()
            if local is not None and self.clock() - local.last_s < LOSS_TTL_S:
                lost |= local.endpoints
            for remote in self.by_peer.values():
                lost |= remote.losses.get(digest, frozenset())
        return lost

    def record_loss(self, digest: bytes, endpoint: str) -> None:
        """Count a request that was lost with an endpoint and publish it."""
        self.add_loss(digest, endpoint)
        self.on_lost(digest, endpoint)

    def add_loss(self, digest: bytes, endpoint: str) -> None:
        """Count a loss of the local instance or of another cell.

        Heartbeats publish losses only within a cell.
        """
        with self.lock:
            losses = self.local.setdefault(digest, Losses())
            losses.endpoints.add(endpoint)
            losses.last_s = self.clock()
            endpoints = set(losses.endpoints)
        if self.is_too_many(digest, endpoints):
            log.warning(
                "request_condemned",
                digest=digest.hex(),
                endpoints=len(endpoints),
            )

    def withdraw_loss(self, digest: bytes, endpoint: str) -> None:
        """Forget a loss at an endpoint that turns out to go on."""
        with self.lock:
            losses = self.local.get(digest)
            if losses is None:
                return
            losses.endpoints.discard(endpoint)
            if not losses.endpoints:
                del self.local[digest]

    def record_answer(self, digest: bytes) -> None:
        """Forget the losses of a request, since an endpoint answered it."""
        with self.lock:
            self.local.pop(digest, None)
        self.answered.record(digest)

    def lost_requests(self) -> set[bytes]:
        """Return the digests of requests with any losses."""
        with self.lock:
            remote = [one.losses.keys() for one in self.by_peer.values()]
            return set(self.local).union(*remote)

    def forget_expired(self) -> None:
        """Forget losses older than ``LOSS_TTL_S``."""
        oldest_s = self.clock() - LOSS_TTL_S
        with self.lock:
            self.local = {
                digest: losses
                for digest, losses in self.local.items()
                if losses.last_s > oldest_s
            }
            # The losses of a peer that is gone count until they expire.
            self.by_peer = {
                member: remote
                for member, remote in self.by_peer.items()
                if remote.received_s > oldest_s
            }

    def provide(self) -> bytes:
        """Return the losses of the requests that matter most, for peers."""
        with self.lock:
            published = sorted(
                self.local.items(),
                key=lambda item: (-len(item[1].endpoints), -item[1].last_s),
            )[:MAX_PUBLISHED_LOSSES]
            rows = [
                (digest, sorted(losses.endpoints))
                for digest, losses in published
            ]
        packed: bytes = msgpack.packb(rows)
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Replace the losses received from a peer."""
        rows = msgspec.msgpack.decode(data, type=list[tuple[bytes, list[str]]])
        losses = {digest: frozenset(endpoints) for digest, endpoints in rows}
        with self.lock:
            self.by_peer[member] = PeerLosses(losses, self.clock())


def ignore(digest: bytes, endpoint: str) -> None:
    """Do not publish a loss; the default of ``on_lost``."""


def digest_of(path: str, caller: str, body: bytes) -> bytes:
    """Return a digest that is the same for repeats of a request."""
    hashed = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in (path.encode("latin-1", "replace"), caller.encode()):
        hashed.update(len(part).to_bytes(4, "big"))
        hashed.update(part)
    hashed.update(body)
    return hashed.digest()
