"""Client of a model engine's prefix cache events, for an agent."""

from __future__ import annotations

import dataclasses

import urllib3

from briarseam import bounded_http
from briarseam.endpoints import reading

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
TIMEOUT = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, total=CALL_TIMEOUT_S)
ADDED = "added"


@dataclasses.dataclass(frozen=True)
class Event:
    """A prefix that the engine added to its cache or removed from it.

    Attributes
    ----------
    seq
        Number in the engine's sequence, which starts at 1 without gaps.
    added
        Whether the prefix was added; otherwise it was removed.
    model, version
        Model and weight version that computed it.
    digest
        Chain digest by which the engine identifies the prefix.
    """

    seq: int
    added: bool
    model: str
    version: str
    digest: bytes


@dataclasses.dataclass(frozen=True)
class EventPage:
    """Events after a sequence number; some may be missing.

    Attributes
    ----------
    boot_id
        Identifies the engine's start.
    next
        Sequence number of the first event after the page.
    events
        Events in order.
    """

    boot_id: str
    next: int
    events: tuple[Event, ...]


@dataclasses.dataclass(frozen=True)
class Prefix:
    """One prefix that the engine holds."""

    model: str
    version: str
    digest: bytes


@dataclasses.dataclass(frozen=True)
class Listing:
    """All prefixes that the engine holds, as of an event.

    Attributes
    ----------
    boot_id
        Identifies the engine's start.
    seq
        Sequence number of the last event that the listing includes.
    prefixes
        The prefixes.
    """

    boot_id: str
    seq: int
    prefixes: tuple[Prefix, ...]


@dataclasses.dataclass(frozen=True)
class RawPage:
    """Body of an event page."""

    boot_id: str
    next: int
    events: tuple[tuple[int, str, str, str, str], ...]


@dataclasses.dataclass(frozen=True)
class RawListing:
    """Body of a listing."""

    boot_id: str
    seq: int
    prefixes: tuple[tuple[str, str, str], ...]


class EventsUnavailableError(Exception):
    """The engine gave no answer, or an invalid one."""


class EventClient:
    """Reads engines' cache events and listings."""

    def __init__(self) -> None:
        self.pool = bounded_http.pool_manager(
            maxsize=2, num_pools=256, retries=False
        )

    def get(self, url: str, body_type: type[reading.Body]) -> reading.Body:
        """Return the validated body of a GET."""
        return reading.read(
            self.pool, url, body_type, EventsUnavailableError, TIMEOUT
        )

    def events(self, address: str, after: int) -> EventPage:
        """Return events after a sequence number.

        Raises
        ------
        EventsUnavailableError
            If the engine gives no valid answer.
        """
        url = f"http://{address}/cache/events?after={after}"
        raw = self.get(url, RawPage)
        try:
            events = tuple(
                Event(seq, kind == ADDED, model, version, bytes.fromhex(name))
                for seq, kind, model, version, name in raw.events
            )
        except ValueError as error:
            raise EventsUnavailableError(str(error)) from error
        return EventPage(raw.boot_id, raw.next, events)

    def listing(self, address: str) -> Listing:
        """Return all prefixes; expensive for the engine.

        Raises
        ------
        EventsUnavailableError
            If the engine gives no valid answer.
        """
        raw = self.get(f"http://{address}/cache", RawListing)
        try:
            prefixes = tuple(
                Prefix(model, version, bytes.fromhex(name))
                for model, version, name in raw.prefixes
            )
        except ValueError as error:
            raise EventsUnavailableError(str(error)) from error
        return Listing(raw.boot_id, raw.seq, prefixes)
