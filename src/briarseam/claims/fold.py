"""The fold of one claim stream: who holds which key.

Every reader takes the same records in the same order to the same state,
whoever wrote them, so two writers of one stream or a writer that was frozen
and resumed cannot both make an attempt win.  Per key the states are

    free -> claimed(attempt) -> done(outcome)
      ^         |    |
      +-not_run-+    +-> lost -> done(outcome)

Each attempt is decided once: the first claim record that finds the key
free wins, and an attempt that lost or was recorded as not run never wins
later, however often or late its claim is appended again.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import heapq

from briarseam.claims import keys
from briarseam.claims import records

RUN_TIME_SMOOTHING = 8
# Bodies kept for replays, per stream; beyond it the oldest lose theirs.
MAX_OUTCOME_BYTES = 8 * 1024 * 1024


class Standing(enum.Enum):
    """Where a key stands."""

    FREE = "free"
    CLAIMED = "claimed"
    LOST = "lost"
    DONE = "done"


class ClaimDecision(enum.Enum):
    """What the fold made of one claim."""

    WON = "won"
    HELD = "held"
    REUSED = "reused"
    TOO_OLD = "too-old"
    FROM_FUTURE = "from-future"


@dataclasses.dataclass(slots=True)
class KeyState:
    """One key of one organisation.

    Attributes
    ----------
    standing
        Its state.
    attempt
        The attempt that holds or held it; empty while free.
    body_digest
        Digest of the first body seen with it; empty before any.
    claim
        The claim that holds the key; it names the holder.
    claimed_ms
        The log's time of the winning claim.
    outcome
        Once done.
    answer_id
        Of a prompt whose outcome was lost.
    void
        Attempts that can never win any more.
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

    Not safe for several threads; its shard guards it.

    Parameters
    ----------
    window
        How long keys are good for.
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
        """Take in the log's clock and forget keys that are too old.

        The clock never goes back, so a key that was forgotten is refused
        as too old ever after.  Memory is bounded by the window.
        """
        self.now_ms = max(self.now_ms, time_ms)
        while self.keys_by_age and self.is_expired(self.keys_by_age[0][0]):
            _, name = heapq.heappop(self.keys_by_age)
            self.forget(name)

    def is_expired(self, time_ms: int) -> bool:
        """Tell whether a key of that time is too old by now."""
        return self.window.age(time_ms, self.now_ms) is keys.Age.TOO_OLD

    def forget(self, name: KeyName) -> None:
        """Drop a key."""
        state = self.states.pop(name)
        self.void_count -= len(state.void_attempts)
        if state.outcome is not None:
            self.outcome_bytes -= len(state.outcome.body)

    def find(self, organisation: str, key: str) -> KeyState | None:
        """Return a key's entry; ``None`` when it was never seen."""
        return self.states.get((organisation, key))

    def size(self) -> int:
        """Return how many keys and void attempts are in memory."""
        return len(self.states) + self.void_count

    def claim(self, item: records.Claim) -> ClaimDecision:
        """Take in one claim.

        Returns
        -------
        Ruling
            ``WON`` also for a claim that repeats the winner's.
        """
        parsed = keys.parse(item.key)
        if parsed is None:
            return ClaimDecision.FROM_FUTURE
        # The log's time of this very record decides, never our clock: a
        # writer that was frozen for days appends a claim whose key other
        # readers have forgotten, and every reader refuses it alike.
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
        """Take in a claim on a key that is not free."""
        if state.attempt == attempt:
            return ClaimDecision.WON
        # An attempt that lost is over.  Without this its claim, appended
        # once more after the holder's not_run, would win for a caller who
        # was already answered, and the key would stay taken for good.
        self.void_attempt(state, attempt)
        return ClaimDecision.HELD

    def settle(self, item: records.Settlement) -> None:
        """Take in how an attempt ended; only its own key heeds it."""
        parsed = keys.parse(item.key)
        if parsed is None or self.is_expired(parsed.time_ms):
            return
        state = self.states.get((item.organisation, item.key))
        # Only the attempt that holds the key may settle it: a not_run of
        # an attempt that lost would free the key under the winner.
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
        """Free the key if the attempt holds it; the attempt is over.

        The attempt is void even when its claim was not seen yet: a claim
        that an owner appends only after its asker gave up finds the key
        free and must not take it.
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
        """Keep the first outcome of the attempt that holds the key."""
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
        """Drop the oldest bodies beyond the bound; their status stays."""
        while self.outcome_bytes > MAX_OUTCOME_BYTES and self.names_with_body:
            state = self.states.get(self.names_with_body.popleft())
            if state is None or state.outcome is None:
                continue
            self.outcome_bytes -= len(state.outcome.body)
            state.outcome = records.Outcome(
                state.outcome.status, b"", False, state.outcome.answer_id
            )

    def get_or_create(self, organisation: str, key: keys.Key) -> KeyState:
        """Return a key's entry, making a free one."""
        name = (organisation, key.text)
        state = self.states.get(name)
        if state is None:
            state = KeyState()
            self.states[name] = state
            heapq.heappush(self.keys_by_age, (key.time_ms, name))
        return state

    def void_attempt(self, state: KeyState, attempt: str) -> None:
        """Note that an attempt can never win any more."""
        if attempt in state.void_attempts or attempt == state.attempt:
            return
        state.void_attempts = (*state.void_attempts, attempt)
        self.void_count += 1
