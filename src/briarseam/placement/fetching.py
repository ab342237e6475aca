"""Which stores deliver too late, and are to be left alone.

A fetch from a store saves an engine's time, but an engine's transfers run
one after another: one that waits for a slow store holds up all others of
its engine, and callers of prompts that fetch nothing wait with them.
"""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam import clocks

# Some steps of an engine, in which all but the largest parts come from a store
# that is well.
LEAST_S = 0.2
# So many late fetches in a row, and a store is left alone.  A single one may
# be late since its engine had other work.
LATE_IN_A_ROW = 2
# One more fetch is tried after this; it makes one caller wait.
PAUSE_S = 1.0
NEVER_S = float("-inf")
log = structlog.get_logger("briarseam.placement")


def late_after_s(aim_left_s: float, whole_s: float, fetched_s: float) -> float:
    """Return after which time a fetch counts as late, in seconds.

    It is no longer of use once the prompt could not be read any more in time
    instead.  One that can't be read in time anyhow counts as late when it
    takes longer than reading what is fetched.

    Parameters
    ----------
    aim_left_s
        Until the first event should be there.
    whole_s, fetched_s
        In which all of the prompt would be read, and what is fetched.
    """
    return max(LEAST_S, aim_left_s - whole_s, fetched_s)


@dataclasses.dataclass
class Record:
    """How the last fetches from one store went.

    Attributes
    ----------
    late
        How many in a row were not ready in time.
    tried_s
        When the last one began or turned out late.
    due_s
        When each that is under way should be ready, by its prompt.
    """

    late: int = 0
    tried_s: float = NEVER_S
    due_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_slow(self, now_s: float) -> bool:
        """Tell whether too many in a row are late, with those under way.

        An engine that still waits for a fetch tells so a third of a second
        before its first event does.
        """
        overdue = sum(due_s < now_s for due_s in self.due_s.values())
        return self.late + overdue >= LATE_IN_A_ROW


class StoreHealth:
    """Which stores deliver in time; thread-safe.

    A store whose link has become slow still answers all calls.  It shows in
    late first events only, and every prompt that fetches from it makes the
    queue of its engine longer.

    Parameters
    ----------
    clock
        Seconds.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.records: dict[str, Record] = {}
        self.lock = threading.Lock()

    def may_use(self, address: str) -> bool:
        """Tell whether parts may be fetched from a store."""
        now_s = self.clock()
        with self.lock:
            record = self.records.get(address)
            if record is None or not record.is_slow(now_s):
                return True
            return now_s >= record.tried_s + PAUSE_S

    def is_slow(self, address: str) -> bool:
        """Tell whether a store's last fetches were late."""
        now_s = self.clock()
        with self.lock:
            record = self.records.get(address)
            return record is not None and record.is_slow(now_s)

    def note_begun(
        self, addresses: typing.Iterable[str], prompt: str, late_after_s: float
    ) -> None:
        """Note that a prompt is about to fetch from stores."""
        now_s = self.clock()
        with self.lock:
            for address in addresses:
                record = self.records.setdefault(address, Record())
                if record.is_slow(now_s):
                    record.tried_s = now_s
                record.due_s[prompt] = now_s + late_after_s

    def note_first_event(
        self, addresses: typing.Iterable[str], in_time: bool
    ) -> None:
        """Note whether a prompt's fetches were ready in time."""
        now_s = self.clock()
        with self.lock:
            for address in addresses:
                record = self.records.setdefault(address, Record())
                if in_time:
                    if record.late >= LATE_IN_A_ROW:
                        log.info("cache_store_in_time", address=address)
                    record.late = 0
                    continue
                record.late += 1
                record.tried_s = now_s
                if record.late == LATE_IN_A_ROW:
                    log.warning("cache_store_slow", address=address)

    def note_over(self, addresses: typing.Iterable[str], prompt: str) -> None:
        """Note that a prompt fetches no more."""
        with self.lock:
            for address in addresses:
                if address in self.records:
                    self.records[address].due_s.pop(prompt, None)

    def keep_only(self, addresses: typing.Collection[str]) -> None:
        """Forget all stores but these."""
        with self.lock:
            for address in self.records.keys() - set(addresses):
                del self.records[address]
