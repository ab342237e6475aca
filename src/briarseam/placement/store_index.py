"""Index of one store's parts, and the events that change it."""

from __future__ import annotations

import collections
import dataclasses
import secrets
import typing

from briarseam.discovery import starts

if typing.TYPE_CHECKING:
    from briarseam.routes import model as routes

# Changes kept for other instances; one that is further behind has to read the
# complete content.  Covers about 10 s of a busy store.
HISTORY_LENGTH = 4000
GENERATION_BYTES = 6
UNKNOWN_CLOCK_MS = 0.0

PartKey = tuple[str, str]


@dataclasses.dataclass(frozen=True)
class PartEvent:
    """A change of a store's content.

    Attributes
    ----------
    salt, part
        Salt and id of the part.
    tokens
        Length of the part once it is complete; 0 if it was dropped.
    """

    salt: str
    part: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class Changes:
    """Changes reported by a store.

    Attributes
    ----------
    epoch
        Differs after each restart, which leaves the store empty.
    next
        Number to continue from in the next query.
    lost
        Whether changes before these are missing.
    events
        Changes, in order.
    born_ms
        Start time of the store, in milliseconds since the Unix epoch by its
        own clock; 0 if not reported.
    clock_ms
        What the clock of all endpoints and stores showed; 0 if not reported.
    """

    epoch: int
    next: int
    lost: bool
    events: tuple[PartEvent, ...]
    born_ms: int = starts.UNKNOWN_MS
    clock_ms: float = UNKNOWN_CLOCK_MS


@dataclasses.dataclass(frozen=True)
class Content:
    """Complete content of a store.

    Attributes
    ----------
    epoch, next, born_ms, clock_ms
        As in :class:`Changes`.
    parts
        Complete parts.
    """

    epoch: int
    next: int
    parts: tuple[PartEvent, ...]
    born_ms: int = starts.UNKNOWN_MS
    clock_ms: float = UNKNOWN_CLOCK_MS


@dataclasses.dataclass
class StoreIndex:
    """Known content of one store.

    Attributes
    ----------
    traits
        The store's configuration.
    readable
        Whether the store answers, so that its content is known.
    confirmed_s
        Time of the last confirmation of the content, by the index's clock.
    epoch, born_ms
        Epoch and start time of the store that the content belongs to.
    held
        Tokens of each complete part.
    used
        Sum of these.
    saves_from_s
        Time from which parts may be saved there, by the index's clock.
    generation
        Random id; replaced whenever the complete content is read or dropped.
    sequence
        Number of changes applied in this generation.
    history
        The newest of these changes; the last one has number ``sequence``.
    """

    traits: routes.StoreTraits
    readable: bool = False
    confirmed_s: float = 0.0
    epoch: int = 0
    born_ms: int = starts.UNKNOWN_MS
    held: dict[PartKey, int] = dataclasses.field(default_factory=dict)
    used: int = 0
    saves_from_s: float = 0.0
    generation: str = ""
    sequence: int = 0
    history: collections.deque[PartEvent] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=HISTORY_LENGTH)
    )

    def is_superseded(self, born_ms: int) -> bool:
        """Return whether a newer start of the store is already known.

        Guard: an instance that lags behind may report content from before a
        restart that this one has already seen.  Such parts may be being
        written again, and fetching them would yield garbage.
        """
        return starts.UNKNOWN_MS < born_ms < self.born_ms

    def is_restart(self, update: Changes | Content) -> bool:
        """Return whether an update is from a later start of the store.

        The epoch only distinguishes starts, while the start time also orders
        them.  Either may be missing, or be the same by chance.
        """
        is_later = starts.UNKNOWN_MS < self.born_ms < update.born_ms
        return is_later or update.epoch != self.epoch

    def set_part(self, event: PartEvent) -> None:
        """Apply one change."""
        key = (event.salt, event.part)
        self.used -= self.held.pop(key, 0)
        if event.tokens > 0:
            self.held[key] = event.tokens
            self.used += event.tokens

    def record_change(self, event: PartEvent) -> None:
        """Apply one change and add it to the history."""
        self.set_part(event)
        self.sequence += 1
        self.history.append(event)

    def clear(self) -> None:
        """Drop the content and start a new generation."""
        self.held.clear()
        self.used = 0
        self.generation = secrets.token_hex(GENERATION_BYTES)
        self.sequence = 0
        self.history.clear()
