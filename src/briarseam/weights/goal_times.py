"""Times at which goals were first seen, kept on the store."""

from __future__ import annotations

import threading
import time
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import malformed
from briarseam.feeds import records
from briarseam.weights import goals

MS = 1000.0
REVIEW_S = 0.25
RETRY_S = 0.5
# Longest wait for the ages of goals, three attempts: a part of the store that
# does not answer must not keep an instance from serving requests that need no
# ages.
MAX_WAIT_S = 2.0
# An earlier time than the stored one is written only if it differs by more
# than this: the delay from the store differs between instances.
TOLERANCE_S = 1.0
KNOWN = b"known"
# A version and when it was set, in Unix ms; bounded, so that any clock can
# represent it.
Version = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
SetAtMs = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Rows = list[tuple[Version, SetAtMs]]
log = structlog.get_logger("briarseam.weights")


class TimesStore(typing.Protocol):
    """A store of keyed topics."""

    def newest(self, topic: str) -> records.KeyedBatch:
        """Return the newest record of each key."""

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write the newest record of a key."""


class GoalTimes:
    """Persists the times of goals beyond the end of all processes.

    Instances publish the ages of goals to each other.  After all of them end
    at once, goals that were set long ago would count as new, and requests
    would run on weights that were replaced.  So the times are stored as
    times of day.  Several instances write them; each reads the stored times
    before and after it writes, so that the earliest time wins: a clock that
    is ahead would make a goal look younger than it is.  A clock that is
    behind makes a goal look older, and older weights are excluded too early
    by the difference.

    Parameters
    ----------
    store, topic
        Store and topic of the times.
    history
        Goals that are known to this process.
    is_writer
        Returns whether this instance is one of those that write.
    era
        Returns the era of the store; when it changes, the stored times are
        read again.
    tally
        Counts records that can't be decoded.
    clock
        The clock of ``history``.
    wall_clock
        Seconds since the epoch.

    Attributes
    ----------
    known
        Set once the times that former processes saw are known, from the
        store or from a peer that knows them.
    """

    def __init__(
        self,
        store: TimesStore,
        topic: str,
        history: goals.GoalHistory,
        is_writer: typing.Callable[[], bool],
        era: typing.Callable[[], int] = lambda: 0,
        tally: malformed.Tally | None = None,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        wall_clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self.topic = topic
        self.history = history
        self.is_writer = is_writer
        self.era = era
        self.tally = tally or malformed.Tally()
        self.clock = clock
        self.wall_clock = wall_clock
        self.known = threading.Event()
        self.started_s = clock()
        # Times on the store when it was last read, by the clock.
        self.stored: dict[goals.WeightGoal, float] = {}
        self.has_read = False
        self.read_era = 0
        self.must_read_again = False
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="goal-times", daemon=True
        )

    def start(self) -> None:
        """Start reading and writing."""
        self.thread.start()

    def stop(self) -> None:
        """Stop reading and writing."""
        self.stopping.set()

    def run(self) -> None:
        """Read once, then write new times, until stopped."""
        while not self.stopping.is_set():
            wait_s = RETRY_S
            try:
                self.step()
                wait_s = REVIEW_S
            except records.StoreUnavailableError as error:
                log.info("goal_times_not_kept", detail=str(error))
            except Exception:
                # If this thread ended, the process would never know the ages
                # of goals; the next attempt may succeed.
                log.exception("goal_times_failed")
            self.stopping.wait(wait_s)

    def step(self) -> None:
        """Read if that was not done yet, then write new times.

        Raises
        ------
        StoreUnavailableError
            When the store does not answer properly.
        """
        if not self.has_read:
            self.read_store()
            self.restore()
            self.known.set()
        if not self.is_writer():
            return
        if self.era() != self.read_era:
            self.read_store()
        if self.models_to_write():
            self.write()
        elif self.must_read_again:
            self.read_store()
            self.must_read_again = False

    def must_wait(self) -> bool:
        """Return whether requests must wait until ages are known.

        False if no weights were set, and after a short time: plain services
        and engines with the newest weights need no ages.
        """
        if self.known.is_set() or not self.history.newest:
            return False
        return self.clock() - self.started_s < MAX_WAIT_S

    def read_store(self) -> None:
        """Read the stored times."""
        self.read_era = self.era()
        batch = self.store.newest(self.topic)
        self.stored = {}
        for record in batch.records:
            if record.value is not None:
                self.stored.update(self.decoded(record.key, record.value))
        self.has_read = True

    def decoded(
        self, model: str, value: bytes
    ) -> dict[goals.WeightGoal, float]:
        """Return the times of one model's goals, by the clock."""
        try:
            with malformed.raised_as_malformed():
                rows = msgspec.msgpack.decode(value, type=Rows)
        except malformed.MalformedError as error:
            self.tally.note(malformed.Kind.GOAL_TIMES, model, error)
            return {}
        now_s = self.clock()
        wall_s = self.wall_clock()
        return {
            goals.WeightGoal(model, version): now_s
            - max(0.0, wall_s - set_at_ms / MS)
            for version, set_at_ms in rows
        }

    def restore(self) -> None:
        """Add the stored times to the history."""
        now_s = self.clock()
        for goal, seen_s in self.stored.items():
            self.history.restore(goal, now_s - seen_s)
            log.info(
                "goal_time_found",
                model=goal.model,
                version=goal.version,
                age_s=round(now_s - seen_s, 1),
            )

    def provide(self) -> bytes:
        """Return the heartbeat section: whether all times are known."""
        return KNOWN if self.known.is_set() else b""

    def consume(self, member: str, data: bytes) -> None:
        """Record that a peer, which publishes all ages, knows all times."""
        del member
        if data == KNOWN:
            self.known.set()

    def models_to_write(self) -> list[str]:
        """Return the models of which the store lacks times."""
        first_seen = self.history.first_seen_times()
        return sorted(
            {
                goal.model
                for goal, at_s in first_seen.items()
                if self.must_write(goal, at_s)
            }
        )

    def must_write(self, goal: goals.WeightGoal, seen_s: float) -> bool:
        """Return whether the stored time of a goal is missing or later."""
        stored_s = self.stored.get(goal)
        return stored_s is None or seen_s < stored_s - TOLERANCE_S

    def write(self) -> None:
        """Write the times that others have not written in between."""
        self.read_store()
        for model in self.models_to_write():
            self.put(model)
            self.must_read_again = True

    def put(self, model: str) -> None:
        """Write the earliest known times of one model's newest goals."""
        rows = {
            goal: min(seen_s, self.stored.get(goal, seen_s))
            for goal, seen_s in self.history.first_seen_times().items()
            if goal.model == model
        }
        offset_s = self.wall_clock() - self.clock()
        times: Rows = [
            (goal.version, int((seen_s + offset_s) * MS))
            for goal, seen_s in rows.items()
        ]
        self.store.put(self.topic, model, msgspec.msgpack.encode(times))
        self.stored.update(rows)
