"""Asks one instance for trials of prompts with suspected parts."""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam import clocks
from briarseam.forwarding import loss_counts
from briarseam.forwarding import trial_messages as messages
from briarseam.wire import replies

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.forwarding import trial_ledger

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
        Losses by part.
    ledger
        Trials that this instance knows of.
    coordinator
        Grants trials.
    clock
        Seconds.
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
        # When to ask for a part again; until then its prompts are refused.
        self.ask_again_s: dict[bytes, float] = {}

    def refusal(
        self, parts: collections.abc.Iterable[bytes]
    ) -> Refused | None:
        """Return the refusal of suspected parts if no trial can begin yet."""
        now_s = self.clock()
        due_s = max(self.ask_again_s.get(part, now_s) for part in parts)
        return None if due_s <= now_s else refused(due_s - now_s)

    def begin(
        self, lost_s: collections.abc.Mapping[bytes, float]
    ) -> Refused | None:
        """Ask for a trial.

        Parameters
        ----------
        lost_s
            When each suspected part was last lost, by the clock.

        Returns
        -------
        Refused or None
            ``None`` if a prompt with them may be sent.
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
        self.ledger.apply(told.lost_trials)
        if told.granted:
            self.postpone(lost_s.keys() - answered, MIN_RETRY_S)
            return None
        self.postpone(lost_s, min(told.wait_ms / MS, MIN_RETRY_S))
        return refused(told.wait_ms / MS)

    def message(
        self, lost_s: collections.abc.Mapping[bytes, float]
    ) -> messages.TrialAsked:
        """Return what is asked, with what is known here of the parts."""
        now_s = self.clock()
        return messages.TrialAsked(
            tuple(
                messages.PartAsked(part, max(0, round((now_s - at_s) * MS)))
                for part, at_s in lost_s.items()
            ),
            self.ledger.lost_trials(frozenset(lost_s)),
        )

    def postpone(
        self, parts: collections.abc.Iterable[bytes], wait_s: float
    ) -> None:
        """Refuse prompts with parts for a while without asking."""
        now_s = self.clock()
        self.ask_again_s = loss_counts.newer_than(self.ask_again_s, now_s)
        self.ask_again_s |= dict.fromkeys(parts, now_s + wait_s)

    def forget(self, parts: set[bytes]) -> None:
        """Ask again at once for parts that were answered."""
        for part in parts:
            self.ask_again_s.pop(part, None)
        self.ledger.forget(parts)

    def end(
        self,
        parts: collections.abc.Collection[bytes],
        end: messages.TrialEnd,
    ) -> None:
        """Tell the coordinator how a trial has ended."""
        try:
            self.coordinator.end_trial(messages.TrialEnded(tuple(parts), end))
        except replies.NoReplyError as error:
            log.info("part_trial_end_not_told", detail=str(error))


def refused(wait_s: float) -> Refused:
    """Return a refusal with a time that callers can use."""
    return Refused(min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S))
