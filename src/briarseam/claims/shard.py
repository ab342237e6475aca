"""One claim stream: its fold, its follower, its writer, and who waits.

A claimant is told that it won only after the fold has read its own claim
back from the stream as the winner.
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
# A claim waits this long at most for its stream to be read up to now.
MAX_FIRST_READ_WAIT_S = 0.5
# How soon a claim that waits notices that the log is away.
LOG_CHECK_INTERVAL_S = 0.05
FOLLOW_WAIT_MS = 1000
READ_RECORDS_PER_S = 5000
log = structlog.get_logger("briarseam.claims")

IsAlive = typing.Callable[[records.Claim], bool]


class Shard:
    """The keys of one claim stream, as one agent follows them.

    Parameters
    ----------
    stream
        The stream and who writes to it.
    window
        How long keys are good for.
    interval_s
        Least time between two appends, in seconds.
    is_alive
        Tells whether the agent that made a claim is still there.  It only
        chooses between "in progress" and "unknown"; no safety rests on it.
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
        """Begin reading the window."""
        self.follower.start()
        self.writer.start()

    def stop(self) -> None:
        """Append what is queued and stop."""
        self.writer.stop()
        self.follower.stop()

    def position(self) -> int:
        """Return the last offset read from the stream."""
        return self.last_offset

    def is_awaited(self, item: records.Item) -> bool:
        """Tell whether somebody still waits for an item."""
        with self.lock:
            if isinstance(item, records.Claim):
                return item.attempt in self.claim_waiters
            return item in self.settlement_waiters

    def is_busy(self) -> bool:
        """Tell whether anybody waits for this shard."""
        with self.lock:
            return bool(self.claim_waiters or self.settlement_waiters)

    def claim(self, item: records.Claim, wait_s: float) -> messages.Result:
        """Claim a key and return what the stream says.

        Parameters
        ----------
        item
            The claim; its attempt must be fresh.
        wait_s
            Bound on the wait, in seconds.
        """
        result = self.submit_and_wait(item, wait_s)
        if not isinstance(result, waits.Held):
            return result
        # Asking the holder may take a while, so no lock is held here.
        if self.is_alive(result.claim):
            return messages.InProgress(result.retry_after_s)
        return messages.Unknown(
            "the instance that sent the first request is gone"
        )

    def submit_and_wait(
        self, item: records.Claim, wait_s: float
    ) -> waits.StreamResult:
        """Return what the stream says about a claim."""
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
            f"the log did not take the claim within {wait_s:g} s",
            platform_log.DEFAULT_RETRY_AFTER_S,
            dangling=True,
        )

    def await_first_read(self, wait_s: float) -> None:
        """Wait while the stream is read for the first time.

        Guard: an agent that was just started owns streams as soon as others
        see it, some milliseconds before it has read them.  A caller refused
        in between would have to come back for nothing.  A stream that has
        not been read by then, or whose log is away, is refused as before.
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
        """Return the answer that needs no append; ``None`` when free.

        A key that is known to be held is answered from the fold also
        while the log is away; "not run" would be wrong about it.
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
            The attempts whose settlement was read back.
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
        """Return the refusal while the window is not known up to now."""
        if self.halted:
            return refusal(self.halted, MAX_RETRY_S)
        if not self.follower.available:
            return refusal(
                "the log cannot be reached",
                platform_log.MAX_RETRY_S,
                verdict.Reason.LOG_UNAVAILABLE,
            )
        if self.records_behind != 0:
            return refusal("the claims are being read", self.catch_up_s())
        return None

    def catch_up_s(self) -> float:
        """Return about how long reading the window will take yet."""
        return MIN_RETRY_S + max(self.records_behind, 0) / READ_RECORDS_PER_S

    def capacity_refusal(self) -> messages.NotClaimed | None:
        """Return the refusal while more keys are held than fit.

        Nothing inside the window may be forgotten, so new claims wait
        until old keys age out.
        """
        if self.fold.size() < MAX_ENTRIES:
            return None
        oldest_ms = self.fold.keys_by_age[0][0]
        remaining_ms = oldest_ms + self.window.length_ms - self.fold.now_ms
        return refusal(
            "more keys are held than fit",
            max(MIN_RETRY_S, remaining_ms / 1000),
            verdict.Reason.OVERLOADED,
        )

    def known_answer(self, item: records.Claim) -> waits.StreamResult | None:
        """Return the answer that the fold already has; ``None`` if free."""
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
        """Return what is known about a key that an attempt holds."""
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
        """Tell those who wait that the items were not appended."""
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
        """Fold what the follower read."""
        with self.lock:
            if self.halted:
                return
            if self.is_rolled_back(batch):
                return
            if self.retention.is_short(batch.first):
                self.halt("the log keeps records less than [claims] window_s")
                return
            # A reader that was paused longer than the retention has a gap.
            # What it missed is about keys that are too old by now, as all
            # that is younger is retained.
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
        """Halt when the log lost records that were read before.

        A log that went back would hand out offsets, and so keys, a second
        time; it shows as a next offset at or below the last one read.
        """
        if batch.next > self.last_offset:
            return False
        self.halt("the log lost records; claims are refused")
        return True

    def apply_record(self, record: platform_log.Record) -> None:
        """Fold one record and wake those whose items it holds."""
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
            # Keys would lie in other streams than where this agent looks,
            # and be free in both.
            self.halt(
                f"claims are cut into {batch.shards} streams, "
                f"not {self.stream.shards}"
            )
            return
        for item in batch.items:
            self.apply_item(item)

    def apply_item(self, item: records.Item) -> None:
        """Fold one item and wake whoever waits for it."""
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
        """Return what a claimant is told about its ruling."""
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
                    "the attempt was given up", MIN_RETRY_S
                )

    def halt(self, detail: str) -> None:
        """Refuse all claims from now on: the stream cannot be trusted."""
        self.halted = detail
        self.first_read_done.set()
        log.error("claims_halted", stream=self.stream.name, detail=detail)


def refusal(
    detail: str,
    retry_after_s: float,
    reason: verdict.Reason = verdict.Reason.NOT_CURRENT,
) -> messages.NotClaimed:
    """Return the answer to a claim that was not even appended."""
    return messages.NotClaimed(reason, detail, retry_after_s)


def append_failed(failure: writers.Failure) -> messages.NotClaimed:
    """Return the answer to a claim whose append failed."""
    return messages.NotClaimed(
        verdict.Reason.LOG_UNAVAILABLE,
        failure.detail,
        failure.retry_after_s,
        failure.dangling,
    )
