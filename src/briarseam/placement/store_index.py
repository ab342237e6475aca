"""What one store keeps, as far as known, and what it tells of it."""

from __future__ import annotations

import collections
import dataclasses
import secrets
import typing

from briarseam.discovery import starts

if typing.TYPE_CHECKING:
    from briarseam.routes import model as routes

# Changes that another instance may ask for before it has to read all: some
# ten seconds of a busy store's.
HISTORY = 4000
GENERATION_BYTES = 6

PartKey = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class PartEvent:
    """A change of what a store keeps.

    Attributes
    ----------
    salt, part
        Which part.
    tokens
        Its length, once it is whole; 0 when it was dropped.
    """

    salt: str
    part: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """What a store tells of changes.

    Attributes
    ----------
    epoch
        Changes when the store starts anew, empty.
    next
        Number to ask from next.
    lost
        Whether changes before these are missing.
    events
        In order.
    born_ms
        When the store started, in milliseconds since the epoch by its own
        clock; 0 where it does not say.
    """

    epoch: int
    next: int
    lost: bool
    events: tuple[PartEvent, ...]
    born_ms: int = starts.UNKNOWN_MS


@dataclasses.dataclass(frozen=True)
class Content:
    """All that a store keeps whole.

    Attributes
    ----------
    epoch, next, born_ms
        As in :class:`Changes`.
    parts
        Whole parts.
    """

    epoch: int
    next: int
    parts: tuple[PartEvent, ...]
    born_ms: int = starts.UNKNOWN_MS


@dataclasses.dataclass
class StoreIndex:
    """What one store keeps, as far as known.

    Attributes
    ----------
    traits
        The store.
    readable
        Whether it answers, so that its content is known to be there.
    confirmed_s
        When its content was last known to be this, by the index's clock.
    epoch, born_ms
        Of the content.
    held
        Tokens of whole parts.
    used
        Sum of these.
    generation
        Random; another one after the content was read or lost as a whole.
    sequence
        Number of changes taken in since then.
    history
        The newest of them, the last one with number ``sequence``.
    """

    traits: routes.StoreTraits
    readable: bool = False
    confirmed_s: float = 0.0
    epoch: int = 0
    born_ms: int = starts.UNKNOWN_MS
    held: dict[PartKey, int] = dataclasses.field(default_factory=dict)
    used: int = 0
    generation: str = ""
    sequence: int = 0
    history: collections.deque[PartEvent] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=HISTORY)
    )

    def is_over(self, born_ms: int) -> bool:
        """Tell whether another start has followed the one of some news.

        Guard: another instance that lags may tell what a store kept before
        it started anew, after this one has seen the new start.  Fetched,
        such parts would be garbage while they are written again.
        """
        return starts.UNKNOWN_MS < born_ms < self.born_ms

    def is_anew(self, told: Changes | Content) -> bool:
        """Tell whether news is of a later start than the content.

        The epoch tells starts apart, the time of birth also which is the
        later one; either may be missing or the same by chance.
        """
        is_later = starts.UNKNOWN_MS < self.born_ms < told.born_ms
        return is_later or told.epoch != self.epoch

    def put(self, event: PartEvent) -> None:
        """Take in one change."""
        key = (event.salt, event.part)
        self.used -= self.held.pop(key, 0)
        if event.tokens > 0:
            self.held[key] = event.tokens
            self.used += event.tokens

    def change(self, event: PartEvent) -> None:
        """Take in one change, and remember it for who asks."""
        self.put(event)
        self.sequence += 1
        self.history.append(event)

    def clear(self) -> None:
        """Forget everything."""
        self.held.clear()
        self.used = 0
        self.generation = secrets.token_hex(GENERATION_BYTES)
        self.sequence = 0
        self.history.clear()
