"""Ending work in time: callers that leave, and deadlines.

A thread that waits for an endpoint can't see that its caller is gone.  One
thread watches the sockets of all callers whose requests are under way, and
the clock; when a request ends it shuts down the connection to the endpoint,
which wakes the waiting thread and makes the endpoint stop.
"""

from __future__ import annotations

import enum
import heapq
import itertools
import select
import socket
import threading
import typing

import structlog

from briarseam import clocks

if typing.TYPE_CHECKING:
    import urllib3.connection

# Endpoints may work on for half a second after a caller left, and a request
# may be answered as late after its deadline; a tenth of that is used here.
POLL_INTERVAL_S = 0.05
ONE_SHOT = select.EPOLLONESHOT
CLOSED_EVENTS = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR
GONE_EVENTS = CLOSED_EVENTS | select.EPOLLIN | ONE_SHOT
CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR
log = structlog.get_logger("briarseam.forwarding")


class Ending(enum.StrEnum):
    """Why a request was ended early."""

    CALLER_GONE = "caller-gone"
    TIMED_OUT = "timed-out"
    CUT_OFF = "cut-off"


class Presence(enum.Enum):
    """What a caller's socket says of it."""

    QUIET = "quiet"
    PIPELINED = "sent-ahead"
    GONE = "gone"


class EndedError(Exception):
    """The request was ended; its thread has nothing more to send."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.value)
        self.ending = ending


class Watch:
    """One request under way.

    Parameters
    ----------
    caller
        The caller's socket.
    deadline_s
        When it is ended, by the boot clock.
    """

    def __init__(self, caller: socket.socket, deadline_s: float) -> None:
        self.caller = caller
        self.deadline_s = deadline_s
        self.ending: Ending | None = None
        self.upstream: socket.socket | None = None
        self.done = False
        self.lock = threading.Lock()

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline_s - clocks.boot_clock()

    def check(self) -> None:
        """Raise :class:`EndedError` if the request was ended."""
        if self.ending is not None:
            raise EndedError(self.ending)

    def attach(self, upstream: urllib3.connection.HTTPConnection) -> None:
        """Let the end of the request end this connection.

        Guard: the connection forgets its socket when the head of an answer
        says that it closes, while the body is still to come.  The socket is
        kept here, or the end of such a request would not reach its endpoint.

        Raises
        ------
        EndedError
            If the request was ended before.
        """
        with self.lock:
            self.check()
            self.upstream = upstream.sock

    def detach_unless_ended(self) -> None:
        """Let the connection live on, if the request was not ended.

        Raises
        ------
        EndedError
            If it was: what has been read may be a part.
        """
        with self.lock:
            self.check()
            self.upstream = None

    def detach(self) -> None:
        """Let the connection live on, for other requests."""
        with self.lock:
            self.upstream = None

    def end(self, ending: Ending) -> None:
        """End the request; the first reason counts."""
        with self.lock:
            if self.done or self.ending is not None:
                return
            self.ending = ending
            if self.upstream is None:
                return
            try:
                self.upstream.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The endpoint's side ended it first; its thread sees that.
                return


class Supervisor:
    """Watches all requests under way."""

    def __init__(self) -> None:
        self.poller = select.epoll()
        self.watches: dict[int, Watch] = {}
        self.deadlines: list[tuple[float, int, Watch]] = []
        self.sequence = itertools.count()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="supervisor", daemon=True
        )

    def start(self) -> None:
        """Begin watching."""
        self.thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self.stopping.set()

    def watch(self, watch: Watch) -> None:
        """Watch a request until :meth:`forget`."""
        descriptor = watch.caller.fileno()
        with self.lock:
            self.watches[descriptor] = watch
            heapq.heappush(
                self.deadlines, (watch.deadline_s, next(self.sequence), watch)
            )
            self.poller.register(descriptor, GONE_EVENTS)

    def unwatch(self, watch: Watch) -> None:
        """Stop watching a request that has its answer."""
        with watch.lock:
            watch.done = True
        descriptor = watch.caller.fileno()
        with self.lock:
            if self.watches.get(descriptor) is watch:
                del self.watches[descriptor]
                self.poller.unregister(descriptor)

    def run(self) -> None:
        """Watch until stopped."""
        while not self.stopping.is_set():
            for descriptor, _events in self.poller.poll(POLL_INTERVAL_S):
                self.handle_event(descriptor)
            self.end_expired()

    def handle_event(self, descriptor: int) -> None:
        """End the request on a descriptor if its caller has gone.

        Guard: between the poll and this look a connection may have been
        closed and its descriptor be another caller's, whose request would
        be ended for it: its connection closes with no answer while the
        endpoint is at work.  So an event only asks for a look at the caller
        that has the descriptor now.
        """
        with self.lock:
            watch = self.watches.get(descriptor)
            if watch is None:
                return
            presence = probe_caller(watch.caller)
            match presence:
                case Presence.QUIET:
                    self.poller.modify(descriptor, GONE_EVENTS)
                case Presence.PIPELINED:
                    # Only the end counts from now on, or the poll would
                    # return at once each time.
                    self.poller.modify(descriptor, CLOSED_EVENTS | ONE_SHOT)
        if presence is Presence.GONE:
            watch.end(Ending.CALLER_GONE)

    def end_expired(self) -> None:
        """End the requests whose deadline is over."""
        now_s = clocks.boot_clock()
        while True:
            with self.lock:
                if not self.deadlines or self.deadlines[0][0] > now_s:
                    return
                _deadline_s, _sequence, watch = heapq.heappop(self.deadlines)
            watch.end(Ending.TIMED_OUT)


def probe_caller(caller: socket.socket) -> Presence:
    """Return what a caller's socket says of it now."""
    poller = select.poll()
    poller.register(caller, select.POLLIN | select.POLLRDHUP)
    ready = poller.poll(0)
    if not ready:
        return Presence.QUIET
    _descriptor, events = ready[0]
    if events & CLOSED:
        return Presence.GONE
    try:
        sent = caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return Presence.QUIET
    except OSError:
        return Presence.GONE
    return Presence.PIPELINED if sent else Presence.GONE
