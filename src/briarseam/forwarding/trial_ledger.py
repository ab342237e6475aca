"""Trials of prompts with parts that are suspected of crashing endpoints.

A part is suspected as well if all endpoints end at once for another reason,
and no answer could clear it if its prompts were all refused.  One prompt at a
time is sent as a trial, which one instance grants for all others: several
instances that each tried one would crash as many endpoints.
"""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam.forwarding import trial_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.forwarding import loss_counts

# How long after a part's last loss, and after its last trial, the next one
# may begin, by the number of trials before it.  Innocent parts need one.
# Endpoints that ended all at once are back seconds later, so that the first
# wait delays no caller.
WAITS_S = (1.0, 6.0, 60.0, 600.0)
# A trial whose end is not told by then is lost.
OPEN_S = 5.0
# After this time without a trial, the number of trials is forgotten.
TRIALS_TTL_S = 900.0
MAX_PUBLISHED = 100
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


@dataclasses.dataclass
class Trials:
    """Trials of prompts with the same suspected parts.

    Attributes
    ----------
    lost
        Number of trials that were lost.
    last_s
        When the last one was granted, or heard of.
    is_open
        Whether the end of the last one is not known yet.
    """

    lost: int
    last_s: float
    is_open: bool = False


class TrialLedger:
    """Grants trials for all instances; thread-safe.

    Each instance has one, since any may become the coordinator.

    Parameters
    ----------
    losses
        Losses by part, as known here.
    clock
        Seconds.

    Attributes
    ----------
    trials
        By the suspected parts of the prompts that were tried.
    """

    def __init__(
        self,
        losses: loss_counts.LossCounts,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.losses = losses
        self.clock = clock
        self.trials: dict[frozenset[bytes], Trials] = {}
        self.lock = threading.Lock()

    def answer(self, message: messages.TrialAsked) -> messages.TrialTold:
        """Grant or refuse a trial of a prompt with some suspected parts."""
        now_s = self.clock()
        lost_s = {
            asked.part: max(
                now_s - asked.lost_ms / MS,
                self.losses.last_lost_s(asked.part),
            )
            for asked in message.parts
        }
        answered = {part for part in lost_s if self.is_cleared(part, lost_s)}
        tried = frozenset(lost_s.keys() - answered)
        due_s = now_s
        with self.lock:
            self.merge(message.lost_trials)
            if tried:
                last_lost_s = max(lost_s[part] for part in tried)
                due_s = self.due_s(tried, last_lost_s)
            granted = due_s <= now_s
            if granted and tried:
                trials = self.trials.setdefault(tried, Trials(0, now_s))
                trials.last_s = now_s
                trials.is_open = True
        lost_trials = self.lost_trials(tried)
        if granted and tried:
            log.info(
                "part_trial_granted",
                parts=sorted(part.hex() for part in tried),
                lost_trials=sum(one.count for one in lost_trials),
            )
        wait_ms = max(0, round((due_s - now_s) * MS))
        return messages.TrialTold(
            granted, wait_ms, tuple(answered), lost_trials
        )

    def is_cleared(
        self, part: bytes, lost_s: collections.abc.Mapping[bytes, float]
    ) -> bool:
        """Return whether a part was answered since it was last lost."""
        answered_s = self.losses.answered_s.get(part, lost_s[part])
        return answered_s > lost_s[part]

    def due_s(self, tried: frozenset[bytes], lost_s: float) -> float:
        """Return when the next trial may begin, by the clock.

        Parameters
        ----------
        tried
            The suspected parts of the prompt.
        lost_s
            When one of them was last lost.
        """
        self.close_expired()
        relevant = [
            (parts, trials)
            for parts, trials in self.trials.items()
            if parts & tried
        ]
        if any(trials.is_open for _parts, trials in relevant):
            return self.clock() + WAITS_S[0]
        is_first = not any(
            trials.lost for parts, trials in relevant if parts <= tried
        )
        # A lost trial of more parts leaves open which of them is the cause:
        # each smaller choice is tried once as if there had been none.
        counted = [
            trials
            for parts, trials in relevant
            if not (is_first and parts > tried)
        ]
        lost = sum(trials.lost for trials in counted)
        last_s = max((trials.last_s for trials in counted), default=lost_s)
        return max(lost_s, last_s) + WAITS_S[min(lost, len(WAITS_S) - 1)]

    def close_expired(self) -> None:
        """Count trials as lost whose end has not been told in time."""
        oldest_s = self.clock() - OPEN_S
        for trials in self.trials.values():
            if trials.is_open and trials.last_s <= oldest_s:
                trials.is_open = False
                trials.lost += 1

    def lost_trials(
        self, tried: frozenset[bytes]
    ) -> tuple[messages.LostTrials, ...]:
        """Return the lost trials that have any of some parts."""
        with self.lock:
            return tuple(
                messages.LostTrials(tuple(sorted(parts)), trials.lost)
                for parts, trials in self.trials.items()
                if parts & tried and trials.lost
            )

    def apply(
        self, lost_trials: collections.abc.Iterable[messages.LostTrials]
    ) -> None:
        """Apply lost trials that another instance knows."""
        with self.lock:
            self.merge(lost_trials)

    def merge(
        self, lost_trials: collections.abc.Iterable[messages.LostTrials]
    ) -> None:
        """Apply lost trials, without parts that have been answered since."""
        for row in lost_trials:
            parts = frozenset(
                part for part in row.parts if self.losses.endpoints_of(part)
            )
            if parts:
                trials = self.trials.setdefault(parts, Trials(0, self.clock()))
                trials.lost = max(trials.lost, row.count)

    def end(self, message: messages.TrialEnded) -> messages.TrialEndNoted:
        """Apply how a trial has ended."""
        with self.lock:
            trials = self.trials.get(frozenset(message.parts))
            if trials is not None and trials.is_open:
                trials.is_open = False
                trials.lost += message.end is messages.TrialEnd.LOST
        if message.end is messages.TrialEnd.ANSWERED:
            self.losses.add_answers(message.parts, self.clock())
            self.forget(set(message.parts))
        return messages.TrialEndNoted()

    def forget(self, parts: set[bytes]) -> None:
        """Forget parts that were answered: others have lost their trials."""
        with self.lock:
            before, self.trials = self.trials, {}
            for tried, trials in before.items():
                rest = tried - parts
                known = self.trials.get(rest, trials)
                if rest and known.lost <= trials.lost:
                    self.trials[rest] = trials

    def forget_expired(self) -> None:
        """Forget trials that were long ago."""
        oldest_s = self.clock() - TRIALS_TTL_S
        with self.lock:
            self.trials = {
                parts: trials
                for parts, trials in self.trials.items()
                if trials.last_s > oldest_s
            }

    def provide(self) -> bytes:
        """Return the lost trials, encoded for peers.

        An instance that becomes the coordinator must not begin anew.
        """
        with self.lock:
            self.close_expired()
            rows = [
                messages.LostTrials(tuple(sorted(parts)), trials.lost)
                for parts, trials in self.trials.items()
                if trials.lost
            ]
        return msgspec.msgpack.encode(rows[-MAX_PUBLISHED:])

    def consume(self, member: str, data: bytes) -> None:
        """Apply the lost trials that a peer knows."""
        del member
        self.apply(
            msgspec.msgpack.decode(data, type=list[messages.LostTrials])
        )
