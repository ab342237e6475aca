"""Prefixes that each engine probably has in its own memory.

The information is approximate: an engine evicts at any time, and its events
arrive late and with gaps.  An error costs time but never correctness, since
the engine itself decides what it computes.
"""

from __future__ import annotations

import collections
import threading
import typing

import xxhash

if typing.TYPE_CHECKING:
    from briarseam.endpoints import engine_events

DEFAULT_CAPACITY_PIECES = 100
# Largest share of an engine's memory that may have been used since a run of
# this agent used a piece for the piece to count as surely present.  Uses by
# other agents' runs become known late.
SURE_SHARE = 0.5
# A piece takes about 200 bytes; this bounds the agent's memory whatever
# capacity engines report.
MAX_PIECES = 40_000


def key_of(digest: bytes, model: str, version: str) -> bytes:
    """Return the key of a prefix.

    An engine's blocks belong to a weight version.  The key includes the
    version, so that an engine's old prefixes do not match after its weights
    change.

    Parameters
    ----------
    digest
        The engine's digest of the prefix.
    model, version
        Model and weight version that computed the prefix.
    """
    return digest + xxhash.xxh64_digest(f"\0{model}\0{version}".encode())


class EnginePrefixes:
    """The prefixes of one engine, least recently used first.

    Parameters
    ----------
    capacity_pieces
        Capacity of the engine's memory, in pieces.
    """

    def __init__(self, capacity_pieces: int = DEFAULT_CAPACITY_PIECES) -> None:
        self.capacity_pieces = capacity_pieces
        self.used_pieces = 0
        # ``used_pieces`` at the last use by a run of this agent.
        self.last_used: collections.OrderedDict[bytes, int | None] = (
            collections.OrderedDict()
        )

    def count_leading(self, keys: typing.Sequence[bytes]) -> int:
        """Return how many of the first keys are known, without a gap."""
        count = 0
        for key in keys:
            if key not in self.last_used:
                break
            count += 1
        return count

    def count_sure(self, keys: typing.Sequence[bytes]) -> int:
        """Return how many of the first keys are unlikely to be evicted yet.

        Guard: an engine evicts at once and reports it late, so a prompt that
        returns right after that still looks cached.  The prompt is then
        recomputed although the stores have all of it.  Only pieces that a
        run of this agent used recently need no import.
        """
        oldest = self.used_pieces - SURE_SHARE * self.capacity_pieces
        count = 0
        for key in keys:
            last_used = self.last_used.get(key)
            if last_used is None or last_used < oldest:
                break
            count += 1
        return count

    def record_use(
        self, keys: typing.Sequence[bytes], max_pieces: int = MAX_PIECES
    ) -> None:
        """Record that a run has just used or computed some pieces."""
        self.used_pieces += len(keys)
        for key in keys:
            self.last_used[key] = self.used_pieces
            self.last_used.move_to_end(key)
        self.evict(max_pieces)

    def add(self, key: bytes, max_pieces: int = MAX_PIECES) -> None:
        """Record that the engine reports a prefix."""
        if key in self.last_used:
            return
        self.used_pieces += 1
        self.last_used[key] = None
        self.evict(max_pieces)

    def evict(self, max_pieces: int) -> None:
        """Drop the least recently used pieces above the capacity."""
        while len(self.last_used) > min(self.capacity_pieces, max_pieces):
            self.last_used.popitem(last=False)

    def drop(self, key: bytes) -> None:
        """Record that a prefix was evicted."""
        self.last_used.pop(key, None)

    def truncate(self, keys: typing.Sequence[bytes], known: int) -> None:
        """Record that an engine had only the first ``known`` keys."""
        for key in keys[known:]:
            self.last_used.pop(key, None)


class Prefixes:
    """The prefixes of all engines; thread-safe."""

    def __init__(self) -> None:
        self.engines: dict[str, EnginePrefixes] = {}
        self.lock = threading.Lock()

    def count_leading(
        self, endpoint: str, keys: typing.Sequence[bytes]
    ) -> int:
        """Return how many leading pieces an engine probably has."""
        with self.lock:
            known = self.engines.get(endpoint)
            return known.count_leading(keys) if known else 0

    def holding(
        self, endpoints: typing.Sequence[str], key: bytes, limit: int
    ) -> list[str]:
        """Return engines that probably have a piece, at most ``limit``."""
        holding: list[str] = []
        with self.lock:
            for endpoint in endpoints:
                known = self.engines.get(endpoint)
                if known is not None and key in known.last_used:
                    holding.append(endpoint)
                    if len(holding) == limit:
                        break
        return holding

    def count_sure(self, endpoint: str, keys: typing.Sequence[bytes]) -> int:
        """Return how many leading pieces an engine has almost surely."""
        with self.lock:
            known = self.engines.get(endpoint)
            return known.count_sure(keys) if known else 0

    def record_use(
        self,
        endpoint: str,
        keys: typing.Sequence[bytes],
        capacity_pieces: int | None,
    ) -> None:
        """Record the pieces that a run uses at an engine."""
        with self.lock:
            known = self.engines.setdefault(endpoint, EnginePrefixes())
            if capacity_pieces is not None:
                known.capacity_pieces = capacity_pieces
            known.record_use(keys, MAX_PIECES // len(self.engines))

    def truncate(
        self, endpoint: str, keys: typing.Sequence[bytes], known: int
    ) -> None:
        """Record that an engine had only the first ``known`` keys."""
        with self.lock:
            if endpoint in self.engines:
                self.engines[endpoint].truncate(keys, known)

    def added(self, endpoint: str, prefix: engine_events.Prefix) -> None:
        """Record an engine's event that it has a prefix."""
        key = key_of(prefix.digest, prefix.model, prefix.version)
        with self.lock:
            known = self.engines.setdefault(endpoint, EnginePrefixes())
            known.add(key, MAX_PIECES // len(self.engines))

    def removed(self, endpoint: str, prefix: engine_events.Prefix) -> None:
        """Record an engine's event that it has evicted a prefix."""
        key = key_of(prefix.digest, prefix.model, prefix.version)
        with self.lock:
            if endpoint in self.engines:
                self.engines[endpoint].drop(key)

    def forget(self, endpoint: str) -> None:
        """Drop all prefixes of an engine that restarted or was removed."""
        with self.lock:
            self.engines.pop(endpoint, None)
