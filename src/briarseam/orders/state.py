"""What the engines reported and what was ordered of them."""

from __future__ import annotations

import dataclasses
import enum
import threading
import typing

from briarseam.endpoints import engine_orders

# Without a report for so long an engine counts as not serving.
MAX_AGE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Reading:
    """One report of an engine.

    Attributes
    ----------
    state
        As reported.
    asked_s
        When it was asked for, so that anything done before shows.
    """

    state: engine_orders.EngineState
    asked_s: float


@dataclasses.dataclass(frozen=True)
class Errand:
    """The last load ordered of an engine for a model.

    Attributes
    ----------
    version
        What was ordered.
    ended_s
        When its answer, or its loss, was known.
    settled
        False while it may still arrive late.
    """

    version: str
    ended_s: float
    settled: bool


class Standing(enum.StrEnum):
    """How an engine stands to what is wanted of a model."""

    SERVING = "serving"
    OTHER = "other-version"
    EMPTY = "empty"
    LOADING = "loading"
    LOADING_OTHER = "loading-other"
    ORDERED = "ordered"
    UNREACHABLE = "unreachable"


COUNTED_SERVING = frozenset({Standing.SERVING, Standing.OTHER})
COUNTED_LOADING = frozenset(
    {Standing.LOADING, Standing.LOADING_OTHER, Standing.ORDERED}
)


def standing_of(
    model: str,
    version: str,
    reading: Reading | None,
    errand: Errand | None,
) -> Standing:
    """Return how an engine stands, by its reports and not by hopes.

    An engine that was given a load counts as loading until a report asked
    for afterwards tells otherwise.  One whose order was lost counts so
    until it reports the ordered version: the order may arrive at any time
    and would take another engine out while one is out already.
    """
    if reading is None:
        return Standing.UNREACHABLE
    state = reading.state.models.get(model, engine_orders.ModelState())
    if errand is not None and pending(errand, reading, state):
        return Standing.ORDERED
    if state.loading is not None:
        if state.loading == version:
            return Standing.LOADING
        return Standing.LOADING_OTHER
    if state.version is None:
        return Standing.EMPTY
    if state.version == version:
        return Standing.SERVING
    return Standing.OTHER


def pending(
    errand: Errand, reading: Reading, state: engine_orders.ModelState
) -> bool:
    """Tell whether a given load may not show in the report yet."""
    if reading.asked_s < errand.ended_s:
        return True
    if errand.settled:
        return False
    return errand.version not in (state.version, state.loading)


def states_of(
    readings: typing.Mapping[str, Reading],
) -> dict[str, engine_orders.EngineState]:
    """Return what was reported, without when."""
    return {name: reading.state for name, reading in readings.items()}


class Board:
    """The last report of every engine; safe for several threads.

    Attributes
    ----------
    readings
        Reports asked for by this process.
    shared
        Reports of other members, by member and engine.
    changed
        Set when any report says something new.
    """

    def __init__(self) -> None:
        self.readings: dict[str, Reading] = {}
        self.shared: dict[str, dict[str, Reading]] = {}
        self.lock = threading.Lock()
        self.changed = threading.Event()

    def put(self, name: str, reading: Reading) -> None:
        """Take a report in; an older one than known is dropped."""
        with self.lock:
            known = self.readings.get(name)
            if known is not None and known.asked_s > reading.asked_s:
                return
            self.readings[name] = reading
        if known is None or known.state != reading.state:
            self.changed.set()

    def put_shared(self, member: str, readings: dict[str, Reading]) -> None:
        """Replace what a member reports."""
        with self.lock:
            known = self.shared.get(member, {})
            self.shared[member] = readings
        if states_of(known) != states_of(readings):
            self.changed.set()

    def keep_members(self, live: typing.Collection[str]) -> None:
        """Forget what members report that are no longer live."""
        with self.lock:
            gone = self.shared.keys() - live
            for member in gone:
                del self.shared[member]
        if gone:
            self.changed.set()

    def drop(self, name: str) -> None:
        """Forget an engine that no longer reports."""
        with self.lock:
            known = self.readings.pop(name, None)
        if known is not None:
            self.changed.set()

    def drop_older(self, name: str, asked_s: float) -> None:
        """Forget an engine's report if it was asked for before a time."""
        reading = self.readings.get(name)
        if reading is not None and reading.asked_s < asked_s:
            self.drop(name)

    def own(self) -> dict[str, Reading]:
        """Return the reports asked for by this process."""
        with self.lock:
            return dict(self.readings)

    def told(self) -> set[str]:
        """Return the engines that other members report."""
        with self.lock:
            return {
                name for readings in self.shared.values() for name in readings
            }

    def all(self) -> dict[str, Reading]:
        """Return all present reports, our own before others'."""
        with self.lock:
            found: dict[str, Reading] = {}
            for readings in self.shared.values():
                found.update(readings)
            found.update(self.readings)
            return found


@dataclasses.dataclass(frozen=True)
class Offer:
    """What an engine offers for new requests of a model.

    Attributes
    ----------
    version, adapter
        What the request has to name.
    """

    version: str
    adapter: str


Offers = typing.Mapping[str, Offer]
