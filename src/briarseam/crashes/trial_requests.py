"""Asks one instance for trials of requests that may crash endpoints."""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam import clocks
from briarseam.crashes import loss_counts
from briarseam.crashes import loss_times
from briarseam.crashes import trial_messages as messages
from briarseam.wire import replies

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.crashes import trial_ledger

# Callers are asked to come back so soon while a trial is under way.
MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


class Coordinator(typing.Protocol):
    """The instance that grants trials."""

    def ask_trial(self, message: messages.TrialAsked) -> messages.TrialTold:
        """Ask for a trial; raises ``NoReplyError``."""

    def end_trial(self, message: messages.TrialEnded) -> None:
        """Tell how a trial has ended; raises ``NoReplyError``."""


@dataclasses.dataclass(frozen=True)
class Granted:
    """A request may be sent.

    Attributes
    ----------
    id
        The trial; empty if there is none.
    keys
        Keys of the suspects that the request tries.
    """

    id: bytes = b""
    keys: frozenset[bytes] = frozenset()


@dataclasses.dataclass(frozen=True)
class Refused:
    """No trial may begin now.

    Attributes
    ----------
    retry_after_s
        When one may, in seconds.
    """

    retry_after_s: float


class TrialRequests:
    """Asks the coordinator for trials; thread-safe.

    Parameters
    ----------
    losses
        Losses by key.
    ledger
        Trials that this instance knows of.
    coordinator
        Grants trials.
    clock
        Seconds.

    Attributes
    ----------
    record
        Records at the store what is known; returns whether that succeeded.
    on_change
        Called after a trial was granted or has ended.
    """

    def __init__(
        self,
        losses: loss_counts.LossCounts,
        ledger: trial_ledger.TrialLedger,
        coordinator: Coordinator,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.losses = losses
        self.ledger = ledger
        self.coordinator = coordinator
        self.clock = clock
        self.record: typing.Callable[[], bool] = is_always_recorded
        self.on_change: typing.Callable[[], None] = ignore
        # When to ask for a key again; until then its requests are refused.
        self.ask_again_s: dict[bytes, float] = {}

    def refusal(self, keys: collections.abc.Iterable[bytes]) -> Refused | None:
        """Return the refusal of suspects if no trial can begin yet."""
        now_s = self.clock()
        due_s = max(self.ask_again_s.get(key, now_s) for key in keys)
        return None if due_s <= now_s else refused(due_s - now_s)

    def begin(
        self, lost_s: collections.abc.Mapping[bytes, float]
    ) -> Granted | Refused:
        """Ask for a trial.

        Parameters
        ----------
        lost_s
            When each suspect was last lost, by the clock.
        """
        known = self.refusal(lost_s)
        if known is not None:
            return known
        try:
            told = self.coordinator.ask_trial(self.message(lost_s))
        except replies.NoReplyError as error:
            log.info("part_trial_unanswered", detail=str(error))
            self.postpone(lost_s, MIN_RETRY_S)
            return refused(MIN_RETRY_S)
        answered = set(told.answered)
        if answered:
            self.losses.add_answers(answered, self.clock())
            self.forget(answered)
        self.ledger.apply(told.trials)
        tried = frozenset(lost_s.keys() - answered)
        if not told.granted:
            self.postpone(lost_s, min(told.wait_ms / MS, MIN_RETRY_S))
            return refused(told.wait_ms / MS)
        if not tried:
            return Granted()
        self.postpone(tried, MIN_RETRY_S)
        return self.confirm(told.trials[-1])

    def confirm(self, row: messages.TrialRow) -> Granted | Refused:
        """Return a granted trial once it can't be forgotten.

        An endpoint was lost in a trial before, so that this one is recorded
        before it begins: all instances may end together with the endpoint.
        """
        granted = Granted(row.id, frozenset(row.keys))
        has_tried = self.ledger.has_tried(row.keys)
        self.ledger.restore((row,), ())
        if has_tried and not self.record():
            self.end(granted, messages.TrialEnd.UNUSED)
            return refused(MIN_RETRY_S)
        self.on_change()
        return granted

    def message(
        self, lost_s: collections.abc.Mapping[bytes, float]
    ) -> messages.TrialAsked:
        """Return what is asked, with what is known here of the suspects."""
        now_s = self.clock()
        return messages.TrialAsked(
            tuple(
                messages.SuspectAsked(
                    key,
                    max(0, round((now_s - at_s) * MS)),
                    self.losses.is_answered(key),
                )
                for key, at_s in lost_s.items()
            ),
            self.ledger.rows(frozenset(lost_s)),
        )

    def postpone(
        self, keys: collections.abc.Iterable[bytes], wait_s: float
    ) -> None:
        """Refuse requests with suspects for a while without asking."""
        now_s = self.clock()
        self.ask_again_s = loss_times.newer_than(self.ask_again_s, now_s)
        self.ask_again_s |= dict.fromkeys(keys, now_s + wait_s)

    def forget(self, keys: set[bytes]) -> None:
        """Ask again at once for suspects that were answered."""
        for key in keys:
            self.ask_again_s.pop(key, None)
        self.ledger.forget(keys)

    def end(
        self,
        trial: Granted,
        end: messages.TrialEnd,
        keys: frozenset[bytes] | None = None,
    ) -> None:
        """Record how a trial has ended, and tell the coordinator.

        Parameters
        ----------
        trial
            The trial.
        end
            How it has ended.
        keys
            The suspects that this tells of; all of the trial if ``None``.
        """
        told = trial.keys if keys is None else keys
        message = messages.TrialEnded(trial.id, tuple(sorted(told)), end)
        self.ledger.end(message)
        self.on_change()
        try:
            self.coordinator.end_trial(message)
        except replies.NoReplyError as error:
            log.info("part_trial_end_not_told", detail=str(error))


def refused(wait_s: float) -> Refused:
    """Return a refusal with a time that callers can use."""
    return Refused(min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S))


def is_always_recorded() -> bool:
    """Return that nothing is to be recorded; the default of ``record``."""
    return True


def ignore() -> None:
    """Do nothing; the default of ``on_change``."""
