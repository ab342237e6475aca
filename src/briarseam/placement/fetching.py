"""Detection of stores that deliver too late.

A fetch from a store saves prefill time, but an engine runs its transfers one
after another.  One that waits for a slow store delays all others of its
engine, and prompts that fetch nothing wait with them.
"""

from __future__ import annotations

import dataclasses
import threading
import typing

import structlog

from briarseam import clocks

# Some steps of an engine; a healthy store delivers all but the largest parts
# in less.
MIN_LATE_S = 0.2
# Consecutive late fetches after which a store is avoided.  A single one may
# be late because its engine was busy.
LATE_LIMIT = 2
# Interval of trial fetches from a slow store; each may delay one caller.
RETRY_INTERVAL_S = 1.0
NEVER_S = float("-inf")
log = structlog.get_logger("briarseam.placement")


def late_after_s(
    remaining_s: float, prefill_s: float, fetched_s: float
) -> float:
    """Return the time after which a fetch counts as late, in seconds.

    A fetch is late once prefilling the prompt instead could no longer meet
    the target.  If the target can't be met at all, it is late when it takes
    longer than prefilling the fetched tokens.

    Parameters
    ----------
    remaining_s
        Time until the first event is due, in seconds.
    prefill_s, fetched_s
        Times to prefill the whole prompt, and only the fetched tokens, in
        seconds.
    """
    return max(MIN_LATE_S, remaining_s - prefill_s, fetched_s)


@dataclasses.dataclass
class StoreRecord:
    """Recent fetches from one store.

    Attributes
    ----------
    consecutive_late
        Number of consecutive late fetches.
    last_try_s
        Time at which the last fetch started or turned out late.
    due_s
        Due times of the fetches in progress, by prompt.
    """

    consecutive_late: int = 0
    last_try_s: float = NEVER_S
    due_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def is_slow(self, now_s: float) -> bool:
        """Return whether too many fetches are late or overdue.

        An overdue fetch shows a third of a second earlier than a late first
        event does.
        """
        overdue = sum(due_s < now_s for due_s in self.due_s.values())
        return self.consecutive_late + overdue >= LATE_LIMIT


class StoreHealth:
    """Health of stores, by their fetches; thread-safe.

    A store with a slow link still answers all calls.  Only late first events
    reveal it, and each prompt that fetches from it lengthens the queue of its
    engine.

    Parameters
    ----------
    clock
        Seconds.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.records: dict[str, StoreRecord] = {}
        self.lock = threading.Lock()

    def may_use(self, address: str) -> bool:
        """Return whether parts may be fetched from a store."""
        now_s = self.clock()
        with self.lock:
            record = self.records.get(address)
            if record is None or not record.is_slow(now_s):
                return True
            return now_s >= record.last_try_s + RETRY_INTERVAL_S

    def is_slow(self, address: str) -> bool:
        """Return whether a store's recent fetches were late."""
        now_s = self.clock()
        with self.lock:
            record = self.records.get(address)
            return record is not None and record.is_slow(now_s)

    def record_start(
        self, addresses: typing.Iterable[str], prompt: str, late_after_s: float
    ) -> None:
        """Record that a prompt is about to fetch from stores."""
        now_s = self.clock()
        with self.lock:
            for address in addresses:
                record = self.records.setdefault(address, StoreRecord())
                if record.is_slow(now_s):
                    record.last_try_s = now_s
                record.due_s[prompt] = now_s + late_after_s

    def record_first_event(
        self, addresses: typing.Iterable[str], in_time: bool
    ) -> None:
        """Record whether a prompt's fetches completed in time."""
        now_s = self.clock()
        with self.lock:
            for address in addresses:
                record = self.records.setdefault(address, StoreRecord())
                if in_time:
                    if record.consecutive_late >= LATE_LIMIT:
                        log.info("cache_store_in_time", address=address)
                    record.consecutive_late = 0
                    continue
                record.consecutive_late += 1
                record.last_try_s = now_s
                if record.consecutive_late == LATE_LIMIT:
                    log.warning("cache_store_slow", address=address)

    def record_end(self, addresses: typing.Iterable[str], prompt: str) -> None:
        """Record that a prompt's fetches have ended."""
        with self.lock:
            for address in addresses:
                if address in self.records:
                    self.records[address].due_s.pop(prompt, None)

    def keep_only(self, addresses: typing.Collection[str]) -> None:
        """Drop the records of all stores but these."""
        with self.lock:
            for address in self.records.keys() - set(addresses):
                del self.records[address]
