"""What instances tell each other of who gives orders."""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgpack

from briarseam import clocks

if typing.TYPE_CHECKING:
    import collections.abc

# Four heartbeats: an instance that was not heard for so long has ended, is
# suspended or is cut off.
SILENT_S = 2.0
NEVER_S = float("-inf")


@dataclasses.dataclass(frozen=True)
class Word:
    """What one instance said of its duty.

    Attributes
    ----------
    heard_s
        When, by the boot clock of this instance.
    holds
        Whether it took itself for the holder.
    ordered_s
        When it sent its last order, by the same clock.
    """

    heard_s: float
    holds: bool
    ordered_s: float


class HolderWords:
    """Tells a new holder whether somebody may still be giving orders.

    A holder that lost the duty learns of it with its next call to the
    store.  A new one that orders at once would take turns with it; one that
    always waits for as long as a lease lasts loses seconds that a rollout
    does not have, mostly for nobody: the former holder has ended, or has
    given no order for a while.

    Parameters
    ----------
    others
        Returns the names of all other instances, ``None`` while it is not
        known who they are or some are out of hearing.
    engines_check_fence
        Whether engines refuse the orders of a former holder.  Only then an
        instance that is silent need not be waited for: what it has sent, or
        sends when it wakes, changes nothing.
    clock
        Seconds; goes on while the instance is suspended.
    """

    def __init__(
        self,
        others: typing.Callable[[], collections.abc.Iterable[str] | None],
        engines_check_fence: typing.Callable[[], bool],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.others = others
        self.engines_check_fence = engines_check_fence
        self.clock = clock
        self.started_s = clock()
        self.holds: typing.Callable[[], bool] = lambda: False
        self.ordered_s = NEVER_S
        self.words: dict[str, Word] = {}
        self.lock = threading.Lock()

    def note_ordered(self) -> None:
        """Note that this instance is sending an order."""
        self.ordered_s = self.clock()

    def provide(self) -> bytes:
        """Return what peers should know."""
        now_s = self.clock()
        packed: bytes = msgpack.packb(
            # The time makes each heartbeat's content a new one, so that
            # peers take it in.
            [self.holds(), now_s - self.ordered_s, now_s]
        )
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Take in what a peer says."""
        holds, since_order_s, _said_s = msgpack.unpackb(data)
        now_s = self.clock()
        word = Word(now_s, bool(holds), now_s - float(since_order_s))
        with self.lock:
            self.words[member] = word

    def are_quiet(self, since_s: float, lease_s: float) -> bool:
        """Tell whether no other instance gives orders, or just did.

        Parameters
        ----------
        since_s
            When this instance was given the duty.
        lease_s
            How long after an order of another instance none may be given.
        """
        others = self.others()
        if others is None:
            return False
        names = list(others)
        if names and not self.engines_check_fence():
            return False
        ordered_before_s = self.clock() - lease_s
        return all(
            self.is_quiet(name, since_s, ordered_before_s) for name in names
        )

    def is_quiet(
        self, name: str, since_s: float, ordered_before_s: float
    ) -> bool:
        """Tell whether one other instance gives no orders."""
        with self.lock:
            word = self.words.get(name)
        if word is None:
            return self.clock() - self.started_s >= SILENT_S
        if word.ordered_s > ordered_before_s:
            return False
        if self.clock() - word.heard_s >= SILENT_S:
            return True
        return word.heard_s >= since_s and not word.holds
