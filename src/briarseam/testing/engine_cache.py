"""The prefix cache of a stand-in engine and the events it publishes."""

from __future__ import annotations

import collections
import collections.abc
import dataclasses
import itertools
import random
import threading
import time

from briarseam.cache import pieces

KEPT_EVENTS = 20_000
"""Events kept for readers; older ones show as a gap."""


@dataclasses.dataclass(frozen=True)
class Prefix:
    """Name of one cached piece.

    Attributes
    ----------
    model
        The model's name.
    version
        The weight version that computed it.
    digest
        Chain digest, which covers the salt.
    """

    model: str
    version: str
    digest: bytes


@dataclasses.dataclass(frozen=True)
class Event:
    """One change of the cache.

    Attributes
    ----------
    seq
        Its place in the sequence of events, from 1.
    at
        Monotonic time in seconds.
    kind
        ``"added"`` or ``"removed"``.
    prefix
        What changed.
    lost
        Whether readers never see it.
    """

    seq: int
    at: float
    kind: str
    prefix: Prefix
    lost: bool


@dataclasses.dataclass(frozen=True)
class EventPage:
    """Answer of ``GET /cache/events``."""

    boot_id: str
    next: int
    events: list[tuple[int, str, str, str, str]]


@dataclasses.dataclass(frozen=True)
class CacheListing:
    """Answer of ``GET /cache``."""

    boot_id: str
    seq: int
    prefixes: list[tuple[str, str, str]]


class PrefixCache:
    """Pieces in limited memory, least recently used out first.

    Parameters
    ----------
    capacity_tokens
        Room in tokens.
    boot_id
        Identifies this start of the engine.
    seed
        Fixes which events are lost.
    """

    def __init__(
        self, capacity_tokens: int, boot_id: str, seed: int = 0
    ) -> None:
        self.boot_id = boot_id
        self.lock = threading.Lock()
        self.capacity_tokens = capacity_tokens
        self.prefixes: collections.OrderedDict[Prefix, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[Event] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self.seq = 0
        self.event_loss = 0.0
        self.random = random.Random(seed)

    @property
    def tokens(self) -> int:
        """Tokens that are cached."""
        return len(self.prefixes) * pieces.PIECE_TOKENS

    def match(self, chain: list[Prefix]) -> int:
        """Find the longest cached prefix and mark it as used.

        Parameters
        ----------
        chain
            The pieces of a prompt, in order.

        Returns
        -------
        int
            How many pieces from the first on are cached.
        """
        with self.lock:
            matched = 0
            for prefix in chain:
                if prefix not in self.prefixes:
                    break
                matched += 1
            self.touch(chain[:matched])
            return matched

    def add(self, chain: list[Prefix]) -> None:
        """Cache pieces, evicting others for them.

        Parameters
        ----------
        chain
            Pieces in order; what is beyond the capacity is left out.
        """
        with self.lock:
            room = self.capacity_tokens // pieces.PIECE_TOKENS
            kept = chain[:room]
            for prefix in kept:
                if prefix not in self.prefixes:
                    self.prefixes[prefix] = None
                    self.publish("added", prefix)
            self.touch(kept)
            self.evict()

    def touch(self, chain: list[Prefix]) -> None:
        """Mark pieces as used; call it under ``lock``.

        Parameters
        ----------
        chain
            Cached pieces in order; the first becomes the most recent, as
            the later ones are of no use without it.
        """
        for prefix in reversed(chain):
            self.prefixes.move_to_end(prefix)

    def evict(self) -> None:
        """Remove what is beyond the capacity; call it under ``lock``."""
        while self.tokens > self.capacity_tokens:
            prefix, _ = self.prefixes.popitem(last=False)
            self.publish("removed", prefix)

    def resize(self, capacity_tokens: int, event_loss: float) -> None:
        """Take over changed switches.

        Parameters
        ----------
        capacity_tokens
            Room in tokens.
        event_loss
            Share of events that readers never see.
        """
        with self.lock:
            self.capacity_tokens = capacity_tokens
            self.event_loss = event_loss
            self.evict()

    def drop_version(self, model: str, version: str) -> None:
        """Remove all pieces of weights that are being replaced.

        Parameters
        ----------
        model
            The model's name.
        version
            The weight version that goes.
        """
        with self.lock:
            gone = [
                prefix
                for prefix in self.prefixes
                if (prefix.model, prefix.version) == (model, version)
            ]
            for prefix in gone:
                del self.prefixes[prefix]
                self.publish("removed", prefix)

    def contains(self, prefix: Prefix) -> bool:
        """Tell whether a piece is cached.

        Parameters
        ----------
        prefix
            The piece.

        Returns
        -------
        bool
            Whether it is there now.
        """
        with self.lock:
            return prefix in self.prefixes

    def publish(self, kind: str, prefix: Prefix) -> None:
        """Note an event; call it under ``lock``.

        Parameters
        ----------
        kind
            ``"added"`` or ``"removed"``.
        prefix
            What changed.
        """
        self.seq += 1
        lost = self.random.random() < self.event_loss
        event = Event(self.seq, time.monotonic(), kind, prefix, lost)
        self.events.append(event)

    def events_after(self, after: int, lag_s: float) -> EventPage:
        """Read the events that are old enough to be seen.

        Parameters
        ----------
        after
            Number of the last event not wanted.
        lag_s
            Seconds by which events are late.

        Returns
        -------
        EventPage
            The events; ``next`` follows the last one old enough, lost or
            not.
        """
        seen_at = time.monotonic() - lag_s
        rows = []
        with self.lock:
            following = min(after, self.seq) + 1
            for event in self.from_seq(following):
                if event.at > seen_at:
                    break
                following = event.seq + 1
                if not event.lost:
                    row = (event.seq, event.kind, *named(event.prefix))
                    rows.append(row)
        return EventPage(self.boot_id, following, rows)

    def from_seq(self, seq: int) -> collections.abc.Iterator[Event]:
        """Go through the kept events; call it under ``lock``.

        Parameters
        ----------
        seq
            Number of the first one wanted.

        Returns
        -------
        collections.abc.Iterator[Event]
            The events, oldest first.
        """
        first = self.events[0].seq if self.events else seq
        return itertools.islice(self.events, max(0, seq - first), None)

    def listing(self) -> CacheListing:
        """List everything, without lag or loss.

        Returns
        -------
        CacheListing
            All pieces and the number of the last event.
        """
        with self.lock:
            rows = [named(prefix) for prefix in self.prefixes]
            return CacheListing(self.boot_id, self.seq, rows)


def named(prefix: Prefix) -> tuple[str, str, str]:
    """Return a prefix as the protocol writes it.

    Parameters
    ----------
    prefix
        The piece.

    Returns
    -------
    tuple[str, str, str]
        Model, version, and digest in hexadecimal.
    """
    return prefix.model, prefix.version, prefix.digest.hex()
