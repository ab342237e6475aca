"""Records at the store of what instances know of crashes.

Instances tell each other what was lost and tried, but all of them may end at
the same moment.  So each records what it knows at the store, and reads the
records of all at its start.
"""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam import malformed
from briarseam.crashes import loss_counts
from briarseam.crashes import loss_times
from briarseam.crashes import trial_messages as messages
from briarseam.feeds import records

if typing.TYPE_CHECKING:
    from briarseam.crashes import pending_losses
    from briarseam.crashes import trial_ledger

MAX_AGE_S = loss_counts.LOSS_TTL_S
# Pause between attempts to read the records at the start.
RETRY_S = 0.25
# An instance takes requests after this time even if the store has not
# answered; it hears what was lost from its peers then.
MAX_WAIT_S = 2.0
# What is learned within this time of a change is written with it.
GATHER_S = 0.05
# The same if nothing was lost twice: most such losses turn out not to count
# by then, and need no write.
GATHER_FIRST_S = 0.5
# Pause between writes: a crash takes along requests of many instances, and
# the store takes a few hundred writes a second of all together.
MIN_PAUSE_S = 1.0
# The same if a few requests are repeated and their callers leave: one that
# crashes an endpoint with each repeat is at the third one within a second.
REPEAT_PAUSE_S = 0.25
# If more are repeated, something else is slow or lost, at many instances.
MAX_REPEATED = 3
# The record is written again after this time, and after the store was
# restored from a backup.
REFRESH_S = 60.0
ERA_POLL_S = 2.0
# Pause after an unexpected error.
FAILURE_PAUSE_S = 1.0
# Bounds what one record has, and what is taken from all.
MAX_LOSSES = 100
MAX_ANSWERS = 100
MAX_ADOPTED = 800
# The same of attempts that were ended early.
MAX_ATTEMPTS = 100
MAX_ADOPTED_ATTEMPTS = 200
# An older attempt says little about an endpoint that is gone: most of what
# restarts endpoints happens within minutes.
MAX_ATTEMPT_AGE_S = 60.0
MS = 1000
# Other writers' rows are told to peers, in messages that carry 64 bits.
Age = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Key = typing.Annotated[bytes, msgspec.Meta(max_length=64)]
EndpointId = typing.Annotated[str, msgspec.Meta(max_length=256)]
log = structlog.get_logger("briarseam.forwarding")


class LossRow(msgspec.Struct, array_like=True, frozen=True):
    """A loss, as encoded in a record.

    Attributes
    ----------
    key, endpoint
        What was lost where.
    age_ms
        Time since then, in milliseconds.
    """

    key: Key
    endpoint: EndpointId
    age_ms: Age


class AnswerRow(msgspec.Struct, array_like=True, frozen=True):
    """The last answer of what had been lost, as encoded in a record.

    Attributes
    ----------
    key
        What was answered.
    age_ms
        Time since then, in milliseconds.
    """

    key: Key
    age_ms: Age


