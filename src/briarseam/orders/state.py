"""Reports of the engines and the loads ordered from them."""

from __future__ import annotations

import dataclasses
import enum
import threading
import typing

from briarseam.endpoints import engine_orders

# An engine without a report for longer than this counts as unreachable.
MAX_AGE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Report:
    """One report of an engine.

    Attributes
    ----------
    state
        The reported state.
    requested_s
        When it was requested, in seconds; it reflects everything that
        happened before.
    """

    state: engine_orders.EngineState
    requested_s: float


@dataclasses.dataclass(frozen=True)
class LoadOrder:
    """The last load that an engine was ordered to do for a model.

    Attributes
    ----------
    version
        The version ordered.
    ended_s
        When the order was answered or found to be lost, in seconds.
    confirmed
        Whether the engine has accepted the order.  Otherwise its answer was
        lost, and the order may still arrive late.
    """

    version: str
    ended_s: float
    confirmed: bool


class VersionStatus(enum.StrEnum):
    """Status of an engine compared with the desired version of a model."""

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
    """Return the status of an engine, derived from its last report.

    After an accepted load order the engine counts as loading until a report
    requested later shows otherwise.  After a lost order it counts as
    loading until it reports the ordered version: the order may arrive at
    any time, and if another engine were ordered to load meanwhile, both
    would stop serving at once.

    Parameters
    ----------
    model, version
        The model and its desired version.
    report
        Last report of the engine; ``None`` when it does not report.
    load_order
        Last load ordered for the model, if any.
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
    """Return whether the report may not reflect a load order yet."""
    if report.requested_s < load_order.ended_s:
        return True
    if load_order.confirmed:
        return False
    return load_order.version not in (state.version, state.loading)


def engine_states_of(
    reports: typing.Mapping[str, Report],
) -> dict[str, engine_orders.EngineState]:
    """Return the states of reports without their times."""
    return {name: report.state for name, report in reports.items()}


class EngineReports:
    """The last report of every engine; thread-safe.

    Attributes
    ----------
    reports
        Reports requested by this process, by engine.
    shared
        Reports of other members, by member and engine.
    changed
        Set when the state in any report has changed.
    """

    def __init__(self) -> None:
        self.reports: dict[str, Report] = {}
        self.shared: dict[str, dict[str, Report]] = {}
        self.lock = threading.Lock()
        self.changed = threading.Event()

    def put(self, name: str, report: Report) -> None:
        """Store a report unless a newer one is stored already."""
        with self.lock:
            known = self.reports.get(name)
            if known is not None and known.requested_s > report.requested_s:
                return
            self.reports[name] = report
        if known is None or known.state != report.state:
            self.changed.set()

    def put_shared(self, member: str, reports: dict[str, Report]) -> None:
        """Replace the reports of a member."""
        with self.lock:
            known = self.shared.get(member, {})
            self.shared[member] = reports
        if engine_states_of(known) != engine_states_of(reports):
            self.changed.set()

    def retain_members(self, live: typing.Collection[str]) -> None:
        """Remove the reports of all other members than the live ones."""
        with self.lock:
            gone = self.shared.keys() - live
            for member in gone:
                del self.shared[member]
        if gone:
            self.changed.set()

    def remove(self, name: str) -> None:
        """Remove the report of an engine that no longer reports."""
        with self.lock:
            known = self.reports.pop(name, None)
        if known is not None:
            self.changed.set()

    def remove_older(self, name: str, requested_s: float) -> None:
        """Remove the report of an engine if it was requested earlier."""
        report = self.reports.get(name)
        if report is not None and report.requested_s < requested_s:
            self.remove(name)

    def own(self) -> dict[str, Report]:
        """Return the reports requested by this process, by engine."""
        with self.lock:
            return dict(self.reports)

    def shared_names(self) -> set[str]:
        """Return the names of the engines that other members report."""
        with self.lock:
            return {
                name for reports in self.shared.values() for name in reports
            }

    def all(self) -> dict[str, Report]:
        """Return the current reports, by engine.

        A report requested by this process takes precedence over the report
        of another member.
        """
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
        The values that the request has to name.
    """

    version: str
    adapter: str


Offers = typing.Mapping[str, Offer]
