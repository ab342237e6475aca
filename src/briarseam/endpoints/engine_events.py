"""The model engine's cache events, as an agent reads them."""

from __future__ import annotations

import dataclasses

import urllib3

from briarseam.endpoints import reading

CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 2.0
TIMEOUT = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, total=CALL_TIMEOUT_S)
ADDED = "added"


@dataclasses.dataclass(frozen=True)
class Event:
    """One prefix that the engine took in or dropped.

    Attributes
    ----------
    seq
        Place in the engine's sequence, dense from 1.
    added
        Taken in, else dropped.
    model, version
        What it was computed with.
    digest
        The engine's name of the prefix.
    """

    seq: int
    added: bool
    model: str
    version: str
    digest: bytes


@dataclasses.dataclass(frozen=True)
class EventPage:
    """Events after a number; some may be missing.

    Attributes
    ----------
    boot_id
        The engine's boot.
    next
        Number of the first event that is not in it.
    events
        In order.
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
        The engine's boot.
    seq
        Number of the last event in it.
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
    """The engine did not answer, or not as its protocol says."""


class EventClient:
    """Reads engines' cache events and listings."""

    def __init__(self) -> None:
        self.pool = urllib3.PoolManager(
            maxsize=2, num_pools=256, retries=False
        )

    def get(self, url: str, body_type: type[reading.Body]) -> reading.Body:
        """Return the validated body of a GET."""
        return reading.read(
            self.pool, url, body_type, EventsUnavailableError, TIMEOUT
        )

    def events(self, address: str, after: int) -> EventPage:
        """Return events after a number.

        Raises
        ------
        EventsUnavailableError
            When the engine does not answer properly.
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
            When the engine does not answer properly.
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
