"""Since when weights are wanted, kept on the store for new processes."""

from __future__ import annotations

import threading
import time
import typing

import msgpack
import structlog

from briarseam import clocks
from briarseam.feeds import records
from briarseam.weights import goals

MS = 1000.0
REVIEW_S = 0.25
RETRY_S = 0.5
# Older versions of a model than these are out of use long since: a version
# takes effect in some ten seconds, and one names the next after some.
KEPT_VERSIONS = 8
# An earlier time than the written one is written only if it differs by more:
# what instances see differs by the way from the store.
SAME_S = 1.0
KNOWN = b"known"
log = structlog.get_logger("briarseam.weights")


class TimesStore(typing.Protocol):
    """A store of keyed topics."""

    def newest(self, topic: str) -> records.KeyedBatch:
        """Return the newest record of each key."""

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write the newest record of a key."""


class GoalTimes:
    """Keeps the times of goals across the end of all processes.

    Instances tell each other how old a goal is.  When all of them end at
    once nobody is left to tell, and goals that were named long ago would
    count as new: requests would begin on weights that were replaced.  So
    the times lie on the store, as times of day.  A clock that jumped makes
    a goal look older or younger by that, on one instance; the oldest age
    that any instance knows counts.

    Parameters
    ----------
    store, topic
        Where they lie.
    history
        The goals, as far as this process knows.
    writes
        Tells whether this instance is one of those that write.
    clock
        The clock of ``history``.
    wall_clock
        Seconds since the epoch.

    Attributes
    ----------
    known
        Set once it is known what former processes saw, from the store or
        from an instance that knows.
    """

    def __init__(
        self,
        store: TimesStore,
        topic: str,
        history: goals.GoalHistory,
        writes: typing.Callable[[], bool],
        clock: typing.Callable[[], float] = clocks.boot_clock,
        wall_clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self.topic = topic
        self.history = history
        self.writes = writes
        self.clock = clock
        self.wall_clock = wall_clock
        self.known = threading.Event()
        self.read_all = False
        self.written: dict[goals.WeightGoal, float] = {}
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="goal-times", daemon=True
        )

    def start(self) -> None:
        """Begin to read and write."""
        self.thread.start()

    def stop(self) -> None:
        """End."""
        self.stopping.set()

    def run(self) -> None:
        """Read once, then write what is new, until stopped."""
        while not self.stopping.is_set():
            try:
                self.step()
                wait_s = REVIEW_S
            except records.StoreUnavailableError as error:
                log.info("goal_times_not_kept", detail=str(error))
                wait_s = RETRY_S
            self.stopping.wait(wait_s)

    def step(self) -> None:
        """Read if that was not done yet, then write what is new.

        Raises
        ------
        StoreUnavailableError
            When the store does not answer properly.
        """
        if not self.read_all:
            self.read()
        if self.writes():
            self.write()

    def read(self) -> None:
        """Take in what former processes left."""
        batch = self.store.newest(self.topic)
        for record in batch.records:
            if record.value is not None:
                self.recall(record.key, record.value)
        self.read_all = True
        self.known.set()

    def provide(self) -> bytes:
        """Tell peers whether this instance knows all times."""
        return KNOWN if self.known.is_set() else b""

    def consume(self, member: str, data: bytes) -> None:
        """Take in that a peer, which tells all ages, knows all times."""
        del member
        if data == KNOWN:
            self.known.set()

    def recall(self, model: str, value: bytes) -> None:
        """Take in the times of one model's goals."""
        now_s = self.wall_clock()
        try:
            rows = [
                (goals.WeightGoal(model, int(version)), float(named_ms) / MS)
                for version, named_ms in msgpack.unpackb(value)
            ]
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            log.warning("goal_times_malformed", model=model, detail=str(error))
            return
        for goal, named_s in rows:
            age_s = max(0.0, now_s - named_s)
            seen_s = self.history.recall(goal, age_s)
            self.written[goal] = seen_s
            log.info(
                "goal_time_found",
                model=model,
                version=goal.version,
                age_s=round(age_s, 1),
            )

    def write(self) -> None:
        """Write the models of which something new is known."""
        seen = self.history.all_seen()
        for model in sorted({goal.model for goal in seen}):
            rows = {
                goal: seen_s
                for goal, seen_s in seen.items()
                if goal.model == model
            }
            if any(self.is_news(goal, at_s) for goal, at_s in rows.items()):
                self.put(model, rows)

    def is_news(self, goal: goals.WeightGoal, seen_s: float) -> bool:
        """Tell whether the store lacks a goal's time, or has a later one."""
        written_s = self.written.get(goal)
        return written_s is None or seen_s < written_s - SAME_S

    def put(self, model: str, rows: dict[goals.WeightGoal, float]) -> None:
        """Write the times of one model's newest goals."""
        offset_s = self.wall_clock() - self.clock()
        newest = sorted(rows, key=lambda goal: goal.version)[-KEPT_VERSIONS:]
        times = [
            [goal.version, int((rows[goal] + offset_s) * MS)]
            for goal in newest
        ]
        self.store.put(self.topic, model, msgpack.packb(times))
        self.written.update(rows)
