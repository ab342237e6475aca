"""Which prompts crash endpoints: suspects, trials and condemnations.

When an endpoint dies, each prompt that it was running becomes a suspect.  A
suspect gets one trial: a run at an endpoint where no other suspect is tried.
If that endpoint dies too, the prompt is condemned.  The evidence is a set of
items that only grows, so items may be merged in any order, more than once,
from the log and from peers.
"""

from __future__ import annotations

import dataclasses
import threading
import typing

from briarseam.admission import evidence

CONDEMNING_LOSSES = 2
CONDEMNATION_TTL_MS = 3_600_000
TRIAL_TIMEOUT_MS = 120_000
# Longer than a condemnation and a trial together, so that an item that
# arrives late is not merged as new after it was forgotten.
RETENTION_MS = CONDEMNATION_TTL_MS * 2


@dataclasses.dataclass(frozen=True)
class Clear:
    """No loss counts against the prompt."""


@dataclasses.dataclass(frozen=True)
class Suspect:
    """One endpoint died while it ran the prompt.

    Attributes
    ----------
    groups
        The losses that count, named by their groups.
    """

    groups: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Condemned:
    """``CONDEMNING_LOSSES`` endpoints died while they ran the prompt.

    Attributes
    ----------
    losses
        The losses that count.
    expires_at_ms
        When the condemnation expires, in ms since the epoch.
    """

    losses: tuple[evidence.EndpointLost, ...]
    expires_at_ms: int


Standing = Clear | Suspect | Condemned


