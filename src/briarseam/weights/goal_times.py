"""Since when weights are wanted, kept on the store for new processes."""

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
# A part of the store that does not answer must not keep an instance from
# serving what needs no ages: three tries.
WAITED_FOR_S = 2.0
# An earlier time than the written one is written only if it differs by more:
# what instances see differs by the way from the store.
SAME_S = 1.0
KNOWN = b"known"
# Version and the time when it was named, Unix ms; before any clock runs out.
Version = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
NamedMs = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Rows = list[tuple[Version, NamedMs]]
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
    the times lie on the store, as times of day.  Several instances write
    them, each after a look at what lies there and with a look afterwards, so
    that the earliest time stays: a clock that jumped ahead would make a goal
    younger than it is.  One that jumped back makes it older, and older
    weights are out of use that much too soon.

    Parameters
    ----------
    store, topic
        Where they lie.
    history
        The goals, as far as this process knows.
    writes
        Tells whether this instance is one of those that write.
    era
        Returns the era of the store; what lay there is looked at again when
        it has changed.
    tally
        Counts records that can't be read.
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
        era: typing.Callable[[], int] = lambda: 0,
        tally: malformed.Tally | None = None,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        wall_clock: typing.Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self.topic = topic
        self.history = history
        self.writes = writes
        self.era = era
        self.tally = tally or malformed.Tally()
        self.clock = clock
        self.wall_clock = wall_clock
        self.known = threading.Event()
        self.started_s = clock()
        # What lay on the store at the last look, by the clock.
        self.stored: dict[goals.WeightGoal, float] = {}
        self.looked = False
        self.looked_era = 0
        self.look_again = False
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
            wait_s = RETRY_S
            try:
                self.step()
                wait_s = REVIEW_S
            except records.StoreUnavailableError as error:
                log.info("goal_times_not_kept", detail=str(error))
            except Exception:
                # Without this thread the process would never know how old
                # goals are; whatever was wrong may be right next time.
                log.exception("goal_times_failed")
            self.stopping.wait(wait_s)

    def step(self) -> None:
        """Read if that was not done yet, then write what is new.

        Raises
        ------
        StoreUnavailableError
            When the store does not answer properly.
        """
        if not self.looked:
            self.read_store()
            self.restore()
            self.known.set()
        if not self.writes():
            return
        if self.era() != self.looked_era:
            self.read_store()
        if self.news():
            self.write()
        elif self.look_again:
            self.read_store()
            self.look_again = False

    def is_needed(self) -> bool:
        """Tell whether requests must wait until ages are known.

        Not where no weights were named, and not for long: plain services
        and engines with the newest weights need no ages.
        """
        if self.known.is_set() or not self.history.newest:
            return False
        return self.clock() - self.started_s < WAITED_FOR_S

    def read_store(self) -> None:
        """Look at what lies on the store."""
        self.looked_era = self.era()
        batch = self.store.newest(self.topic)
        self.stored = {}
        for record in batch.records:
            if record.value is not None:
                self.stored.update(self.decoded(record.key, record.value))
        self.looked = True

    def decoded(
        self, model: str, value: bytes
    ) -> dict[goals.WeightGoal, float]:
        """Return the times of one model's goals, by the clock."""
        try:
            rows = msgspec.msgpack.decode(value, type=Rows)
        except msgspec.DecodeError as error:
            self.tally.note(malformed.Kind.GOAL_TIMES, model, error)
            return {}
        now_s = self.clock()
        wall_s = self.wall_clock()
        return {
            goals.WeightGoal(model, version): now_s
            - max(0.0, wall_s - named_ms / MS)
            for version, named_ms in rows
        }

    def restore(self) -> None:
        """Take in what former processes left."""
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
        """Tell peers whether this instance knows all times."""
        return KNOWN if self.known.is_set() else b""

    def consume(self, member: str, data: bytes) -> None:
        """Take in that a peer, which tells all ages, knows all times."""
        del member
        if data == KNOWN:
            self.known.set()

    def news(self) -> list[str]:
        """Return the models of which the store lacks something."""
        seen = self.history.all_seen()
        return sorted(
            {
                goal.model
                for goal, at_s in seen.items()
                if self.is_new(goal, at_s)
            }
        )

    def is_new(self, goal: goals.WeightGoal, seen_s: float) -> bool:
        """Tell whether the store lacks a goal's time, or has a later one."""
        stored_s = self.stored.get(goal)
        return stored_s is None or seen_s < stored_s - SAME_S

    def write(self) -> None:
        """Write what others have not written meanwhile."""
        self.read_store()
        for model in self.news():
            self.put(model)
            self.look_again = True

    def put(self, model: str) -> None:
        """Write the earliest known times of one model's newest goals."""
        rows = {
            goal: min(seen_s, self.stored.get(goal, seen_s))
            for goal, seen_s in self.history.all_seen().items()
            if goal.model == model
        }
        offset_s = self.wall_clock() - self.clock()
        times: Rows = [
            (goal.version, int((seen_s + offset_s) * MS))
            for goal, seen_s in rows.items()
        ]
        self.store.put(self.topic, model, msgspec.msgpack.encode(times))
        self.stored.update(rows)
