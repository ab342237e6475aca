"""The entry processes of an instance, tracked by its agent."""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam import repeating
from briarseam.membership import messages

if typing.TYPE_CHECKING:
    from briarseam.membership import service
    from briarseam.wire import connection as connections
    from briarseam.wire import server

EXPIRE_S = 3.0
REVIEW_S = 0.5
MAX_READY_WAIT_S = 10.0
log = structlog.get_logger("briarseam.membership")


@dataclasses.dataclass(frozen=True)
class EntryReport:
    """The last report of one entry process.

    Attributes
    ----------
    state
        State that it reported.
    at
        Monotonic time in seconds at which the report was received.
    """

    state: messages.EntryState
    at: float


class LocalEntries:
    """Limits the agent's entry addresses to entries that serve.

    Without it an entry process that dies would stay in the lookups as long
    as its agent is alive, and callers would find a closed port.  Each entry
    reports at an interval; an entry that falls silent is removed.

    Parameters
    ----------
    membership
        Publishes the addresses of entries that serve.
    linger_s
        Seconds for which callers may still connect to an entry after all
        peers know that it is leaving.
    ready
        Whether the agent can decide about requests.  Until it first can,
        but at most for ``MAX_READY_WAIT_S``, no entry is published: an
        agent that has just started and has not read the configuration or
        the endpoints' state would refuse all callers.
    expire_s
        Silence in seconds after which an entry is considered dead.
    """

    def __init__(
        self,
        membership: service.Membership,
        linger_s: float,
        ready: typing.Callable[[], bool] = lambda: True,
        expire_s: float = EXPIRE_S,
    ) -> None:
        self.ready = ready
        self.started_at = membership.clock()
        self.was_ready = False
        self.membership = membership
        self.linger_s = linger_s
        self.expire_s = expire_s
        self.reports: dict[str, EntryReport] = {}
        self.lock = threading.Lock()
        self.reviews = repeating.Repeater(
            "local-entries", self.review, REVIEW_S
        )

    def register(self, router: server.Router) -> None:
        """Register the handler of the entry processes' reports."""
        router.on(messages.EntryHere, self.on_entry_here)

    def start(self) -> None:
        """Start the reviews."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop the reviews."""
        self.reviews.stop()

    def on_entry_here(
        self, peer: connections.Identity, message: messages.EntryHere
    ) -> messages.EntryNoted:
        """Handle an entry's report."""
        del peer
        with self.lock:
            previous = self.reports.get(message.address)
            now = self.membership.clock()
            self.reports[message.address] = EntryReport(message.state, now)
        if previous is None or previous.state is not message.state:
            log.info("entry_state", entry=message.address, now=message.state)
        self.review()
        return messages.EntryNoted(
            self.membership.is_published(), self.linger_s
        )

    def review(self) -> None:
        """Remove silent entries; publish those that serve."""
        ready = self.is_ready()
        with self.lock:
            cutoff = self.membership.clock() - self.expire_s
            for address, report in list(self.reports.items()):
                gone = report.state is messages.EntryState.GONE
                if gone or report.at < cutoff:
                    del self.reports[address]
                    log.info("entry_gone", entry=address)
            serving = tuple(
                sorted(
                    address
                    for address, report in self.reports.items()
                    if report.state is messages.EntryState.SERVING and ready
                )
            )
            # Under the lock, so that a concurrent review with an older list
            # does not publish an entry that has since started to leave.
            self.membership.set_entries(serving)

    def is_ready(self) -> bool:
        """Return whether the agent has been ready, or waited long enough."""
        if not self.was_ready:
            waited_s = self.membership.clock() - self.started_at
            self.was_ready = waited_s > MAX_READY_WAIT_S or self.ready()
        return self.was_ready

    def leaving(self) -> int:
        """Return the number of entries that are leaving and not yet gone."""
        with self.lock:
            return sum(
                report.state is messages.EntryState.LEAVING
                for report in self.reports.values()
            )
