"""The entry processes of this instance, as its agent sees them."""

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
    """The last word from one entry process.

    Attributes
    ----------
    state
        What it said.
    at
        Monotonic time in seconds.
    """

    state: messages.EntryState
    at: float


class LocalEntries:
    """Keeps the agent's entry addresses to those that serve.

    An entry process that dies would stay in the lookups as long as its
    agent lives, and callers would meet a closed port.  Each entry says
    again and again that it is there; one that falls silent is taken out.

    Parameters
    ----------
    membership
        Told which entries serve.
    linger_s
        For how long callers may come to an entry after all know that it
        is leaving.
    ready
        Whether the agent can decide about requests.  Until it first can,
        or for ``START_BOUND_S``, no entry is named: a fresh agent that has
        not read the configuration or the endpoints' state would refuse
        every caller that a lookup sends.
    expire_s
        Silence after which an entry counts as dead.
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
        """Answer the entry processes' messages."""
        router.on(messages.EntryHere, self.on_entry_here)

    def start(self) -> None:
        """Begin looking for silent entries."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop looking."""
        self.reviews.stop()

    def on_entry_here(
        self, peer: connections.Identity, message: messages.EntryHere
    ) -> messages.EntryNoted:
        """Note what an entry says of itself."""
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
        """Drop silent entries; tell the membership which ones serve."""
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
            # Under the lock, so that a review with an older list never
            # puts back an entry that has just begun to leave.
            self.membership.set_entries(serving)

    def is_ready(self) -> bool:
        """Tell whether the agent has ever been ready, or waited enough."""
        if not self.was_ready:
            waited_s = self.membership.clock() - self.started_at
            self.was_ready = waited_s > MAX_READY_WAIT_S or self.ready()
        return self.was_ready

    def leaving(self) -> int:
        """Return how many entries are leaving and not yet gone."""
        with self.lock:
            return sum(
                report.state is messages.EntryState.LEAVING
                for report in self.reports.values()
            )
