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

import msgpack
import msgspec
import structlog

from briarseam import clocks
from briarseam.forwarding import part_trial_messages as messages

if typing.TYPE_CHECKING:
    from briarseam.forwarding import part_losses

# How long after a part's last loss, and after its last trial, the next one
# may begin, by the number of trials before it.  Innocent parts need one.
# Endpoints that ended all at once are back seconds later, so that the first
# wait delays no caller.
WAITS_S = (1.0, 6.0, 60.0, 600.0)
# A trial whose end is not told by then is lost.  Less than the wait after it,
# so that there is never more than one.
OPEN_S = 5.0
# After this time without a trial, the number of trials is forgotten.
TRIALS_TTL_S = 900.0
MAX_PUBLISHED = 100
MS = 1000
log = structlog.get_logger("briarseam.forwarding")


@dataclasses.dataclass
class Trials:
    """Trials of one part.

    Attributes
    ----------
    lost
        Number of trials that were not answered, without the open one.
    last_s
        When the last one was granted, or heard of.
    is_open
        Whether the last one may still be answered, or turn out to have
        reached no endpoint.
    """

    lost: int
    last_s: float
    is_open: bool = False

    def close_expired(self, now_s: float) -> None:
        """Count an open trial as lost after a while."""
        if self.is_open and now_s - self.last_s >= OPEN_S:
            self.is_open = False
            self.lost += 1

    @property
    def wait_s(self) -> float:
        """How long after the last trial or loss the next one may begin."""
        return WAITS_S[min(self.lost + self.is_open, len(WAITS_S) - 1)]


class TrialLedger:
    """Grants trials for all instances; thread-safe.

    Each instance has one, since any may become the coordinator.

    Parameters
    ----------
    losses
        Losses by part, as known here.
    clock
        Seconds.
    """

    def __init__(
        self,
        losses: part_losses.PartLosses,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.losses = losses
        self.clock = clock
        self.trials: dict[bytes, Trials] = {}
        self.lock = threading.Lock()

    def answer(self, message: messages.TrialAsked) -> messages.TrialTold:
        """Grant or refuse a trial of a prompt with some suspected parts."""
        now_s = self.clock()
        with self.lock:
            for asked in message.parts:
                self.merge(asked.part, asked.trials)
            answered = tuple(
                one.part for one in message.parts if self.is_cleared(one)
            )
            open_parts = [
                one for one in message.parts if one.part not in answered
            ]
            due_s = max((self.due_s(one) for one in open_parts), default=now_s)
            granted = due_s <= now_s
            if granted:
                for asked in open_parts:
                    self.open_trial(asked.part)
            counts = tuple(
                (one.part, self.trials[one.part].lost)
                for one in open_parts
                if one.part in self.trials
            )
        if granted and open_parts:
            log.info(
                "part_trial_granted",
                parts=[one.part.hex() for one in open_parts],
                lost_trials=[count for _part, count in counts],
            )
        wait_ms = max(0, round((due_s - now_s) * MS))
        return messages.TrialTold(granted, wait_ms, answered, counts)

    def is_cleared(self, asked: messages.PartAsked) -> bool:
        """Return whether a part was answered since the asker last lost it."""
        lost_s = max(
            self.clock() - asked.lost_ms / MS,
            self.losses.last_lost_s(asked.part),
        )
        return self.losses.answered_s.get(asked.part, lost_s) > lost_s

    def due_s(self, asked: messages.PartAsked) -> float:
        """Return when the next trial of a part may begin, by the clock."""
        lost_s = max(
            self.clock() - asked.lost_ms / MS,
            self.losses.last_lost_s(asked.part),
        )
        trials = self.trials.get(asked.part)
        if trials is None:
            return lost_s + WAITS_S[0]
        trials.close_expired(self.clock())
        return max(lost_s, trials.last_s) + trials.wait_s

    def open_trial(self, part: bytes) -> None:
        """Record a trial that begins now."""
        trials = self.trials.setdefault(part, Trials(0, self.clock()))
        trials.last_s = self.clock()
        trials.is_open = True

    def count_of(self, part: bytes) -> int:
        """Return the number of lost trials of a part that are known here."""
        trials = self.trials.get(part)
        return 0 if trials is None else trials.lost

    def merge(self, part: bytes, lost: int) -> None:
        """Apply a number of lost trials that another instance knows."""
        if lost > self.count_of(part):
            trials = self.trials.setdefault(part, Trials(0, self.clock()))
            trials.lost = lost

    def end(self, message: messages.TrialEnded) -> messages.TrialEndNoted:
        """Apply how a trial has ended."""
        if message.answered:
            self.losses.add_answers(message.parts, self.clock())
            self.forget(set(message.parts))
            return messages.TrialEndNoted()
        with self.lock:
            for part in message.parts:
                trials = self.trials.get(part)
                if trials is not None and trials.is_open:
                    trials.is_open = False
        return messages.TrialEndNoted()

    def forget(self, parts: set[bytes]) -> None:
        """Forget the trials of parts that were answered."""
        with self.lock:
            for part in parts:
                self.trials.pop(part, None)

    def forget_expired(self) -> None:
        """Forget trials of parts that were tried long ago."""
        oldest_s = self.clock() - TRIALS_TTL_S
        with self.lock:
            self.trials = {
                part: trials
                for part, trials in self.trials.items()
                if trials.last_s > oldest_s
            }

    def provide(self) -> bytes:
        """Return the number of lost trials by part, encoded for peers.

        An instance that becomes the coordinator must not begin anew.
        """
        now_s = self.clock()
        with self.lock:
            for trials in self.trials.values():
                trials.close_expired(now_s)
            rows = [
                (part, trials.lost)
                for part, trials in self.trials.items()
                if trials.lost
            ]
        packed: bytes = msgpack.packb(rows[-MAX_PUBLISHED:])
        return packed

    def consume(self, member: str, data: bytes) -> None:
        """Apply the trials that a peer knows."""
        del member
        rows = msgspec.msgpack.decode(data, type=list[tuple[bytes, int]])
        with self.lock:
            for part, count in rows:
                if self.losses.endpoints_of(part):
                    self.merge(part, count)
