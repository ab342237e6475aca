"""Which prefixes each engine probably has in its own memory.

Knowledge is a guess: an engine evicts without asking, and its events come
late and with gaps.  A wrong guess costs time, never correctness, since the
engine itself decides what it computes.
"""

from __future__ import annotations

import collections
import threading
import typing

import xxhash

if typing.TYPE_CHECKING:
    from briarseam.endpoints import engine_events

DEFAULT_CAPACITY_PIECES = 100
# How much of an engine's memory may have been used anew since a run of ours
# used a piece, for it to be surely there.  What others use shows late.
SURE_PART = 0.5
# Some 200 bytes each; an agent's memory is bounded whatever engines report.
MAX_PIECES = 40_000


def key_of(digest: bytes, model: str, version: str) -> bytes:
    """Return the name of a prefix here.

    An engine's blocks belong to a weight version; the version in the key
    keeps a swap from making its old prefixes look useful.

    Parameters
    ----------
    digest
        The engine's name of the prefix.
    model, version
        What it is computed with.
    """
    return digest + xxhash.xxh64_digest(f"\0{model}\0{version}".encode())


class EnginePrefixes:
    """The prefixes of one engine, least recently used first.

    Parameters
    ----------
    capacity_pieces
        Pieces the engine's memory holds.
    """

    def __init__(self, capacity_pieces: int = DEFAULT_CAPACITY_PIECES) -> None:
        self.capacity_pieces = capacity_pieces
        self.used = 0
        self.order: collections.OrderedDict[bytes, int | None] = (
            collections.OrderedDict()
        )

    def leading(self, keys: typing.Sequence[bytes]) -> int:
        """Return how many of the first keys are known, without a hole."""
        count = 0
        for key in keys:
            if key not in self.order:
                break
            count += 1
        return count

    def sure(self, keys: typing.Sequence[bytes]) -> int:
        """Return how many of the first keys can hardly be evicted yet.

        Guard: an engine evicts at once and says so late, so a prompt that
        returns just after that is believed to be there.  It shows as a
        cold return although the stores have all of it.  Only what a run
        of ours used, with not too much used since, need not be imported.
        """
        oldest = self.used - SURE_PART * self.capacity_pieces
        count = 0
        for key in keys:
            used_at = self.order.get(key)
            if used_at is None or used_at < oldest:
                break
            count += 1
        return count

    def use(
        self, keys: typing.Sequence[bytes], at_most: int = MAX_PIECES
    ) -> None:
        """Note that a run has just used or computed these."""
        self.used += len(keys)
        for key in keys:
            self.order[key] = self.used
            self.order.move_to_end(key)
        self.evict(at_most)

    def add(self, key: bytes, at_most: int = MAX_PIECES) -> None:
        """Note that the engine says it has one."""
        if key in self.order:
            return
        self.used += 1
        self.order[key] = None
        self.evict(at_most)

    def evict(self, at_most: int) -> None:
        """Forget what was used longest ago, as far as there is no room."""
        while len(self.order) > min(self.capacity_pieces, at_most):
            self.order.popitem(last=False)

    def drop(self, key: bytes) -> None:
        """Note that a prefix was evicted."""
        self.order.pop(key, None)

    def truncate(self, keys: typing.Sequence[bytes], known: int) -> None:
        """Note that an engine had only the first ``known`` keys."""
        for key in keys[known:]:
            self.order.pop(key, None)


class Prefixes:
    """The prefixes of all engines; safe for several threads."""

    def __init__(self) -> None:
        self.engines: dict[str, EnginePrefixes] = {}
        self.lock = threading.Lock()

    def leading(self, endpoint: str, keys: typing.Sequence[bytes]) -> int:
        """Return how many leading pieces an engine probably has."""
        with self.lock:
            known = self.engines.get(endpoint)
            return known.leading(keys) if known else 0

    def holding(
        self, endpoints: typing.Sequence[str], key: bytes, limit: int
    ) -> list[str]:
        """Return engines that probably have a piece, at most ``limit``."""
        found: list[str] = []
        with self.lock:
            for endpoint in endpoints:
                known = self.engines.get(endpoint)
                if known is not None and key in known.order:
                    found.append(endpoint)
                    if len(found) == limit:
                        break
        return found

    def sure(self, endpoint: str, keys: typing.Sequence[bytes]) -> int:
        """Return how many leading pieces an engine has almost surely."""
        with self.lock:
            known = self.engines.get(endpoint)
            return known.sure(keys) if known else 0

    def use(
        self,
        endpoint: str,
        keys: typing.Sequence[bytes],
        capacity_pieces: int | None,
    ) -> None:
        """Note a run's pieces at an engine."""
        with self.lock:
            known = self.engines.setdefault(endpoint, EnginePrefixes())
            if capacity_pieces is not None:
                known.capacity_pieces = capacity_pieces
            known.use(keys, MAX_PIECES // len(self.engines))

    def truncate(
        self, endpoint: str, keys: typing.Sequence[bytes], known: int
    ) -> None:
        """Note that an engine had fewer pieces than was thought."""
        with self.lock:
            if endpoint in self.engines:
                self.engines[endpoint].truncate(keys, known)

    def added(self, endpoint: str, prefix: engine_events.Prefix) -> None:
        """Take in an engine's word that it has a prefix."""
        key = key_of(prefix.digest, prefix.model, prefix.version)
        with self.lock:
            known = self.engines.setdefault(endpoint, EnginePrefixes())
            known.add(key, MAX_PIECES // len(self.engines))

    def removed(self, endpoint: str, prefix: engine_events.Prefix) -> None:
        """Take in an engine's word that it has dropped a prefix."""
        key = key_of(prefix.digest, prefix.model, prefix.version)
        with self.lock:
            if endpoint in self.engines:
                self.engines[endpoint].drop(key)

    def forget(self, endpoint: str) -> None:
        """Forget an engine that was started anew or is in doubt."""
        with self.lock:
            self.engines.pop(endpoint, None)
