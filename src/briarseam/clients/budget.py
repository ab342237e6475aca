"""The budget of what clients make the process hold.

Each connection may cost little and still end the process when there are
enough of them.  So everything that clients make it hold is counted here:
connections and their queues, heads, bodies, threads, answers.  When the
budget is spent, connections give way that have held something for longest
without an end; only then new work is refused.
"""

from __future__ import annotations

import collections
import contextlib
import dataclasses
import enum
import resource
import threading
import typing

import structlog

from briarseam import clocks

MEGABYTE = 1_000_000
# The rest of the memory is for the interpreter, the state of the parts, and
# what allocators keep.
MEMORY_SHARE = 0.4
# For files, and so for nothing that is counted here.
FILE_DESCRIPTORS = 200
# The rest of the descriptors is for the store, peers and kept connections to
# endpoints.
DESCRIPTOR_SHARE = 0.75
# Objects and buffers of a connection.
CONNECTION_BYTES = 12 * 1024
# Size of a connection's receive queue.  A part of it serves the system itself.
RECEIVE_QUEUE_BYTES = 32 * 1024
# A thread that serves a request, and what may wait in its connection's queue
# meanwhile.
SERVICE_BYTES = 32 * 1024 + RECEIVE_QUEUE_BYTES
# Objects made of a field of a head, and of an item of a list in it.
FIELD_BYTES = 1024
ITEM_BYTES = 512
# Connections younger than this do not give way: an ordinary request comes
# within a few milliseconds.
MIN_AGE_S = 0.2
# So many give way for one addition at most.
MAX_EVICTIONS = 16
# Share of the limit by which it may be exceeded until connections that gave
# way have ended.
SLACK_SHARE = 1 / 8
# Not more than one line in so long.
LOG_INTERVAL_S = 1.0
log = structlog.get_logger("briarseam.clients")


class State(enum.Enum):
    """What a connection is waiting for.

    Attributes
    ----------
    SILENT
        Its first byte.
    HEAD
        The rest of a request's head.
    BODY
        The rest of a request's body.
    STALLED
        That its client reads an answer.
    IDLE
        Its next request.
    SERVING
        Nothing: a request of it is processed.  It does not give way.
    """

    SILENT = enum.auto()
    HEAD = enum.auto()
    BODY = enum.auto()
    STALLED = enum.auto()
    IDLE = enum.auto()
    SERVING = enum.auto()


INCOMPLETE = (State.HEAD, State.BODY, State.STALLED)


class EvictedError(OSError):
    """The connection had to give way to others."""


