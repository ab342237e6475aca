"""How an agent reads the rings of its instance's entry processes.

An entry opens connections to its agent and takes none itself.  So its feed
waits in a call at the agent, like a long poll; when somebody asks for the
time line, the agent answers that call with the question and the entry hands
its events over in a second call.  While nobody asks, this costs one small
message each way every ``WAIT_S``.
"""

from __future__ import annotations

import contextlib
import dataclasses
import threading
import time
import typing

from briarseam.timeline import merge
from briarseam.timeline import messages
from briarseam.wire import codec
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.timeline import ring as rings
    from briarseam.wire import server

WAIT_S = 20.0
WAIT_SLACK_S = 5.0
RETRY_S = 1.0
HAND_OVER_TIMEOUT_S = 2.0
# An entry that has not asked for so long has ended.
FORGET_AFTER_S = 2 * (WAIT_S + WAIT_SLACK_S)


@codec.message("await-fetch")
@dataclasses.dataclass(frozen=True)
class AwaitFetch:
    """An entry process waits for somebody to ask for its events."""

    process: str
    wait_s: float


@codec.message("fetch-wanted")
@dataclasses.dataclass(frozen=True)
class FetchWanted:
    """Somebody asks; ``ticket`` 0 means that nobody did in time."""

    ticket: int
    fetch: messages.FetchEvents


@codec.message("hand-over")
@dataclasses.dataclass(frozen=True)
class HandOver:
    """An entry's answer to :class:`FetchWanted`."""

    process: str
    ticket: int
    events: messages.Events


@codec.message("handed-over")
@dataclasses.dataclass(frozen=True)
class HandedOver:
    """The agent has the events."""


def answer(ring: rings.Ring, fetch: messages.FetchEvents) -> messages.Events:
    """Return what one ring holds of the events asked for."""
    found = ring.selected(fetch.filter)
    kept = merge.newest(found.events, fetch.limit)
    source = messages.Source(ring.process, found.dropped, found.oldest)
    return messages.Events(
        events=kept,
        sources=(source,),
        cut=len(found.events) - len(kept),
    )


class RingFeed:
    """The entry's side: a thread that offers the ring to the agent.

    Parameters
    ----------
    dial
        Opens a connection to the agent.
    ring
        The entry's events.
    wait_s
        Length of one waiting call.
    """

    def __init__(
        self,
        dial: typing.Callable[[], connections.Connection],
        ring: rings.Ring,
        wait_s: float = WAIT_S,
    ) -> None:
        self.dial = dial
        self.ring = ring
        self.wait_s = wait_s
        self.connection: connections.Connection | None = None
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="timeline-feed", daemon=True
        )

    def start(self) -> None:
        """Begin to offer."""
        self.thread.start()

    def stop(self) -> None:
        """Stop at once."""
        self.stopping.set()
        connection = self.connection
        if connection is not None:
            connection.close()

    def run(self) -> None:
        """Offer until stopped; the agent may come and go."""
        while not self.stopping.is_set():
            with contextlib.suppress(connections.WireError):
                self.offer_until_cut()
            self.stopping.wait(RETRY_S)

    def offer_until_cut(self) -> None:
        """Answer questions over one connection while it holds.

        Raises
        ------
        WireError
            When there is no connection, or no more.
        """
        self.connection = connection = self.dial()
        try:
            while not self.stopping.is_set():
                self.offer(connection)
        finally:
            connection.close()

    def offer(self, connection: connections.Connection) -> None:
        """Wait for one question and answer it."""
        connection.set_timeout(self.wait_s + WAIT_SLACK_S)
        connection.send(AwaitFetch(self.ring.process, self.wait_s))
        wanted = connection.receive()
        if not isinstance(wanted, FetchWanted):
            raise connections.WireError("the agent takes no feed")
        if not wanted.ticket:
            return
        connection.set_timeout(HAND_OVER_TIMEOUT_S)
        found = answer(self.ring, wanted.fetch)
        connection.send(HandOver(self.ring.process, wanted.ticket, found))
        connection.receive()


