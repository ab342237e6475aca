"""The fold of one claim stream: which attempt holds which key.

Every reader applies the same records in the same order and reaches the same
state, whoever wrote them.  So two writers of one stream, or a writer that
was frozen and resumed, cannot both make an attempt win.  The states of a key
are

    free -> claimed(attempt) -> done(outcome)
      ^         |    |
      +-not_run-+    +-> lost -> done(outcome)

Each attempt is decided once: the first claim record that finds the key
free wins.  An attempt that lost or was recorded as not run never wins later,
however often or late its claim is appended again.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import heapq

from briarseam.claims import keys
from briarseam.claims import records

# A new run time has the weight 1 / RUN_TIME_SMOOTHING in the mean.
RUN_TIME_SMOOTHING = 8
# Size of the bodies kept for replays, per stream; the oldest bodies beyond
# it are dropped.
MAX_OUTCOME_BYTES = 8 * 1024 * 1024


class Standing(enum.Enum):
    """State of a key."""

    FREE = "free"
    CLAIMED = "claimed"
    LOST = "lost"
    DONE = "done"


class ClaimDecision(enum.Enum):
    """Decision of the fold on one claim."""

    WON = "won"
    HELD = "held"
    REUSED = "reused"
    TOO_OLD = "too-old"
    FROM_FUTURE = "from-future"


@dataclasses.dataclass(slots=True)
class KeyState:
    """State of one key of one organisation.

    Attributes
    ----------
    standing
        Whether it is free, claimed, lost or done.
    attempt
        The attempt that holds or held it; empty while free.
    body_digest
        Digest of the first body seen with the key; empty before any.
    claim
        The claim that holds the key; it names the holder.
    claimed_ms
        The log's time of the winning claim, in ms since the epoch.
    outcome
        Outcome of the request; ``None`` until the key is done.
    answer_id
        Answer id of a prompt whose outcome was lost.
    void_attempts
        Attempts that can no longer win.
    """

    standing: Standing = Standing.FREE
    attempt: str = ""
    body_digest: bytes = b""
    claim: records.Claim | None = None
    claimed_ms: int = 0
    outcome: records.Outcome | None = None
    answer_id: str = ""
    void_attempts: tuple[str, ...] = ()


KeyName = tuple[str, str]


class Fold:
    """The state of one claim stream.

    Not thread-safe; the shard's lock protects it.

    Parameters
    ----------
    window
        How long keys are valid.
    """

    def __init__(self, window: keys.Window) -> None:
        self.window = window
        self.now_ms = 0
        self.states: dict[KeyName, KeyState] = {}
        self.keys_by_age: list[tuple[int, KeyName]] = []
        self.void_count = 0
        self.outcome_bytes = 0
        self.names_with_body: collections.deque[KeyName] = collections.deque()
        self.mean_run_ms = 0.0

    def advance(self, time_ms: int) -> None:
        """Advance to the log's clock and drop keys that are too old.

        The clock never goes back, so a dropped key is always refused as
        too old afterwards.  The window bounds the memory used.
        """
        self.now_ms = max(self.now_ms, time_ms)
        while self.keys_by_age and self.is_expired(self.keys_by_age[0][0]):
            _, name = heapq.heappop(self.keys_by_age)
            self.forget(name)

    def is_expired(self, time_ms: int) -> bool:
        """Return whether a key with that time is too old by now."""
        return self.window.age(time_ms, self.now_ms) is keys.Age.TOO_OLD

    def forget(self, name: KeyName) -> None:
        """Drop a key."""
        state = self.states.pop(name)
        self.void_count -= len(state.void_attempts)
        if state.outcome is not None:
            self.outcome_bytes -= len(state.outcome.body)

    def find(self, organisation: str, key: str) -> KeyState | None:
        """Return a key's state; ``None`` if it was never seen."""
        return self.states.get((organisation, key))

    def size(self) -> int:
        """Return the number of keys and void attempts in memory."""
        return len(self.states) + self.void_count

    def claim(self, item: records.Claim) -> ClaimDecision:
        """Apply one claim.

        Returns
        -------
        ClaimDecision
            ``WON`` also for a claim that repeats the winner's.
        """
        parsed = keys.parse(item.key)
        if parsed is None:
            return ClaimDecision.FROM_FUTURE
        # The log's time of this record decides, never the local clock: a
        # writer that was frozen for days may append a claim whose key other
        # readers have dropped, and every reader must refuse it alike.
        match self.window.age(parsed.time_ms, self.now_ms):
            case keys.Age.TOO_OLD:
                return ClaimDecision.TOO_OLD
            case keys.Age.FROM_FUTURE:
                return ClaimDecision.FROM_FUTURE
        state = self.get_or_create(item.organisation, parsed)
        if state.body_digest not in (b"", item.body_digest):
            self.void_attempt(state, item.attempt)
            return ClaimDecision.REUSED
        if state.standing is not Standing.FREE:
            return self.claim_held_key(state, item.attempt)
        if item.attempt in state.void_attempts:
            return ClaimDecision.HELD
        state.standing = Standing.CLAIMED
        state.attempt = item.attempt
        state.body_digest = item.body_digest
        state.claim = item
        state.claimed_ms = self.now_ms
        return ClaimDecision.WON

    def claim_held_key(self, state: KeyState, attempt: str) -> ClaimDecision:
        """Apply a claim on a key that is not free."""
        if state.attempt == attempt:
            return ClaimDecision.WON
        # An attempt that lost must not win later.  Otherwise its claim,
        # appended again after the holder's not_run, would win for a caller
        # that has already been answered, and the key would stay claimed.
        self.void_attempt(state, attempt)
        return ClaimDecision.HELD

    def settle(self, item: records.Settlement) -> None:
        """Apply the end of an attempt to its own key."""
        parsed = keys.parse(item.key)
        if parsed is None or self.is_expired(parsed.time_ms):
            return
        state = self.states.get((item.organisation, item.key))
        # Only the attempt that holds the key may settle it: a not_run of
        # an attempt that lost would free the key while the winner runs.
        is_holder = state is not None and state.attempt == item.attempt
        match item:
            case records.NotRun():
                self.settle_not_run(item, parsed, is_holder)
            case records.Done() if is_holder and state is not None:
                self.settle_done(state, item)
            case records.Lost() if is_holder and state is not None:
                if state.standing is Standing.CLAIMED:
                    state.standing = Standing.LOST
                    state.answer_id = item.answer_id

    def settle_not_run(
        self, item: records.NotRun, parsed: keys.Key, is_holder: bool
    ) -> None:
        """Free the key if the attempt holds it, and void the attempt.

        The attempt is void even if its claim has not been seen yet: a claim
        that the owner appends only after the claimant gave up finds the key
        free and must not win it.
        """
        state = self.get_or_create(item.organisation, parsed)
        if is_holder and state.standing is Standing.DONE:
            return
        if is_holder:
            state.standing = Standing.FREE
            state.attempt = ""
            state.claim = None
        self.void_attempt(state, item.attempt)

    def settle_done(self, state: KeyState, item: records.Done) -> None:
        """Store the first outcome of the attempt that holds the key."""
        if state.standing is Standing.DONE:
            return
        state.standing = Standing.DONE
        state.outcome = item.outcome
        took_ms = max(0, self.now_ms - state.claimed_ms)
        self.mean_run_ms += (took_ms - self.mean_run_ms) / RUN_TIME_SMOOTHING
        if item.outcome.body:
            self.outcome_bytes += len(item.outcome.body)
            self.names_with_body.append((item.organisation, item.key))
        self.trim_bodies()

    def trim_bodies(self) -> None:
        """Drop the oldest bodies beyond the bound; keep their status."""
        while self.outcome_bytes > MAX_OUTCOME_BYTES and self.names_with_body:
            state = self.states.get(self.names_with_body.popleft())
            if state is None or state.outcome is None:
                continue
            self.outcome_bytes -= len(state.outcome.body)
            state.outcome = records.Outcome(
                state.outcome.status, b"", False, state.outcome.answer_id
            )

    def get_or_create(self, organisation: str, key: keys.Key) -> KeyState:
        """Return a key's state; create a free one if there is none."""
        name = (organisation, key.text)
        state = self.states.get(name)
        if state is None:
            state = KeyState()
            self.states[name] = state
            heapq.heappush(self.keys_by_age, (key.time_ms, name))
        return state

    def void_attempt(self, state: KeyState, attempt: str) -> None:
        """Mark an attempt as unable to win."""
        if attempt in state.void_attempts or attempt == state.attempt:
            return
        state.void_attempts = (*state.void_attempts, attempt)
        self.void_count += 1
