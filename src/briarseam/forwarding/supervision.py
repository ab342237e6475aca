"""Early end of requests when callers disconnect or deadlines pass.

A thread that waits for an endpoint cannot notice that its caller
disconnects.  So one thread watches the deadlines of all active requests and
the sockets of their callers.  To end a request it shuts down the connection
to the endpoint, which wakes the waiting thread and stops the endpoint.
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

# Endpoints must stop within half a second after a caller disconnects, and a
# request must be answered within as long after its deadline.  Polling takes a
# tenth of this time.
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
    """State of a caller, derived from its socket."""

    QUIET = "quiet"
    PIPELINED = "sent-ahead"
    GONE = "gone"


class EndedError(Exception):
    """The request was ended early, so its thread must stop sending."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.value)
        self.ending = ending


class Watch:
    """Watch of one active request.

    Parameters
    ----------
    caller
        The caller's socket.
    deadline_s
        When the request is ended, by the boot clock.
    """

    def __init__(self, caller: socket.socket, deadline_s: float) -> None:
        self.caller = caller
        self.deadline_s = deadline_s
        self.ending: Ending | None = None
        self.upstream: socket.socket | None = None
        self.done = False
        self.caller_left = False
        self.grace_s = 0.0
        self.on_caller_left: typing.Callable[[], None] = ignore
        self.lock = threading.Lock()

    def remaining_s(self) -> float:
        """Return the seconds until the deadline."""
        return self.deadline_s - clocks.boot_clock()

    def check(self) -> None:
        """Raise :class:`EndedError` if the request was ended."""
        if self.ending is not None:
            raise EndedError(self.ending)

    def check_time(self) -> None:
        """Raise :class:`EndedError` if it was ended, or its time is over.

        Who reads what comes without end must not rely on the supervisor's
        thread, which may get too little of the processor then.
        """
        if self.ending is None and self.remaining_s() <= 0:
            self.end(Ending.TIMED_OUT)
        self.check()

    def begin_grace(
        self, grace_s: float, on_caller_left: typing.Callable[[], None]
    ) -> None:
        """Let the request go on for a while after its caller has left.

        Parameters
        ----------
        grace_s
            How long, in seconds.
        on_caller_left
            Called when the caller has left, from another thread.
        """
        with self.lock:
            self.grace_s = grace_s
            self.on_caller_left = on_caller_left

    def end_grace(self) -> None:
        """End the request if its caller has left by now."""
        with self.lock:
            self.grace_s = 0.0
        if self.caller_left:
            self.end(Ending.CALLER_GONE)

    def record_caller_left(self) -> float:
        """Record that the caller has left.

        Returns
        -------
        float
            How long the request may go on, in seconds.
        """
        with self.lock:
            self.caller_left = True
            grace_s, on_caller_left = self.grace_s, self.on_caller_left
        if grace_s > 0:
            on_caller_left()
        return grace_s

    def attach(self, upstream: urllib3.connection.HTTPConnection) -> None:
        """Shut down this connection when the request is ended.

        Guard: if the head of an answer announces the end of the connection,
        the connection drops its socket before the body is read.  Without a
        reference to the socket, ending such a request would not reach its
        endpoint.

        Raises
        ------
        EndedError
            If the request was already ended.
        """
        with self.lock:
            self.check()
            self.upstream = upstream.sock

    def detach_unless_ended(self) -> None:
        """Keep the connection open, unless the request was ended.

        Raises
        ------
        EndedError
            If the request was ended, so that the data read may be partial.
        """
        with self.lock:
            self.check()
            self.upstream = None

    def detach(self) -> None:
        """Keep the connection open for other requests."""
        with self.lock:
            self.upstream = None

    def end(self, ending: Ending) -> None:
        """End the request; only the first call has an effect."""
        with self.lock:
            if self.done or self.ending is not None:
                return
            self.ending = ending
            if self.upstream is None:
                return
            try:
                self.upstream.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The endpoint closed the connection first, which wakes the
                # request's thread.
                return


class Supervisor:
    """Watches all active requests."""

    def __init__(self) -> None:
        self.poller = select.epoll()
        self.watches: dict[int, Watch] = {}
        # When to end each request, and why.
        self.deadlines: list[tuple[float, int, Watch, Ending]] = []
        self.sequence = itertools.count()
        self.lock = threading.Lock()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="supervisor", daemon=True
        )

    def start(self) -> None:
        """Start the thread that watches the requests."""
        self.thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self.stopping.set()

    def watch(self, watch: Watch) -> None:
        """Watch a request until :meth:`unwatch`."""
        descriptor = watch.caller.fileno()
        with self.lock:
            self.watches[descriptor] = watch
            self.push_deadline(watch, watch.deadline_s, Ending.TIMED_OUT)
            self.poller.register(descriptor, GONE_EVENTS)

    def push_deadline(self, watch: Watch, at_s: float, ending: Ending) -> None:
        """End a request at a time, by the boot clock; requires the lock."""
        heapq.heappush(
            self.deadlines, (at_s, next(self.sequence), watch, ending)
        )

    def unwatch(self, watch: Watch) -> None:
        """Stop watching a request that is finished."""
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
        """End the request on a descriptor if its caller disconnected.

        Guard: since the poll, the connection may have been closed and its
        descriptor reused for another caller.  If the event were trusted,
        that caller's request would be ended without an answer while the
        endpoint works on it.  So the event only causes a check of the caller
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
                    # Wait only for the disconnect, since the unread data
                    # would make each poll return immediately.
                    self.poller.modify(descriptor, CLOSED_EVENTS | ONE_SHOT)
        if presence is not Presence.GONE:
            return
        grace_s = watch.record_caller_left()
        if grace_s <= 0:
            watch.end(Ending.CALLER_GONE)
            return
        with self.lock:
            at_s = clocks.boot_clock() + grace_s
            self.push_deadline(watch, at_s, Ending.CALLER_GONE)

    def end_expired(self) -> None:
        """End the requests whose deadline, or grace, has passed."""
        now_s = clocks.boot_clock()
        while True:
            with self.lock:
                if not self.deadlines or self.deadlines[0][0] > now_s:
                    return
                _at_s, _sequence, watch, ending = heapq.heappop(self.deadlines)
            watch.end(ending)


def probe_caller(caller: socket.socket) -> Presence:
    """Return the state of a caller from its socket."""
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


def ignore() -> None:
    """Do nothing; the default of the callback."""
