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
class Report:
    """One report of an engine.

    Attributes
    ----------
    state
        As reported.
    asked_s
        When it was asked for, so that anything done before shows.
    """

    state: engine_orders.EngineState
    requested_s: float


@dataclasses.dataclass(frozen=True)
class LoadOrder:
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
    confirmed: bool


class VersionStatus(enum.StrEnum):
    """How an engine stands to what is wanted of a model."""

    SERVING = "serving"
    OTHER_VERSION = "other-version"
    EMPTY = "empty"
    LOADING = "loading"
    LOADING_OTHER = "loading-other"
    ORDERED = "ordered"
    UNREACHABLE = "unreachable"


COUNT_AS_SERVING = frozenset(
    {VersionStatus.SERVING, VersionStatus.OTHER_VERSION}
)
COUNT_AS_LOADING = frozenset(
    {VersionStatus.LOADING, VersionStatus.LOADING_OTHER, VersionStatus.ORDERED}
)


def version_status_of(
    model: str,
    version: str,
    report: Report | None,
    load_order: LoadOrder | None,
) -> VersionStatus:
    """Return how an engine stands, by its reports and not by hopes.

    An engine that was given a load counts as loading until a report asked
    for afterwards tells otherwise.  One whose order was lost counts so
    until it reports the ordered version: the order may arrive at any time
    and would take another engine out while one is out already.
    """
    if report is None:
        return VersionStatus.UNREACHABLE
    state = report.state.models.get(model, engine_orders.ModelState())
    if load_order is not None and is_pending(load_order, report, state):
        return VersionStatus.ORDERED
    if state.loading is not None:
        if state.loading == version:
            return VersionStatus.LOADING
        return VersionStatus.LOADING_OTHER
    if state.version is None:
        return VersionStatus.EMPTY
    if state.version == version:
        return VersionStatus.SERVING
    return VersionStatus.OTHER_VERSION


def is_pending(
    load_order: LoadOrder, report: Report, state: engine_orders.ModelState
) -> bool:
    """Tell whether a given load may not show in the report yet."""
    if report.requested_s < load_order.ended_s:
        return True
    if load_order.confirmed:
        return False
    return load_order.version not in (state.version, state.loading)


def engine_states_of(
    reports: typing.Mapping[str, Report],
) -> dict[str, engine_orders.EngineState]:
    """Return what was reported, without when."""
    return {name: report.state for name, report in reports.items()}


class EngineReports:
    """The last report of every engine; safe for several threads.

    Attributes
    ----------
    reports
        Reports asked for by this process.
    shared
        Reports of other members, by member and engine.
    changed
        Set when any report says something new.
    """

    def __init__(self) -> None:
        self.reports: dict[str, Report] = {}
        self.shared: dict[str, dict[str, Report]] = {}
        self.lock = threading.Lock()
        self.changed = threading.Event()

    def put(self, name: str, report: Report) -> None:
        """Take a report in; an older one than known is dropped."""
        with self.lock:
            known = self.reports.get(name)
            if known is not None and known.requested_s > report.requested_s:
                return
            self.reports[name] = report
        if known is None or known.state != report.state:
            self.changed.set()

    def put_shared(self, member: str, reports: dict[str, Report]) -> None:
        """Replace what a member reports."""
        with self.lock:
            known = self.shared.get(member, {})
            self.shared[member] = reports
        if engine_states_of(known) != engine_states_of(reports):
            self.changed.set()

    def retain_members(self, live: typing.Collection[str]) -> None:
        """Forget what members report that are no longer live."""
        with self.lock:
            gone = self.shared.keys() - live
            for member in gone:
                del self.shared[member]
        if gone:
            self.changed.set()

    def remove(self, name: str) -> None:
        """Forget an engine that no longer reports."""
        with self.lock:
            known = self.reports.pop(name, None)
        if known is not None:
            self.changed.set()

    def remove_older(self, name: str, requested_s: float) -> None:
        """Forget an engine's report if it was asked for before a time."""
        report = self.reports.get(name)
        if report is not None and report.requested_s < requested_s:
            self.remove(name)

    def own(self) -> dict[str, Report]:
        """Return the reports asked for by this process."""
        with self.lock:
            return dict(self.reports)

    def shared_names(self) -> set[str]:
        """Return the engines that other members report."""
        with self.lock:
            return {
                name for reports in self.shared.values() for name in reports
            }

    def all(self) -> dict[str, Report]:
        """Return all present reports, our own before others'."""
        with self.lock:
            found: dict[str, Report] = {}
            for reports in self.shared.values():
                found.update(reports)
            found.update(self.reports)
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
