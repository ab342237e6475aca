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

RUN_SMOOTHING = 8
# Bodies kept for replays, per stream; beyond it the oldest lose theirs.
MAX_OUTCOME_BYTES = 8 * 1024 * 1024


class Standing(enum.Enum):
    """Where a key stands."""

    FREE = "free"
    CLAIMED = "claimed"
    LOST = "lost"
    DONE = "done"


class Ruling(enum.Enum):
    """What the fold made of one claim."""

    WON = "won"
    HELD = "held"
    REUSED = "reused"
    TOO_OLD = "too-old"
    FROM_FUTURE = "from-future"


@dataclasses.dataclass(slots=True)
class Entry:
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
    void: tuple[str, ...] = ()


EntryName = tuple[str, str]


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
        self.entries: dict[EntryName, Entry] = {}
        self.by_age: list[tuple[int, EntryName]] = []
        self.attempts = 0
        self.outcome_bytes = 0
        self.with_body: collections.deque[EntryName] = collections.deque()
        self.run_ms = 0.0

    def advance(self, time_ms: int) -> None:
        """Take in the log's clock and forget keys that are too old.

        The clock never goes back, so a key that was forgotten is refused
        as too old ever after.  Memory is bounded by the window.
        """
        self.now_ms = max(self.now_ms, time_ms)
        while self.by_age and self.is_over(self.by_age[0][0]):
            _, name = heapq.heappop(self.by_age)
            self.forget(name)

    def is_over(self, time_ms: int) -> bool:
        """Tell whether a key of that time is too old by now."""
        return self.window.age(time_ms, self.now_ms) is keys.Age.TOO_OLD

    def forget(self, name: EntryName) -> None:
        """Drop a key."""
        entry = self.entries.pop(name)
        self.attempts -= len(entry.void)
        if entry.outcome is not None:
            self.outcome_bytes -= len(entry.outcome.body)

    def find(self, organisation: str, key: str) -> Entry | None:
        """Return a key's entry; ``None`` when it was never seen."""
        return self.entries.get((organisation, key))

    def size(self) -> int:
        """Return how many keys and void attempts are in memory."""
        return len(self.entries) + self.attempts

    def claim(self, item: records.Claim) -> Ruling:
        """Take in one claim.

        Returns
        -------
        Ruling
            ``WON`` also for a claim that repeats the winner's.
        """
        parsed = keys.parse(item.key)
        if parsed is None:
            return Ruling.FROM_FUTURE
        # The log's time of this very record decides, never our clock: a
        # writer that was frozen for days appends a claim whose key other
        # readers have forgotten, and every reader refuses it alike.
        match self.window.age(parsed.time_ms, self.now_ms):
            case keys.Age.TOO_OLD:
                return Ruling.TOO_OLD
            case keys.Age.FROM_FUTURE:
                return Ruling.FROM_FUTURE
        entry = self.entry_of(item.organisation, parsed)
        if entry.body_digest not in (b"", item.body_digest):
            self.make_void(entry, item.attempt)
            return Ruling.REUSED
        if entry.standing is not Standing.FREE:
            return self.claim_taken(entry, item.attempt)
        if item.attempt in entry.void:
            return Ruling.HELD
        entry.standing = Standing.CLAIMED
        entry.attempt = item.attempt
        entry.body_digest = item.body_digest
        entry.claim = item
        entry.claimed_ms = self.now_ms
        return Ruling.WON

    def claim_taken(self, entry: Entry, attempt: str) -> Ruling:
        """Take in a claim on a key that is not free."""
        if entry.attempt == attempt:
            return Ruling.WON
        # An attempt that lost is over.  Without this its claim, appended
        # once more after the holder's not_run, would win for a caller who
        # was already answered, and the key would stay taken for good.
        self.make_void(entry, attempt)
        return Ruling.HELD

    def settle(self, item: records.Settlement) -> None:
        """Take in how an attempt ended; only its own key heeds it."""
        parsed = keys.parse(item.key)
        if parsed is None or self.is_over(parsed.time_ms):
            return
        entry = self.entries.get((item.organisation, item.key))
        # Only the attempt that holds the key may settle it: a not_run of
        # an attempt that lost would free the key under the winner.
        holds = entry is not None and entry.attempt == item.attempt
        match item:
            case records.NotRun():
                self.settle_not_run(item, parsed, holds)
            case records.Done() if holds and entry is not None:
                self.settle_done(entry, item)
            case records.Lost() if holds and entry is not None:
                if entry.standing is Standing.CLAIMED:
                    entry.standing = Standing.LOST
                    entry.answer_id = item.answer_id

    def settle_not_run(
        self, item: records.NotRun, parsed: keys.Key, holds: bool
    ) -> None:
        """Free the key if the attempt holds it; the attempt is over.

        The attempt is void even when its claim was not seen yet: a claim
        that an owner appends only after its asker gave up finds the key
        free and must not take it.
        """
        entry = self.entry_of(item.organisation, parsed)
        if holds and entry.standing is Standing.DONE:
            return
        if holds:
            entry.standing = Standing.FREE
            entry.attempt = ""
            entry.claim = None
        self.make_void(entry, item.attempt)

    def settle_done(self, entry: Entry, item: records.Done) -> None:
        """Keep the first outcome of the attempt that holds the key."""
        if entry.standing is Standing.DONE:
            return
        entry.standing = Standing.DONE
        entry.outcome = item.outcome
        took_ms = max(0, self.now_ms - entry.claimed_ms)
        self.run_ms += (took_ms - self.run_ms) / RUN_SMOOTHING
        if item.outcome.body:
            self.outcome_bytes += len(item.outcome.body)
            self.with_body.append((item.organisation, item.key))
        self.trim_bodies()

    def trim_bodies(self) -> None:
        """Drop the oldest bodies beyond the bound; their status stays."""
        while self.outcome_bytes > MAX_OUTCOME_BYTES and self.with_body:
            entry = self.entries.get(self.with_body.popleft())
            if entry is None or entry.outcome is None:
                continue
            self.outcome_bytes -= len(entry.outcome.body)
            entry.outcome = records.Outcome(
                entry.outcome.status, b"", False, entry.outcome.answer_id
            )

    def entry_of(self, organisation: str, key: keys.Key) -> Entry:
        """Return a key's entry, making a free one."""
        name = (organisation, key.text)
        entry = self.entries.get(name)
        if entry is None:
            entry = Entry()
            self.entries[name] = entry
            heapq.heappush(self.by_age, (key.time_ms, name))
        return entry

    def make_void(self, entry: Entry, attempt: str) -> None:
        """Note that an attempt can never win any more."""
        if attempt in entry.void or attempt == entry.attempt:
            return
        entry.void = (*entry.void, attempt)
        self.attempts += 1