class EvidenceSet:
    """All evidence that this process has; thread-safe.

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
        self.log_positions: dict[str, tuple[int, int]] = {}

    def merge(self, item: evidence.Item) -> bool:
        """Add an item and return whether it is new."""
        with self.lock:
            match item:
                case evidence.EndpointLost():
                    return self.merge_loss(item)
                case evidence.Trial():
                    return add_new(self.trials, item.group, item)
                case evidence.TrialPassed():
                    return add_new(self.passed, item.group, item)
                case evidence.TrialEnded():
                    return add_new(self.ended, item.group, item)
                case evidence.Cleared():
                    added = [
                        add_new(self.cleared, group, item)
                        for group in item.groups
                    ]
                    return any(added)

    def merge_loss(self, item: evidence.EndpointLost) -> bool:
        """Add a loss, which also ends its group's trial."""
        losses = self.losses.setdefault(item.fingerprint, {})
        add_new(
            self.ended,
            item.group,
            evidence.TrialEnded(item.group, item.time_ms),
        )
        return add_new(losses, item.group, item)

    def standing(self, fingerprint: str) -> Standing:
        """Return a prompt's standing."""
        with self.lock:
            losses = self.counted_losses(fingerprint)
        if len(losses) >= CONDEMNING_LOSSES:
            return Condemned(tuple(losses), self.expires_at_ms(losses))
        if losses:
            return Suspect(tuple(loss.group for loss in losses))
        return Clear()

    def items_of(self, fingerprint: str) -> list[evidence.Item]:
        """Return a prompt's losses and the items that clear them."""
        with self.lock:
            losses = self.losses.get(fingerprint, {})
            items: list[evidence.Item] = list(losses.values())
            cleared = [self.cleared.get(group) for group in losses]
        items += dict.fromkeys(item for item in cleared if item is not None)
        return items

    def counted_losses(self, fingerprint: str) -> list[evidence.EndpointLost]:
        """Return a prompt's losses that count; call it under ``lock``."""
        losses = [
            loss
            for group, loss in self.losses.get(fingerprint, {}).items()
            if group not in self.cleared and not self.has_likelier_cause(loss)
        ]
        if losses and self.now_ms() >= self.expires_at_ms(losses):
            return []
        return losses

    def has_likelier_cause(self, loss: evidence.EndpointLost) -> bool:
        """Return whether another prompt's trial more likely caused a loss.

        A harmless suspect whose trial got past the point where its first
        endpoint died may share the second endpoint with the next suspect's
        trial.  If that one crashes the endpoint, both prompts lose it.  If
        the loss counted for both, the harmless prompt would be refused for
        as long as a condemnation lasts.  The prompt whose trial had not
        passed yet is the likelier cause.  Call it under ``lock``.
        """
        own = self.trials.get(loss.group)
        if own is None or loss.group not in self.passed:
            return False
        return any(
            other.endpoint == own.endpoint
            and other.boot_id == own.boot_id
            and other.fingerprint != own.fingerprint
            and group not in self.passed
            and self.may_have_been_lost(other)
            for group, other in self.trials.items()
        )

    def may_have_been_lost(self, trial: evidence.Trial) -> bool:
        """Return whether a trial was lost or its end is not known yet.

        The losses of one endpoint are reported one by one.
        """
        lost = self.losses.get(trial.fingerprint, {})
        return trial.group in lost or trial.group not in self.ended

    def expires_at_ms(
        self, losses: typing.Sequence[evidence.EndpointLost]
    ) -> int:
        """Return when losses cease to count, by the time of the last one."""
        return max(loss.time_ms for loss in losses) + CONDEMNATION_TTL_MS

    def condemned(self) -> dict[str, Condemned]:
        """Return all condemned prompts by fingerprint."""
        standings = {
            fingerprint: self.standing(fingerprint)
            for fingerprint in list(self.losses)
        }
        return {
            fingerprint: standing
            for fingerprint, standing in standings.items()
            if isinstance(standing, Condemned)
        }

    def running_trials(self) -> list[evidence.Trial]:
        """Return the trials that have neither ended nor timed out."""
        oldest = self.now_ms() - TRIAL_TIMEOUT_MS
        with self.lock:
            return [
                trial
                for group, trial in self.trials.items()
                if group not in self.ended and trial.time_ms >= oldest
            ]

    def exclusive_endpoints(self) -> set[str]:
        """Return the endpoints whose running trial has not passed yet.

        No other trial may start at these.
        """
        return {
            trial.endpoint
            for trial in self.running_trials()
            if trial.group not in self.passed
        }

    def trial_endpoints(self) -> set[str]:
        """Return the endpoints with a running trial, passed or not."""
        return {trial.endpoint for trial in self.running_trials()}

    def record_position(
        self, item: evidence.Item, position: tuple[int, int]
    ) -> None:
        """Record the position in the log where a trial appears first."""
        if isinstance(item, evidence.Trial):
            with self.lock:
                self.log_positions.setdefault(item.group, position)

    def is_in_log(self, group: str) -> bool:
        """Return whether a trial was read back from the log."""
        return group in self.log_positions

    def has_precedence(self, trial: evidence.Trial) -> bool:
        """Return whether no earlier trial in the log excludes this one.

        Two agents may both act as the trial coordinator; the order of the
        log decides between their trials.
        """
        own = self.log_positions.get(trial.group)
        if own is None:
            return True
        for other in self.running_trials():
            position = self.log_positions.get(other.group)
            if position is None or position >= own:
                continue
            if other.fingerprint == trial.fingerprint:
                return False
            exclusive = other.group not in self.passed
            if exclusive and other.endpoint == trial.endpoint:
                return False
        return True

    def recent_items(self, since_ms: int, limit: int) -> list[evidence.Item]:
        """Return the newest items from a time on, at most ``limit``."""
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

    def forget_expired(self) -> None:
        """Forget items that are too old to count."""
        oldest = self.now_ms() - RETENTION_MS
        with self.lock:
            for fingerprint, losses in list(self.losses.items()):
                forget_older(losses, oldest)
                if not losses:
                    del self.losses[fingerprint]
            forget_older(self.cleared, oldest)
            forget_older(self.trials, oldest)
            for group in set(self.log_positions) - set(self.trials):
                del self.log_positions[group]
            forget_older(self.passed, oldest)
            forget_older(self.ended, oldest)


ItemT = typing.TypeVar(
    "ItemT",
    evidence.EndpointLost,
    evidence.Trial,
    evidence.TrialPassed,
    evidence.TrialEnded,
    evidence.Cleared,
)


def add_new(items: dict[str, ItemT], name: str, item: ItemT) -> bool:
    """Add an item unless its name is known; return whether it was added."""
    if name in items:
        return False
    items[name] = item
    return True


def forget_older(items: dict[str, ItemT], oldest_ms: int) -> None:
    """Forget items from before a time."""
    for name in [
        name for name, item in items.items() if item.time_ms < oldest_ms
    ]:
        del items[name]
