"""The endpoints that are leaving, by list, peers and configuration."""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgspec
import structlog

from briarseam.backing import instances
from briarseam.configuration import schema
from briarseam.configuration import values

if typing.TYPE_CHECKING:
    from briarseam.membership import service

SECTION = "leaving-endpoints"
REPORT_HOLD_S = 30.0
CACHE_S = 0.25
ROLES = frozenset({"engine", "service", "store"})
log = structlog.get_logger("briarseam.membership")
ViewSource = typing.Callable[[], schema.View]


@dataclasses.dataclass(frozen=True)
class LeavingEndpoint:
    """An endpoint that the instance list showed as leaving.

    Attributes
    ----------
    name
        Name on the instance list.
    address
        ``ip:port``.
    """

    name: str
    address: str


@dataclasses.dataclass(frozen=True)
class Report:
    """The last report of one peer.

    Attributes
    ----------
    leaving
        Endpoints that the peer itself read on the list as leaving.
    at
        Monotonic time in seconds at which the report was last valid.
    """

    leaving: frozenset[LeavingEndpoint]
    at: float


@dataclasses.dataclass(frozen=True)
class CachedNames:
    """Names of leaving endpoints, cached because each request needs them.

    Attributes
    ----------
    names
        Configured names of leaving endpoints.
    offset
        Configuration offset that they were computed from.
    until
        Monotonic time in seconds until which they are valid.
    """

    names: frozenset[str]
    offset: int
    until: float


class LeavingEndpoints:
    """Collects the endpoints that must get no new work.

    The instance list lags, and an agent may be unable to read it while
    others can; it would then go on sending work to an endpoint about to
    stop.  Agents therefore report to each other what they read themselves.
    They do not pass on reports: two agents that echo each other would keep
    an outdated report for ever.

    Parameters
    ----------
    membership
        Carries the reports, and reads the instance list.
    view
        Returns the current configuration.
    """

    def __init__(
        self, membership: service.Membership, view: ViewSource
    ) -> None:
        self.membership = membership
        self.view = view
        self.lock = threading.Lock()
        self.listed_leaving: frozenset[LeavingEndpoint] = frozenset()
        self.reports: dict[str, Report] = {}
        self.cached = CachedNames(frozenset(), -1, 0.0)
        membership.list_reader.add_callback(self.apply_listing)
        membership.add_section(SECTION, self.provide, self.consume)

    def apply_listing(self, rows: tuple[instances.Instance, ...]) -> None:
        """Apply one read of the instance list.

        An endpoint that was leaving and is no longer on the list stays
        leaving until the list shows it live again.
        """
        endpoint_rows = [row for row in rows if row.role in ROLES]
        live = [
            row
            for row in endpoint_rows
            if row.state is instances.ListedState.LIVE
        ]
        names = {row.name for row in live}
        addresses = {row.address for row in live}
        now_leaving = frozenset(
            LeavingEndpoint(row.name, row.address)
            for row in endpoint_rows
            if row.state is instances.ListedState.LEAVING
        )
        with self.lock:
            kept = {
                endpoint
                for endpoint in self.listed_leaving
                if endpoint.name not in names
                and endpoint.address not in addresses
            }
            listed_leaving = now_leaving | kept
            if listed_leaving == self.listed_leaving:
                return
            self.listed_leaving = listed_leaving
        self.invalidate()
        log.info(
            "endpoints_leaving",
            endpoints=sorted(endpoint.name for endpoint in listed_leaving),
        )
        self.membership.publish_now()

    def provide(self) -> bytes:
        """Return the endpoints that this agent read as leaving."""
        ordered = sorted(
            self.listed_leaving, key=lambda endpoint: endpoint.name
        )
        return msgspec.msgpack.encode(ordered)

    def consume(self, member: str, data: bytes) -> None:
        """Store a peer's report."""
        leaving = msgspec.msgpack.decode(data, type=frozenset[LeavingEndpoint])
        with self.lock:
            self.reports[member] = Report(leaving, self.membership.clock())
        self.invalidate()

    def invalidate(self) -> None:
        """Drop the cached names."""
        self.cached = CachedNames(frozenset(), -1, 0.0)

    def leaving_endpoints(self) -> frozenset[str]:
        """Return the configured names of endpoints that get no new work."""
        view = self.view()
        now = self.membership.clock()
        cached = self.cached
        if cached.offset != view.offset or now >= cached.until:
            names = self.names(view)
            cached = CachedNames(names, view.offset, now + CACHE_S)
            self.cached = cached
        return cached.names

    def names(self, view: schema.View) -> frozenset[str]:
        """Return the names of a view's leaving endpoints."""
        known_leaving = self.known_leaving()
        names = {endpoint.name for endpoint in known_leaving}
        addresses = {endpoint.address for endpoint in known_leaving}
        return frozenset(
            name
            for name, endpoint in view.endpoints.items()
            if endpoint.state is values.EndpointState.DRAINING
            or name in names
            or endpoint.address in addresses
        )

    def known_leaving(self) -> frozenset[LeavingEndpoint]:
        """Return the endpoints that this agent read or its peers report.

        A report is valid while its member is known and for
        ``REPORT_HOLD_S`` after that, by when this agent's own read is due.
        """
        now = self.membership.clock()
        present = {member.name for member in self.membership.members()}
        with self.lock:
            known_leaving = set(self.listed_leaving)
            for name, report in list(self.reports.items()):
                if name in present:
                    report = dataclasses.replace(report, at=now)
                    self.reports[name] = report
                elif now - report.at > REPORT_HOLD_S:
                    del self.reports[name]
                    continue
                known_leaving |= report.leaving
        return frozenset(known_leaving)