@dataclasses.dataclass
class Feed:
    """What the agent knows of one entry process."""

    asked_at: float
    waiter: object = None
    wanted: FetchWanted | None = None
    handed: HandOver | None = None


class EntryFeeds:
    """The agent's side: the entry processes that wait at it."""

    def __init__(
        self,
        forget_after_s: float = FORGET_AFTER_S,
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.forget_after_s = forget_after_s
        self.clock = clock
        self.feeds: dict[str, Feed] = {}
        self.last_ticket = 0
        self.changed = threading.Condition()
        # One question at a time: a second one would take the place of the
        # first before an entry has answered it.
        self.collecting = threading.Lock()

    def register(self, router: server.Router) -> None:
        """Answer the entries' feeds."""
        router.on(AwaitFetch, self.on_await)
        router.on(HandOver, self.on_hand_over)

    def on_await(
        self, peer: connections.Identity, waiting: AwaitFetch
    ) -> FetchWanted:
        """Hold an entry's call until somebody asks."""
        del peer
        deadline = self.clock() + min(waiting.wait_s, WAIT_S)
        with self.changed:
            feed = self.feeds.setdefault(waiting.process, Feed(0.0))
            feed.asked_at = self.clock()
            # A call whose connection broke waits on here until its time is
            # up.  Were it given the question, the answer would never come;
            # the entry's newer call takes its place.
            feed.waiter = me = object()
            self.changed.notify_all()
            while feed.wanted is None and feed.waiter is me:
                left_s = deadline - self.clock()
                if left_s <= 0:
                    break
                self.changed.wait(left_s)
            if feed.waiter is not me or feed.wanted is None:
                return FetchWanted(0, messages.FetchEvents())
            wanted, feed.wanted = feed.wanted, None
            return wanted

    def on_hand_over(
        self, peer: connections.Identity, handed: HandOver
    ) -> HandedOver:
        """Take an entry's events in."""
        del peer
        with self.changed:
            feed = self.feeds.setdefault(handed.process, Feed(0.0))
            feed.asked_at = self.clock()
            feed.handed = handed
            self.changed.notify_all()
        return HandedOver()

    def collect(
        self, fetch: messages.FetchEvents, timeout_s: float
    ) -> list[messages.Events]:
        """Return the events of all entry processes.

        One that does not answer in time is in the result as a source with
        an error.
        """
        deadline = self.clock() + timeout_s
        with self.collecting, self.changed:
            ticket = self.ask(fetch)
            while self.missing(ticket):
                left_s = deadline - self.clock()
                if left_s <= 0:
                    break
                self.changed.wait(left_s)
            missing = self.missing(ticket)
            for name in missing:
                self.feeds[name].wanted = None
            handed = [feed.handed for feed in self.feeds.values()]
        parts = [one.events for one in handed if one and one.ticket == ticket]
        return [*parts, *map(silent, missing)]

    def ask(self, fetch: messages.FetchEvents) -> int:
        """Put a question to all known entries; return its ticket."""
        oldest = self.clock() - self.forget_after_s
        self.feeds = {
            name: feed
            for name, feed in self.feeds.items()
            if feed.asked_at >= oldest
        }
        self.last_ticket += 1
        for feed in self.feeds.values():
            feed.wanted = FetchWanted(self.last_ticket, fetch)
        self.changed.notify_all()
        return self.last_ticket

    def missing(self, ticket: int) -> list[str]:
        """Return the entries that have not answered a ticket."""
        return [
            name
            for name, feed in self.feeds.items()
            if feed.handed is None or feed.handed.ticket != ticket
        ]


def silent(process: str) -> messages.Events:
    """Return the part of a process that did not answer."""
    source = messages.Source(process, error="did not answer")
    return messages.Events((), (source,))