class CrashRecord(msgspec.Struct, array_like=True, frozen=True):
    """What one instance knows, as encoded in the topic.

    Attributes
    ----------
    losses, trials, answers
        What it knows.
    written_ms
        Unix time in milliseconds.
    attempts
        Requests that were ended early, of which nothing shows yet whether
        they crash endpoints.
    """

    losses: tuple[LossRow, ...]
    trials: tuple[messages.TrialRow, ...]
    answers: tuple[AnswerRow, ...]
    written_ms: int
    attempts: tuple[LossRow, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to remember."""
        return not (
            self.losses or self.trials or self.answers or self.attempts
        )

    def says_the_same(self, other: CrashRecord | None) -> bool:
        """Return whether another record differs in times only."""
        return other is not None and (
            places_of(self.losses) == places_of(other.losses)
            and places_of(self.attempts) == places_of(other.attempts)
            and self.trials == other.trials
            and {row.key for row in self.answers}
            == {row.key for row in other.answers}
        )


class KeyedStore(typing.Protocol):
    """A store of keyed topics."""

    @property
    def era(self) -> int:
        """Number of times that the store was restored from a backup."""

    def newest(self, topic: str) -> records.KeyedBatch:
        """Return the newest record of each key of a topic."""

    def put(self, topic: str, key: str, value: bytes | None) -> None:
        """Write the newest record of a key."""


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """What is known of crashes.

    Attributes
    ----------
    counts
        Losses that count.
    losses
        Losses that are not decided yet.
    ledger
        Trials.
    """

    counts: loss_counts.LossCounts
    losses: pending_losses.PendingLosses
    ledger: trial_ledger.TrialLedger


class CrashRecords:
    """Reads all records at the start, and writes that of this instance.

    Parameters
    ----------
    store, topic
        Where they are stored.
    name
        Name of this instance.
    known
        What is recorded, and to which records are applied.
    malformed_counter
        Counts records that can't be decoded.
    wall_clock
        Returns the Unix time in seconds.
    clock
        Seconds.

    Attributes
    ----------
    is_stored
        Whether this instance has a record at the store, as far as known.
    written
        The last record that was written.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        name: str,
        known: Knowledge,
        malformed_counter: malformed.Tally,
        wall_clock: typing.Callable[[], float] = time.time,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.store = store
        self.topic = topic
        self.name = name
        self.known = known
        self.malformed_counter = malformed_counter
        self.wall_clock = wall_clock
        self.clock = clock
        self.first_asked_s: float | None = None
        self.is_stored = False
        self.written: CrashRecord | None = None
        self.written_era = 0
        self.written_s = float("-inf")
        self.loaded = threading.Event()
        self.stopping = threading.Event()
        self.changed = threading.Event()
        self.writing = threading.Lock()
        self.thread = threading.Thread(
            target=self.run, name="crash-records", daemon=True
        )

    def start(self) -> None:
        """Start to read, and then to write."""
        self.thread.start()

    def stop(self) -> None:
        """Stop soon; what has changed is written before."""
        self.stopping.set()
        self.changed.set()

    def is_settled(self) -> bool:
        """Return whether requests may be taken.

        Asked once all else that requests need is known: as long as the store
        does not answer at all, there is nothing to wait for.
        """
        if self.first_asked_s is None:
            self.first_asked_s = self.clock()
        waited_s = self.clock() - self.first_asked_s
        return self.loaded.is_set() or waited_s >= MAX_WAIT_S

    def note_change(self) -> None:
        """Have the thread write the record soon."""
        self.changed.set()

    # Reading.

    def run(self) -> None:
        """Read the records, then write until stopped."""
        while not self.stopping.is_set():
            try:
                self.step()
            except Exception:
                # Without the thread, nothing would be recorded any more.
                log.exception("crash_records_failed")
                self.stopping.wait(FAILURE_PAUSE_S)

    def step(self) -> None:
        """Read the records if that was not done yet, or write once."""
        if not self.loaded.is_set():
            if not self.load():
                self.stopping.wait(RETRY_S)
            return
        self.changed.wait(ERA_POLL_S)
        if self.changed.is_set():
            pause_s = self.written_s + self.pause_s() - self.clock()
            self.stopping.wait(max(self.gather_s(), pause_s))
            self.changed.clear()
            self.write()
        elif self.is_outdated():
            self.write()

    def load(self) -> bool:
        """Read and apply all records; return whether that succeeded."""
        try:
            batch = self.store.newest(self.topic)
        except records.StoreUnavailableError as error:
            log.info("crash_records_not_read", detail=str(error))
            return False
        found = [self.decode(row) for row in batch.records]
        usable = [record for record in found if record is not None]
        self.apply(usable)
        self.loaded.set()
        return True

    def decode(self, row: records.KeyedRecord) -> CrashRecord | None:
        """Return a record; ``None`` if there is none, or it is too old."""
        if row.value is None:
            return None
        try:
            with malformed.raised_as_malformed():
                record = msgspec.msgpack.decode(row.value, type=CrashRecord)
        except malformed.MalformedError as error:
            self.malformed_counter.note(
                malformed.Kind.STORE_RECORD, f"{self.topic}/{row.key}", error
            )
            return None
        self.is_stored = self.is_stored or row.key == self.name
        if abs(self.wall_ms() - record.written_ms) > MAX_AGE_S * MS:
            self.put(row.key, None)
            return None
        log.info(
            "crash_record_read",
            instance=row.key,
            losses=len(record.losses),
            trials=len(record.trials),
        )
        return record

    def apply(self, found: list[CrashRecord]) -> None:
        """Apply records, without losses that were answered since."""
        answered_s: dict[bytes, float] = {}
        for record in found:
            for answer in record.answers:
                at_s = self.time_of(record, answer.age_ms)
                known_s = answered_s.get(answer.key, at_s)
                answered_s[answer.key] = max(at_s, known_s)
        lost: loss_times.Lost = {}
        ended: loss_times.Lost = {}
        oldest_s = self.clock() - MAX_ATTEMPT_AGE_S
        oldest_loss_s = self.clock() - MAX_AGE_S
        for record in found:
            self.add_rows(lost, record, record.losses, answered_s)
            self.add_rows(ended, record, record.attempts, answered_s)
            trials = map(without_open_end, record.trials)
            self.known.ledger.restore(trials, answered_s.keys())
        ended = {
            place: at_s
            for place, at_s in loss_times.newer_than(ended, oldest_s).items()
            if place not in lost
        }
        for (key, endpoint), at_s in loss_times.most_lost(
            ended, MAX_ADOPTED_ATTEMPTS
        ):
            self.known.losses.adopt(key, endpoint, at_s, was_abandoned=True)
        lost = loss_times.newer_than(lost, oldest_loss_s)
        for (key, endpoint), at_s in loss_times.most_lost(lost, MAX_ADOPTED):
            self.known.losses.adopt(key, endpoint, at_s)

    def add_rows(
        self,
        lost: loss_times.Lost,
        record: CrashRecord,
        rows: tuple[LossRow, ...],
        answered_s: dict[bytes, float],
    ) -> None:
        """Add rows of a record that were not answered since."""
        for row in rows:
            at_s = self.time_of(record, row.age_ms)
            if at_s > answered_s.get(row.key, float("-inf")):
                known_s = lost.get((row.key, row.endpoint), at_s)
                lost[row.key, row.endpoint] = min(at_s, known_s)

    def time_of(self, record: CrashRecord, age_ms: int) -> float:
        """Return when something happened, by the clock.

        Wall clocks of instances differ by seconds, so it is never later than
        now.
        """
        age_s = (self.wall_ms() - record.written_ms + age_ms) / MS
        return self.clock() - max(0.0, age_s)

    # Writing.

    def gather_s(self) -> float:
        """Return how long to wait for further changes."""
        losses = self.known.losses
        lost = losses.undecided() | self.known.counts.lost()
        lost |= losses.repeated_attempts()
        keys = [key for key, _endpoint in lost]
        has_repeats = len(keys) > len(set(keys))
        return GATHER_S if has_repeats else GATHER_FIRST_S

    def pause_s(self) -> float:
        """Return the least time between writes."""
        attempts = self.known.losses.repeated_attempts()
        repeated = {key for key, _endpoint in attempts}
        is_few = 0 < len(repeated) <= MAX_REPEATED
        return REPEAT_PAUSE_S if is_few else MIN_PAUSE_S

    def is_outdated(self) -> bool:
        """Return whether the record must be written though nothing changed."""
        if not self.is_stored:
            return False
        is_old = self.clock() - self.written_s >= REFRESH_S
        return is_old or self.store.era != self.written_era

    def write(self) -> bool:
        """Write what is known; return whether the store has it.

        Before the records are read, this would replace what the former
        process of this instance knew.
        """
        if not self.loaded.is_set():
            return False
        with self.writing:
            record = self.record()
            if record.is_empty and not self.is_stored:
                return True
            if record.says_the_same(self.written) and not self.is_outdated():
                return True
            self.written_s = self.clock()
            self.written_era = self.store.era
            value = msgspec.msgpack.encode(record)
            is_written = self.put(
                self.name, None if record.is_empty else value
            )
            if is_written:
                self.written = record
                self.is_stored = not record.is_empty
            else:
                self.written = None
                self.changed.set()
            return is_written

    def record(self) -> CrashRecord:
        """Return what is known."""
        now_s = self.clock()
        counts = self.known.counts
        lost = self.known.losses.undecided() | counts.lost()
        ended = self.known.losses.repeated_attempts()
        return CrashRecord(
            rows_of(loss_times.most_lost(lost, MAX_LOSSES), now_s),
            self.known.ledger.rows(),
            tuple(
                AnswerRow(key, age_ms(now_s, at_s))
                for key, at_s in counts.cleared_s()[:MAX_ANSWERS]
            ),
            self.wall_ms(),
            rows_of(loss_times.most_lost(ended, MAX_ATTEMPTS), now_s),
        )

    def put(self, key: str, value: bytes | None) -> bool:
        """Write or delete a record; return whether that succeeded."""
        try:
            self.store.put(self.topic, key, value)
        except records.StoreUnavailableError as error:
            log.warning("crash_record_not_written", detail=str(error))
            return False
        return True

    def wall_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return round(self.wall_clock() * MS)


def places_of(rows: tuple[LossRow, ...]) -> set[tuple[bytes, str]]:
    """Return what was lost where, without times."""
    return {(row.key, row.endpoint) for row in rows}


def rows_of(
    lost: list[tuple[tuple[bytes, str], float]], now_s: float
) -> tuple[LossRow, ...]:
    """Return losses, encodable."""
    return tuple(
        LossRow(key, endpoint, age_ms(now_s, at_s))
        for (key, endpoint), at_s in lost
    )


def age_ms(now_s: float, at_s: float) -> int:
    """Return the time since a moment in milliseconds."""
    return max(0, round((now_s - at_s) * MS))


def without_open_end(trial: messages.TrialRow) -> messages.TrialRow:
    """Return a recorded trial; one without an end counts as lost.

    Its instance may have ended together with the endpoint.
    """
    if trial.state is not messages.TrialState.OPEN:
        return trial
    return msgspec.structs.replace(trial, state=messages.TrialState.LOST)
