"""One claim stream: its fold, follower, writer and waiting threads.

A claimant gets ``Won`` only after its own claim has been read back from the
stream and the fold has made it the winner.
"""

from __future__ import annotations

import threading
import time
import typing

import structlog

from briarseam import verdict
from briarseam.backing import log as platform_log
from briarseam.claims import fold as folds
from briarseam.claims import keys
from briarseam.claims import messages
from briarseam.claims import records
from briarseam.claims import retention
from briarseam.claims import waits
from briarseam.claims import writer as writers

MAX_ENTRIES = 2_000_000
MIN_RETRY_S = 0.2
MAX_RETRY_S = 30.0
# Maximum time that a claim waits for the first read of its stream.
MAX_FIRST_READ_WAIT_S = 0.5
# Interval at which a waiting claim checks whether the log is available.
LOG_CHECK_INTERVAL_S = 0.05
FOLLOW_WAIT_MS = 1000
# Rate of reading by which the time until a stream is read is estimated.
READ_RECORDS_PER_S = 5000
log = structlog.get_logger("briarseam.claims")

IsAlive = typing.Callable[[records.Claim], bool]


class Shard:
    """The keys of one claim stream, as followed by one agent.

    Parameters
    ----------
    stream
        The stream and the name of its writer.
    window
        How long keys are valid.
    interval_s
        Minimum time between two appends, in seconds.
    is_alive
        Returns whether the agent that made a claim is still alive.  It only
        selects between "in progress" and "unknown"; safety does not depend
        on it.
    """

    def __init__(
        self,
        stream: writers.Stream,
        window: keys.Window,
        interval_s: float,
        is_alive: IsAlive,
    ) -> None:
        self.stream = stream
        self.window = window
        self.is_alive = is_alive
        self.lock = threading.Lock()
        self.fold = folds.Fold(window)
        self.last_offset = 0
        self.records_behind = -1
        self.first_read_done = threading.Event()
        self.halted = ""
        self.retention = retention.RetentionCheck(window.length_ms / 1000)
        self.last_used_at = 0.0
        self.claim_waiters: dict[str, waits.ClaimWaiter] = {}
        self.settlement_waiters: dict[
            records.Settlement, waits.SettlementWaiter
        ] = {}
        self.writer = writers.Writer(stream, self, interval_s)
        self.follower = platform_log.Follower(
            stream.log, stream.name, 0, self.apply_batch, FOLLOW_WAIT_MS
        )

    def start(self) -> None:
        """Start reading and appending."""
        self.follower.start()
        self.writer.start()

    def stop(self) -> None:
        """Append queued items, then stop."""
        self.writer.stop()
        self.follower.stop()

    def position(self) -> int:
        """Return the last offset that was read from the stream."""
        return self.last_offset

    def is_awaited(self, item: records.Item) -> bool:
        """Return whether a thread still waits for an item."""
        with self.lock:
            if isinstance(item, records.Claim):
                return item.attempt in self.claim_waiters
            return item in self.settlement_waiters

    def is_busy(self) -> bool:
        """Return whether any thread waits for this shard."""
        with self.lock:
            return bool(self.claim_waiters or self.settlement_waiters)

    def claim(self, item: records.Claim, wait_s: float) -> messages.Result:
        """Claim a key and return the result.

        Parameters
        ----------
        item
            The claim; its attempt must be new.
        wait_s
            Maximum wait in seconds.
        """
        result = self.submit_and_wait(item, wait_s)
        if not isinstance(result, waits.Held):
            return result
        # The query to the holder may be slow, so no lock is held.
        if self.is_alive(result.claim):
            return messages.InProgress(result.retry_after_s)
        return messages.Unknown(
            "the instance that sent the first request is gone"
        )

    def submit_and_wait(
        self, item: records.Claim, wait_s: float
    ) -> waits.StreamResult:
        """Append a claim if necessary and wait until it is read back."""
        deadline = time.monotonic() + wait_s
        self.await_first_read(min(wait_s, MAX_FIRST_READ_WAIT_S))
        with self.lock:
            answer = self.answer_without_append(item)
            if answer is not None:
                return answer
            waiter = waits.ClaimWaiter(item)
            self.claim_waiters[item.attempt] = waiter
        self.writer.submit([item])
        waiter.done.wait(max(deadline - time.monotonic(), 0.0))
        with self.lock:
            self.claim_waiters.pop(item.attempt, None)
        if waiter.result is not None:
            return waiter.result
        return messages.NotClaimed(
            verdict.Reason.LOG_UNAVAILABLE,
            f"the log did not accept the claim within {wait_s:g} s",
            platform_log.DEFAULT_RETRY_AFTER_S,
            dangling=True,
        )

    def await_first_read(self, wait_s: float) -> None:
        """Wait until the stream has been read for the first time.

        Guard: an agent that has just started owns streams as soon as other
        agents see it, some milliseconds before it has read them.  Refusing
        claims in between would cost callers a needless retry.  Claims are
        still refused if the stream is not read in time or the log is
        unavailable.
        """
        deadline = time.monotonic() + wait_s
        while self.follower.available and not self.first_read_done.is_set():
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return
            self.first_read_done.wait(min(remaining_s, LOG_CHECK_INTERVAL_S))

    def answer_without_append(
        self, item: records.Claim
    ) -> waits.StreamResult | None:
        """Return the result that needs no append; ``None`` if there is none.

        A key that is known to be held is answered from the fold even while
        the log is unavailable; "not run" would be wrong for it.
        """
        if self.records_behind == 0:
            known = self.known_answer(item)
            if known is not None:
                return known
        return self.readiness_refusal() or self.capacity_refusal()

    def settle(
        self,
        settlements: typing.Sequence[records.Settlement],
        wait_s: float,
    ) -> frozenset[str]:
        """Record how attempts ended.

        Returns
        -------
        frozenset of str
            The attempts whose settlements were read back.
        """
        waiter = waits.SettlementWaiter(set(settlements))
        with self.lock:
            if self.readiness_refusal() is not None:
                return frozenset()
            for item in settlements:
                self.settlement_waiters[item] = waiter
        self.writer.submit(settlements)
        waiter.done.wait(wait_s)
        with self.lock:
            for item in settlements:
                self.settlement_waiters.pop(item, None)
            return frozenset(item.attempt for item in waiter.confirmed)

    def readiness_refusal(self) -> messages.NotClaimed | None:
        """Return the refusal while the stream is not read to its end."""
        if self.halted:
            return refusal(self.halted, MAX_RETRY_S)
        if not self.follower.available:
            return refusal(
                "the log is unreachable",
                platform_log.MAX_RETRY_S,
                verdict.Reason.LOG_UNAVAILABLE,
            )
        if self.records_behind != 0:
            return refusal("the claims are being read", self.catch_up_s())
        return None

    def catch_up_s(self) -> float:
        """Estimate the seconds until the stream is read to its end."""
        return MIN_RETRY_S + max(self.records_behind, 0) / READ_RECORDS_PER_S

    def capacity_refusal(self) -> messages.NotClaimed | None:
        """Return the refusal while the maximum number of keys is held.

        No key inside the window may be dropped, so new claims have to wait
        until old keys expire.
        """
        if self.fold.size() < MAX_ENTRIES:
            return None
        oldest_ms = self.fold.keys_by_age[0][0]
        remaining_ms = oldest_ms + self.window.length_ms - self.fold.now_ms
        return refusal(
            "the maximum number of keys is held",
            max(MIN_RETRY_S, remaining_ms / 1000),
            verdict.Reason.OVERLOADED,
        )

    def known_answer(self, item: records.Claim) -> waits.StreamResult | None:
        """Return the result that the fold already has; ``None`` if free."""
        parsed = keys.parse(item.key)
        if parsed is not None and self.fold.is_expired(parsed.time_ms):
            return messages.KeyExpired()
        state = self.fold.find(item.organisation, item.key)
        if state is None:
            return None
        if state.body_digest not in (b"", item.body_digest):
            return messages.KeyReused()
        if state.claim is None:
            return None
        return self.held_answer(state, state.claim)

    def held_answer(
        self, state: folds.KeyState, claim: records.Claim
    ) -> waits.StreamResult:
        """Return the result for a key that an attempt holds."""
        if state.outcome is not None:
            return messages.Finished(state.outcome)
        if state.standing is folds.Standing.LOST:
            return messages.Unknown(
                "the first request's answer was lost", state.answer_id
            )
        age_ms = self.fold.now_ms - state.claimed_ms
        remaining_s = (self.fold.mean_run_ms - age_ms) / 1000
        return waits.Held(
            claim, min(max(remaining_s, MIN_RETRY_S), MAX_RETRY_S)
        )

    def fail(
        self,
        items: typing.Sequence[records.Item],
        failure: writers.Failure,
    ) -> None:
        """End the waits for items that were not appended."""
        with self.lock:
            for item in items:
                if not isinstance(item, records.Claim):
                    self.close_settlement(item, False)
                    continue
                waiter = self.claim_waiters.pop(item.attempt, None)
                if waiter is not None:
                    waiter.decide(append_failed(failure))

    def close_settlement(
        self, item: records.Settlement, confirmed: bool
    ) -> None:
        """End the wait for one settlement."""
        waiter = self.settlement_waiters.pop(item, None)
        if waiter is not None:
            waiter.close(item, confirmed)

    def apply_batch(self, batch: platform_log.Batch) -> None:
        """Apply a batch of records from the follower."""
        with self.lock:
            if self.halted:
                return
            if self.is_rolled_back(batch):
                return
            if self.retention.is_short(batch.first):
                self.halt(
                    "the log retains records for less than [claims] window_s"
                )
                return
            # A reader that was paused for longer than the retention misses
            # records.  They are about keys that are too old by now, as all
            # younger records are retained.
            self.last_offset = max(self.last_offset, batch.first - 1)
            was_current = self.records_behind == 0
            for record in batch.records:
                self.apply_record(record)
                if self.halted:
                    return
            if was_current and batch.records:
                self.retention.record_arrival(self.last_offset)
            self.records_behind = max(0, batch.next - 1 - self.last_offset)
            if self.records_behind == 0:
                self.first_read_done.set()

    def is_rolled_back(self, batch: platform_log.Batch) -> bool:
        """Halt if the log lost records that have been read.

        A log that was rolled back would assign offsets, and so let keys be
        claimed, a second time.  Its next offset is not greater than the
        last one read.
        """
        if batch.next > self.last_offset:
            return False
        self.halt("the log lost records; claims are refused")
        return True

    def apply_record(self, record: platform_log.Record) -> None:
        """Apply one record and wake the threads that wait for its items."""
        if record.offset <= self.last_offset:
            return
        self.last_offset = record.offset
        self.fold.advance(record.time_ms)
        try:
            batch = records.decode(record.data)
        except records.UnreadableError:
            return
        except records.UnknownVersionError as error:
            self.halt(f"{error}: this release is too old")
            return
        if batch.shards != self.stream.shards:
            # The writer would put a key into another stream than the one
            # this agent reads, and each would see the key as free.
            self.halt(
                f"the writer distributes claims over {batch.shards} streams,"
                f" this agent over {self.stream.shards}"
            )
            return
        for item in batch.items:
            self.apply_item(item)

    def apply_item(self, item: records.Item) -> None:
        """Apply one item and wake the thread that waits for it."""
        if not isinstance(item, records.Claim):
            self.fold.settle(item)
            self.close_settlement(item, True)
            return
        decision = self.fold.claim(item)
        waiter = self.claim_waiters.pop(item.attempt, None)
        if waiter is not None:
            waiter.decide(self.decision_answer(decision, item))

    def decision_answer(
        self, decision: folds.ClaimDecision, item: records.Claim
    ) -> waits.StreamResult:
        """Return the result for a claimant by the fold's decision."""
        match decision:
            case folds.ClaimDecision.WON:
                return messages.Won(item.attempt)
            case folds.ClaimDecision.REUSED:
                return messages.KeyReused()
            case folds.ClaimDecision.TOO_OLD:
                return messages.KeyExpired()
            case folds.ClaimDecision.FROM_FUTURE:
                return messages.KeyInvalid("the key's time is in the future")
            case folds.ClaimDecision.HELD:
                return self.known_answer(item) or refusal(
                    "the attempt was abandoned", MIN_RETRY_S
                )

    def halt(self, detail: str) -> None:
        """Refuse all claims from now on, as the stream is not reliable."""
        self.halted = detail
        self.first_read_done.set()
        log.error("claims_halted", stream=self.stream.name, detail=detail)


def refusal(
    detail: str,
    retry_after_s: float,
    reason: verdict.Reason = verdict.Reason.NOT_CURRENT,
) -> messages.NotClaimed:
    """Return the result for a claim that is refused without append."""
    return messages.NotClaimed(reason, detail, retry_after_s)


def append_failed(failure: writers.Failure) -> messages.NotClaimed:
    """Return the result for a claim whose append failed."""
    return messages.NotClaimed(
        verdict.Reason.LOG_UNAVAILABLE,
        failure.detail,
        failure.retry_after_s,
        failure.dangling,
    )