@dataclasses.dataclass(eq=False)
class Account:
    """What one connection makes the process hold.

    Attributes
    ----------
    interrupt
        Wakes whoever waits for the connection.
    bytes, descriptors
        What is counted for it.
    state
        What it is waiting for.
    since_s
        Since when, in seconds of the boot clock.
    is_evicted
        Whether it had to give way.
    """

    interrupt: typing.Callable[[], None] = lambda: None
    bytes: int = 0
    descriptors: int = 0
    state: State = State.SERVING
    since_s: float = 0.0
    is_evicted: bool = False

    def check(self) -> None:
        """Raise if it had to give way.

        Raises
        ------
        EvictedError
            If so.
        """
        if self.is_evicted:
            raise EvictedError("the connection had to give way")


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of the budget; 0 for none.

    Attributes
    ----------
    bytes
        Memory, in bytes.
    descriptors
        Number of descriptors.
    """

    bytes: int = 0
    descriptors: int = 0


class Budget:
    """Counts what clients make the process hold; thread-safe.

    Parameters
    ----------
    limits
        How much that may be.
    clock
        Seconds.

    Attributes
    ----------
    bytes, descriptors
        What is held now.
    on_evicted, on_refused
        Called when a connection gives way, and when something is refused.
    """

    def __init__(
        self,
        limits: Limits = Limits(),
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.bytes = 0
        self.descriptors = 0
        self.ending_bytes = 0
        self.ending_descriptors = 0
        self.on_evicted: typing.Callable[[], None] = lambda: None
        self.on_refused: typing.Callable[[], None] = lambda: None
        self.logged_s = -LOG_INTERVAL_S
        self.lock = threading.Lock()
        self.waiting: dict[State, collections.OrderedDict[Account, None]] = {
            state: collections.OrderedDict()
            for state in State
            if state is not State.SERVING
        }

    def add(self, account: Account, size: int, descriptors: int = 0) -> bool:
        """Count more for a connection unless it exceeds a limit.

        Others may have to give way for it.

        Parameters
        ----------
        account
            Of the connection.
        size, descriptors
            Number of further bytes and descriptors.

        Returns
        -------
        bool
            Whether they were counted.
        """
        with self.lock:
            if account.is_evicted:
                return False
            accepted = self.make_room(account, size, descriptors)
            if accepted:
                self.count(account, size, descriptors)
            else:
                self.record("client_budget_spent", size)
        if not accepted:
            self.on_refused()
        return accepted

    def force(self, account: Account, size: int) -> None:
        """Count more bytes, or fewer if negative, whatever the limit."""
        with self.lock:
            if size > 0:
                self.make_room(account, size, 0)
            self.count(account, size, 0)

    def make_way(self, account: Account, size: int) -> bool:
        """Let bodies that are still being read give way to another.

        Parameters
        ----------
        account
            The connection for whose body they give way.
        size
            Bytes that it needs.

        Returns
        -------
        bool
            Whether they free as much.
        """
        freed = 0
        with self.lock:
            for _ in range(MAX_EVICTIONS):
                victim = self.oldest(account, (State.BODY,))
                if freed >= size or victim is None:
                    break
                freed += victim.bytes
                self.evict(victim)
        return freed >= size

    def settle(self, account: Account, size: int, descriptors: int) -> None:
        """Set what is counted for a connection, which is not more."""
        with self.lock:
            self.count(
                account,
                size - account.bytes,
                descriptors - account.descriptors,
            )

    def move(
        self, account: Account, state: State, since_s: float | None = None
    ) -> None:
        """Record what a connection is waiting for.

        Parameters
        ----------
        account
            Of the connection.
        state
            What it is waiting for.
        since_s
            Since when, if not from now on.
        """
        with self.lock:
            account.since_s = self.clock() if since_s is None else since_s
            if account.is_evicted:
                return
            self.stop_waiting(account)
            account.state = state
            if state is not State.SERVING:
                self.waiting[state][account] = None

    def close(self, account: Account) -> None:
        """Stop counting a connection; call it before its socket is closed."""
        with self.lock:
            self.stop_waiting(account)
            self.count(account, -account.bytes, -account.descriptors)
            account.is_evicted = True

    # These are called under the lock.

    def count(self, account: Account, size: int, descriptors: int) -> None:
        """Add to the counts of a connection and of all."""
        account.bytes += size
        account.descriptors += descriptors
        self.bytes += size
        self.descriptors += descriptors
        if account.is_evicted:
            self.ending_bytes += size
            self.ending_descriptors += descriptors

    def stop_waiting(self, account: Account) -> None:
        """Take a connection from those that may give way."""
        if account.state is not State.SERVING:
            self.waiting[account.state].pop(account, None)

    def make_room(self, account: Account, size: int, descriptors: int) -> bool:
        """Let connections give way until there is room; tell whether."""
        for _ in range(MAX_EVICTIONS):
            lacks_bytes = self.lacks_bytes(size)
            if not lacks_bytes and not self.lacks_descriptors(descriptors):
                break
            victim = self.next_victim(account, lacks_bytes)
            if victim is None:
                return False
            self.evict(victim)
        return (
            not self.lacks_bytes(size)
            and not self.lacks_descriptors(descriptors)
            and not self.exceeds_slack(size, descriptors)
        )

    def lacks_bytes(self, size: int) -> bool:
        """Return whether there is no room for so many bytes."""
        limit = self.limits.bytes
        return self.bytes - self.ending_bytes + size > limit > 0 < size

    def lacks_descriptors(self, count: int) -> bool:
        """Return whether there is no room for so many descriptors."""
        limit = self.limits.descriptors
        left = self.descriptors - self.ending_descriptors + count
        return left > limit > 0 < count

    def exceeds_slack(self, size: int, descriptors: int) -> bool:
        """Return whether too many connections have not ended yet."""
        limits = self.limits
        most_bytes = limits.bytes * (1 + SLACK_SHARE)
        most_descriptors = limits.descriptors * (1 + SLACK_SHARE)
        return (
            self.bytes + size > most_bytes > 0 < size
            or self.descriptors + descriptors
            > most_descriptors
            > 0
            < descriptors
        )

    def next_victim(
        self, account: Account, lacks_bytes: bool
    ) -> Account | None:
        """Return the connection that gives way next, if any may.

        Parameters
        ----------
        account
            The connection for which it gives way.
        lacks_bytes
            Whether there is no room for bytes; otherwise for descriptors.
        """
        silent = self.oldest(account, (State.SILENT,))
        incomplete = self.oldest(account, INCOMPLETE)
        first, second = (
            (incomplete, silent) if lacks_bytes else (silent, incomplete)
        )
        return first or second or self.oldest(account, (State.IDLE,))

    def oldest(
        self, account: Account, states: tuple[State, ...]
    ) -> Account | None:
        """Return which other connection has been in some states longest."""
        oldest: Account | None = None
        for state in states:
            for one in self.waiting[state]:
                if one is account:
                    continue
                if oldest is None or one.since_s < oldest.since_s:
                    oldest = one
                if state is not State.STALLED:
                    # The others are younger.
                    break
        if oldest is None or self.clock() - oldest.since_s < MIN_AGE_S:
            return None
        return oldest

    def evict(self, account: Account) -> None:
        """Let a connection give way."""
        self.stop_waiting(account)
        account.is_evicted = True
        self.ending_bytes += account.bytes
        self.ending_descriptors += account.descriptors
        self.record("client_evicted", account.bytes, account.state.name)
        try:
            account.interrupt()
        except OSError as error:
            log.debug("client_gone", detail=str(error))
        self.on_evicted()

    def record(self, event: str, size: int, state: str = "") -> None:
        """Log an event, at most once in a while."""
        now_s = self.clock()
        if now_s - self.logged_s < LOG_INTERVAL_S:
            return
        self.logged_s = now_s
        log.warning(
            event,
            size=size,
            state=state.lower(),
            held_bytes=self.bytes,
            held_descriptors=self.descriptors,
            limit_bytes=self.limits.bytes,
            limit_descriptors=self.limits.descriptors,
        )


class Share:
    """The part of one connection in the budget.

    Parameters
    ----------
    budget
        The budget.
    account
        Of the connection.
    """

    def __init__(self, budget: Budget, account: Account) -> None:
        self.budget = budget
        self.account = account

    def add(self, size: int) -> bool:
        """Count more bytes, if there is room for them; tell whether."""
        return self.budget.add(self.account, size)

    def make_way(self, size: int) -> bool:
        """Let bodies of others give way; return whether they free as much."""
        return self.budget.make_way(self.account, size)

    def force(self, size: int) -> None:
        """Count more bytes, or fewer if negative, whatever the limit."""
        if size:
            self.budget.force(self.account, size)

    @contextlib.contextmanager
    def waiting(
        self, state: State, since_s: float | None = None
    ) -> typing.Iterator[None]:
        """Let the connection give way while its client is waited for."""
        self.budget.move(self.account, state, since_s)
        try:
            yield
        finally:
            self.budget.move(self.account, State.SERVING)


def unlimited() -> Share:
    """Return a share of a budget of its own, without limits."""
    return Share(Budget(), Account())


def limits_of(memory_bytes: int, descriptors: int) -> Limits:
    """Return the limits on a machine.

    Parameters
    ----------
    memory_bytes
        Memory that the process may use; 0 if unknown.
    descriptors
        Descriptors that it may use; 0 if unknown.
    """
    allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    known = [count for count in (descriptors, allowed) if count > 0]
    sockets = max(0, min(known, default=0) - FILE_DESCRIPTORS)
    return Limits(
        int(memory_bytes * MEMORY_SHARE), int(sockets * DESCRIPTOR_SHARE)
    )
