"""Which endpoints are leaving, from all who may know."""

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
HOLD_S = 30.0
CACHE_S = 0.25
ROLES = frozenset({"engine", "service", "store"})
log = structlog.get_logger("briarseam.membership")
ViewSource = typing.Callable[[], schema.View]


@dataclasses.dataclass(frozen=True)
class Leaving:
    """One endpoint that the instance list showed as leaving.

    Attributes
    ----------
    name
        Its name on the list.
    address
        ``ip:port``.
    """

    name: str
    address: str


@dataclasses.dataclass(frozen=True)
class Report:
    """What one peer last said.

    Attributes
    ----------
    leaving
        What it read on the list itself.
    at
        Monotonic time in seconds at which it was last known to say so.
    """

    leaving: frozenset[Leaving]
    at: float


@dataclasses.dataclass(frozen=True)
class Answer:
    """The last answer, kept for a moment since each request asks.

    Attributes
    ----------
    names
        Configured names of leaving endpoints.
    offset
        Configuration offset that it was worked out from.
    until
        Monotonic time in seconds until which it holds.
    """

    names: frozenset[str]
    offset: int
    until: float


class LeavingEndpoints:
    """Collects the endpoints that must get no new work.

    The instance list lags, and an agent may be unable to read it while
    others can.  An agent that knew only its own reading would go on
    sending work to an endpoint about to stop.  So agents tell each other
    what they read themselves; never what they heard, since two agents
    that echo each other would keep old news alive for ever.

    Parameters
    ----------
    membership
        Carries the reports; its list reader is followed.
    view
        Present configuration.
    """

    def __init__(
        self, membership: service.Membership, view: ViewSource
    ) -> None:
        self.membership = membership
        self.view = view
        self.lock = threading.Lock()
        self.read: frozenset[Leaving] = frozenset()
        self.reports: dict[str, Report] = {}
        self.answer = Answer(frozenset(), -1, 0.0)
        membership.list_reader.add(self.take_listing)
        membership.add_section(SECTION, self.provide, self.consume)

    def take_listing(self, rows: tuple[instances.Instance, ...]) -> None:
        """Take in one reading of the list.

        An endpoint that was leaving and is no longer on the list stays
        leaving until the list shows it live again.
        """
        ours = [row for row in rows if row.role in ROLES]
        live = [row for row in ours if row.state is instances.ListedState.LIVE]
        names = {row.name for row in live}
        addresses = {row.address for row in live}
        now_leaving = frozenset(
            Leaving(row.name, row.address)
            for row in ours
            if row.state is instances.ListedState.LEAVING
        )
        with self.lock:
            kept = {
                left
                for left in self.read
                if left.name not in names and left.address not in addresses
            }
            read = now_leaving | kept
            if read == self.read:
                return
            self.read = read
        self.forget_answer()
        log.info(
            "endpoints_leaving", endpoints=sorted(left.name for left in read)
        )
        self.membership.publish_now()

    def provide(self) -> bytes:
        """Return what this agent read itself."""
        ordered = sorted(self.read, key=lambda left: left.name)
        return msgspec.msgpack.encode(ordered)

    def consume(self, member: str, data: bytes) -> None:
        """Take in what a peer read."""
        leaving = msgspec.msgpack.decode(data, type=frozenset[Leaving])
        with self.lock:
            self.reports[member] = Report(leaving, self.membership.clock())
        self.forget_answer()

    def forget_answer(self) -> None:
        """Work out the next answer anew."""
        self.answer = Answer(frozenset(), -1, 0.0)

    def leaving_endpoints(self) -> frozenset[str]:
        """Return the names, as configured, that get no new work."""
        view = self.view()
        now = self.membership.clock()
        answer = self.answer
        if answer.offset != view.offset or now >= answer.until:
            names = self.names(view)
            answer = Answer(names, view.offset, now + CACHE_S)
            self.answer = answer
        return answer.names

    def names(self, view: schema.View) -> frozenset[str]:
        """Return the names of a view's leaving endpoints."""
        known = self.known()
        names = {left.name for left in known}
        addresses = {left.address for left in known}
        return frozenset(
            name
            for name, endpoint in view.endpoints.items()
            if endpoint.state is values.EndpointState.DRAINING
            or name in names
            or endpoint.address in addresses
        )

    def known(self) -> frozenset[Leaving]:
        """Return what this agent read and what its peers report.

        A report holds while its member is there, and for ``HOLD_S`` after,
        by when this agent's own reading is due.
        """
        now = self.membership.clock()
        there = {member.name for member in self.membership.members()}
        with self.lock:
            known = set(self.read)
            for name, report in list(self.reports.items()):
                if name in there:
                    report = dataclasses.replace(report, at=now)
                    self.reports[name] = report
                elif now - report.at > HOLD_S:
                    del self.reports[name]
                    continue
                known |= report.leaving
        return frozenset(known)
