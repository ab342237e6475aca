"""Which prompts crash endpoints: suspicions, trials and condemnations.

When an endpoint dies, each prompt that it was running is suspect.  A
suspect is tried once more, alone among suspects; a second endpoint lost
condemns it.  What is known is a set of items that only grows, so it can be
taken in any order, twice, from the log and from peers.
"""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam.admission import evidence

ENDPOINTS_LOST = 2
LASTS_MS = 3_600_000
TRIAL_BOUND_MS = 120_000
# Half of the term and the bound again, so that an item told late is not
# taken for a new one after it was forgotten.
FORGET_MS = LASTS_MS * 2


@dataclasses.dataclass(frozen=True)
class Clear:
    """Nothing speaks against the prompt."""


@dataclasses.dataclass(frozen=True)
class Suspect:
    """One endpoint died with the prompt.

    Attributes
    ----------
    groups
        The losses that count.
    """

    groups: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Condemned:
    """As many endpoints as may be lost died with the prompt.

    Attributes
    ----------
    losses
        What died.
    expires_at_ms
        When it ends by itself.
    """

    losses: tuple[evidence.EndpointLost, ...]
    expires_at_ms: int


Standing = Clear | Suspect | Condemned


class EvidenceSet:
    """All that is known; thread-safe.

    Parameters
    ----------
    now_ms
        The log's clock, in ms since the epoch.
    """

    def __init__(self, now_ms: typing.Callable[[], int]) -> None:
        self.now_ms = now_ms
        self.lock = threading.Lock()
        self.losses: dict[str, dict[str, evidence.EndpointLost]] = {}
        self.cleared: dict[str, evidence.Cleared] = {}
        self.trials: dict[str, evidence.Trial] = {}
        self.passed: dict[str, evidence.TrialPassed] = {}
        self.ended: dict[str, evidence.TrialEnded] = {}
        self.orders: dict[str, tuple[int, int]] = {}

    def merge(self, item: evidence.Item) -> bool:
        """Take an item in; tell whether it was new."""
        with self.lock:
            match item:
                case evidence.EndpointLost():
                    return self.merge_loss(item)
                case evidence.Trial():
                    return put(self.trials, item.group, item)
                case evidence.TrialPassed():
                    return put(self.passed, item.group, item)
                case evidence.TrialEnded():
                    return put(self.ended, item.group, item)
                case evidence.Cleared():
                    fresh = [
                        put(self.cleared, group, item) for group in item.groups
                    ]
                    return any(fresh)

    def merge_loss(self, item: evidence.EndpointLost) -> bool:
        """Take a loss in; it ends its group's trial."""
        losses = self.losses.setdefault(item.fingerprint, {})
        put(
            self.ended,
            item.group,
            evidence.TrialEnded(item.group, item.time_ms),
        )
        return put(losses, item.group, item)

    def standing(self, fingerprint: str) -> Standing:
        """Return how a prompt stands."""
        with self.lock:
            losses = self.counting(fingerprint)
        if len(losses) >= ENDPOINTS_LOST:
            return Condemned(tuple(losses), self.expires_at_ms(losses))
        if losses:
            return Suspect(tuple(loss.group for loss in losses))
        return Clear()

    def of_prompt(self, fingerprint: str) -> list[evidence.Item]:
        """Return what is known of a prompt's losses."""
        with self.lock:
            losses = self.losses.get(fingerprint, {})
            items: list[evidence.Item] = list(losses.values())
            found = [self.cleared.get(group) for group in losses]
        items += dict.fromkeys(item for item in found if item is not None)
        return items

    def counting(self, fingerprint: str) -> list[evidence.EndpointLost]:
        """Return a prompt's losses that count; call it under ``lock``."""
        losses = [
            loss
            for group, loss in self.losses.get(fingerprint, {}).items()
            if group not in self.cleared and not self.is_excused(loss)
        ]
        if losses and self.now_ms() >= self.expires_at_ms(losses):
            return []
        return losses

    def is_excused(self, loss: evidence.EndpointLost) -> bool:
        """Tell whether another suspect's trial took the endpoint down.

        An innocent prompt that got past the point where its first endpoint
        died shares the second one with the next suspect's trial.  If that
        is the guilty one, both lose the endpoint; counted for both, the
        innocent is refused for the whole term.  The one whose trial had
        not passed yet is the likelier cause.  Call it under ``lock``.
        """
        mine = self.trials.get(loss.group)
        if mine is None or loss.group not in self.passed:
            return False
        return any(
            other.endpoint == mine.endpoint
            and other.boot_id == mine.boot_id
            and other.fingerprint != mine.fingerprint
            and group not in self.passed
            and self.may_be_lost(other)
            for group, other in self.trials.items()
        )

    def may_be_lost(self, trial: evidence.Trial) -> bool:
        """Tell whether a trial was lost, or nobody told its end yet.

        The losses of one endpoint are told one by one.
        """
        lost = self.losses.get(trial.fingerprint, {})
        return trial.group in lost or trial.group not in self.ended

    def expires_at_ms(
        self, losses: typing.Sequence[evidence.EndpointLost]
    ) -> int:
        """Return when losses cease to count: a term after the last."""
        return max(loss.time_ms for loss in losses) + LASTS_MS

    def condemned(self) -> dict[str, Condemned]:
        """Return all condemned prompts."""
        found = {
            fingerprint: self.standing(fingerprint)
            for fingerprint in list(self.losses)
        }
        return {
            fingerprint: standing
            for fingerprint, standing in found.items()
            if isinstance(standing, Condemned)
        }

    def running_trials(self) -> list[evidence.Trial]:
        """Return the trials that are under way."""
        oldest = self.now_ms() - TRIAL_BOUND_MS
        with self.lock:
            return [
                trial
                for group, trial in self.trials.items()
                if group not in self.ended and trial.time_ms >= oldest
            ]

    def guarded_endpoints(self) -> set[str]:
        """Return the endpoints whose trial may still take them down."""
        return {
            trial.endpoint
            for trial in self.running_trials()
            if trial.group not in self.passed
        }

    def tried_endpoints(self) -> set[str]:
        """Return the endpoints with a trial, also one that has passed."""
        return {trial.endpoint for trial in self.running_trials()}

    def note_order(self, item: evidence.Item, order: tuple[int, int]) -> None:
        """Take in where in the log a trial stands first."""
        if isinstance(item, evidence.Trial):
            with self.lock:
                self.orders.setdefault(item.group, order)

    def is_ordered(self, group: str) -> bool:
        """Tell whether a trial was read back from the log."""
        return group in self.orders

    def comes_first(self, trial: evidence.Trial) -> bool:
        """Tell whether no trial before this one in the log bars it.

        Two agents may both think that they keep the trials; the log tells
        whose trial is the one.
        """
        mine = self.orders.get(trial.group)
        if mine is None:
            return True
        for other in self.running_trials():
            order = self.orders.get(other.group)
            if order is None or order >= mine:
                continue
            if other.fingerprint == trial.fingerprint:
                return False
            guarded = other.group not in self.passed
            if guarded and other.endpoint == trial.endpoint:
                return False
        return True

    def recent(self, since_ms: int, limit: int) -> list[evidence.Item]:
        """Return the newest items after a time, at most ``limit``."""
        with self.lock:
            items: list[evidence.Item] = [
                loss
                for losses in self.losses.values()
                for loss in losses.values()
            ]
            items += [*self.trials.values(), *self.passed.values()]
            items += self.ended.values()
            items += list(dict.fromkeys(self.cleared.values()))
        newest = [item for item in items if item.time_ms >= since_ms]
        newest.sort(key=lambda item: item.time_ms)
        return newest[-limit:]

    def forget_old(self) -> None:
        """Drop what can't count any more."""
        oldest = self.now_ms() - FORGET_MS
        with self.lock:
            for fingerprint, losses in list(self.losses.items()):
                drop_old(losses, oldest)
                if not losses:
                    del self.losses[fingerprint]
            drop_old(self.cleared, oldest)
            drop_old(self.trials, oldest)
            for group in set(self.orders) - set(self.trials):
                del self.orders[group]
            drop_old(self.passed, oldest)
            drop_old(self.ended, oldest)


Kept = typing.TypeVar(
    "Kept",
    evidence.EndpointLost,
    evidence.Trial,
    evidence.TrialPassed,
    evidence.TrialEnded,
    evidence.Cleared,
)


def put(items: dict[str, Kept], name: str, item: Kept) -> bool:
    """Add an item unless it is known; tell whether it was new."""
    if name in items:
        return False
    items[name] = item
    return True


def drop_old(items: dict[str, Kept], oldest_ms: int) -> None:
    """Drop items from before a time."""
    for name in [
        name for name, item in items.items() if item.time_ms < oldest_ms
    ]:
        del items[name]
