"""Requests that endpoints have answered lately, also at other instances."""

from __future__ import annotations

import collections
import threading
import typing

import msgpack
import msgspec

if typing.TYPE_CHECKING:
    import collections.abc

# Bounds the answered requests that are remembered, about 1 MB.
MAX_ANSWERED = 5000
# Bounds those that are published to peers.
MAX_PUBLISHED = 100


class AnsweredRequests:
    """When requests were last answered; thread-safe.

    Parameters
    ----------
    ttl_s
        How long an answer counts, in seconds.
    clock
        Seconds.
    of_interest
        Returns the digests of requests whose answers matter to peers.
    """

    def __init__(
        self,
        ttl_s: float,
        clock: typing.Callable[[], float],
        of_interest: typing.Callable[[], collections.abc.Iterable[bytes]],
    ) -> None:
        self.ttl_s = ttl_s
        self.clock = clock
        self.of_interest = of_interest
        # The one that was answered longest ago is the first.
        self.answered_s: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self.by_peer: dict[str, frozenset[bytes]] = {}
        self.lock = threading.Lock()

    def record(self, digest: bytes) -> None:
        """Record that an endpoint has answered a request."""
        with self.lock:
            self.answered_s[digest] = self.clock()
            self.answered_s.move_to_end(digest)
            while len(self.answered_s) > MAX_ANSWERED:
                self.answered_s.popitem(last=False)

    def is_answered_here(self, digest: bytes) -> bool:
        """Return whether this instance has had a request answered lately."""
        answered_s = self.answered_s.get(digest, float("-inf"))
        return self.clock() - answered_s < self.ttl_s

    def is_answered(self, digest: bytes) -> bool:
        """Return whether any instance has had a request answered lately."""
        return self.is_answered_here(digest) or any(
            digest in answered for answered in list(self.by_peer.values())
        )

    def keep_only(self, members: collections.abc.Container[str]) -> None:
        """Drop what all peers but these have published."""
        for member in list(self.by_peer):
            if member not in members:
                self.by_peer.pop(member, None)

    def provide(self) -> bytes:
        """Return the digests that matter to peers, encoded."""
        answered = filter(self.is_answered_here, self.of_interest())
        packed: bytes = msgpack.packb(list(answered)[:MAX_PUBLISHED])
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Replace the digests received from a peer."""
        digests = msgspec.msgpack.decode(data, type=list[bytes])
        self.by_peer[member] = frozenset(digests)
