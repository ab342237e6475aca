"""Trials of requests that are suspected of crashing endpoints.

A request or a part of prompts is suspected as well if all endpoints end at
once for another reason, and no answer could clear it if it was always
refused.  One request at a time is sent as a trial, which one instance grants
for all others: several instances that each tried one would crash as many
endpoints.
"""

from __future__ import annotations

import dataclasses
import os
import threading
import typing

import msgspec
import structlog

from briarseam import clocks
from briarseam.crashes import loss_keys
from briarseam.crashes import trial_messages as messages

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.crashes import loss_counts

# How long after the last loss, and after the last trial, the next one may
# begin, by the number of trials that were lost before it.  Those who crash
# nothing need one.  Endpoints that ended all at once are back seconds later,
# so that the first wait delays few callers.  After the last wait there is
# no other trial if an endpoint was lost each time.
PART_WAITS_S = (1.0, 6.0, 60.0)
# Repeats of a request may reach endpoints three times in all later than three
# seconds after it has crashed the third.  One of these is left for what is on
# its way while instances learn of losses.
REQUEST_WAITS_S = (3.0, 60.0)
# The end of a trial that is not told by then is unknown.
OPEN_S = 5.0
# Between trials after the last wait, if the end of some is unknown.
LONG_WAIT_S = 600.0
# Until then peers have heard that a trial was not used.
UNUSED_TTL_S = 2 * OPEN_S
# Losses are decided by then.
DECIDED_S = 60.0
# While a trial is under way, to ask again.
OPEN_WAIT_S = 1.0
ID_BYTES = 8
MAX_PUBLISHED = 100
MS = 1000
NEVER_S = float("-inf")
STATES = {
    messages.TrialEnd.LOST: messages.TrialState.LOST,
    messages.TrialEnd.UNUSED: messages.TrialState.UNUSED,
}
log = structlog.get_logger("briarseam.forwarding")


@dataclasses.dataclass
class Trial:
    """A trial that was granted.

    Attributes
    ----------
    keys
        Keys of the suspects that the request has, without those that were
        answered since.
    granted_s
        When it was granted, or heard of, by the clock.
    state
        What is known of it.
    """

    keys: frozenset[bytes]
    granted_s: float
    state: messages.TrialState = messages.TrialState.OPEN

    @property
    def is_open(self) -> bool:
        """Whether its end is not known yet."""
        return self.state is messages.TrialState.OPEN

    @property
    def is_unanswered(self) -> bool:
        """Whether it has ended without an answer, as far as is known."""
        return self.state in (
            messages.TrialState.UNKNOWN,
            messages.TrialState.LOST,
        )


class TrialLedger:
    """Grants trials for all instances; thread-safe.

    Each instance has one, since any may become the coordinator.

    Parameters
    ----------
    losses
        Losses by key, as known here.
    clock
        Seconds.

    Attributes
    ----------
    trials
        By id.
    on_granted
        Called after a trial was granted, to publish it.
    """

    def __init__(
        self,
        losses: loss_counts.LossCounts,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.losses = losses
        self.clock = clock
        self.trials: dict[bytes, Trial] = {}
        self.on_granted: typing.Callable[[], None] = ignore
        self.lock = threading.RLock()

    # As the coordinator.

    def answer(self, message: messages.TrialAsked) -> messages.TrialTold:
        """Grant or refuse a trial of a request with some suspects."""
        now_s = self.clock()
        lost_s = {
            asked.key: max(
                now_s - asked.lost_ms / MS,
                self.losses.last_lost_s(asked.key),
            )
            for asked in message.suspects
        }
        answered = {key for key in lost_s if self.is_cleared(key, lost_s)}
        tried = frozenset(lost_s.keys() - answered)
        was_answered = all(
            asked.answered for asked in message.suspects if asked.key in tried
        )
        granted = due_s = None
        with self.lock:
            self.merge(message.trials)
            if tried:
                since_s = max(lost_s[key] for key in tried)
                due_s = self.due_s(tried, since_s, was_answered)
                if due_s <= now_s:
                    granted = self.grant(tried)
            rows = self.rows(tried)
        if granted is not None:
            # The row of the granted trial is the last one.
            rows = tuple(sorted(rows, key=lambda row: row.id == granted))
            self.on_granted()
        wait_ms = max(0, round(((due_s or now_s) - now_s) * MS))
        return messages.TrialTold(
            granted is not None or not tried, wait_ms, tuple(answered), rows
        )

    def grant(self, tried: frozenset[bytes]) -> bytes:
        """Begin a trial and return its id."""
        trial_id = os.urandom(ID_BYTES)
        lost = sum(one.is_unanswered for one in self.relevant(tried))
        self.trials[trial_id] = Trial(tried, self.clock())
        log.info(
            "part_trial_granted",
            parts=sorted(key.hex() for key in tried),
            lost_trials=lost,
        )
        return trial_id

    def is_cleared(
        self, key: bytes, lost_s: collections.abc.Mapping[bytes, float]
    ) -> bool:
        """Return whether a key was answered since it was last lost."""
        answered_s = self.losses.answered_s.get(key, lost_s[key])
        return answered_s > lost_s[key]

    def relevant(self, tried: frozenset[bytes]) -> list[Trial]:
        """Return the trials of requests with any of some suspects."""
        return [one for one in self.trials.values() if one.keys & tried]

    def due_s(
        self, tried: frozenset[bytes], lost_s: float, was_answered: bool
    ) -> float:
        """Return when the next trial may begin, by the clock.

        Parameters
        ----------
        tried
            The suspects of the request.
        lost_s
            When one of them was last lost.
        was_answered
            Whether all of them had been answered lately.
        """
        self.close_expired()
        relevant = self.relevant(tried)
        if any(one.is_open for one in relevant):
            return self.clock() + OPEN_WAIT_S
        requests = loss_keys.only_requests(tried)
        waits_s = REQUEST_WAITS_S if requests else PART_WAITS_S
        lost = [one for one in relevant if one.is_unanswered]
        if not requests and not any(one.keys <= tried for one in lost):
            # A lost trial of more suspects leaves open which of them is the
            # cause: each smaller choice of parts is tried once as if there
            # had been none.
            lost = [one for one in lost if not one.keys > tried]
        if not lost and was_answered:
            return lost_s
        last_s = max((one.granted_s for one in lost), default=NEVER_S)
        if len(lost) < len(waits_s):
            return max(lost_s, last_s) + waits_s[len(lost)]
        if all(map(self.has_lost_endpoint, lost)):
            return self.clock() + LONG_WAIT_S
        return max(lost_s, last_s) + LONG_WAIT_S

    def has_lost_endpoint(self, trial: Trial) -> bool:
        """Return whether an endpoint was lost in a trial.

        A loss may be learned later than the end of the trial.
        """
        return trial.state is messages.TrialState.LOST or any(
            self.losses.last_lost_s(key) >= trial.granted_s
            for key in trial.keys
        )

    def close_expired(self) -> None:
        """Give up trials whose end has not been told in time."""
        oldest_s = self.clock() - OPEN_S
        for trial in self.trials.values():
            if trial.is_open and trial.granted_s <= oldest_s:
                trial.state = messages.TrialState.UNKNOWN

    def end(self, message: messages.TrialEnded) -> messages.TrialEndNoted:
        """Apply how a trial has ended."""
        with self.lock:
            trial = self.trials.get(message.id)
            state = STATES.get(message.end)
            if trial is not None and state is not None:
                trial.state = max(trial.state, state)
        if message.end is messages.TrialEnd.ANSWERED:
            self.losses.add_answers(message.keys, self.clock())
            self.forget(set(message.keys))
        return messages.TrialEndNoted()

    # What is known of trials.

    def rows(
        self, keys: frozenset[bytes] | None = None
    ) -> tuple[messages.TrialRow, ...]:
        """Return the trials with any of some suspects, or all, encodable."""
        with self.lock:
            return tuple(
                messages.TrialRow(
                    trial_id, tuple(sorted(trial.keys)), trial.state
                )
                for trial_id, trial in self.trials.items()
                if keys is None or trial.keys & keys
            )

    def has_tried(self, keys: collections.abc.Iterable[bytes]) -> bool:
        """Return whether any trial of some suspects had no answer."""
        with self.lock:
            return any(
                one.is_unanswered for one in self.relevant(frozenset(keys))
            )

    def apply(self, rows: collections.abc.Iterable[messages.TrialRow]) -> None:
        """Apply trials that another instance knows."""
        with self.lock:
            self.merge(rows)

    def merge(self, rows: collections.abc.Iterable[messages.TrialRow]) -> None:
        """Apply trials, without suspects that have been answered since."""
        for row in rows:
            trial = self.trials.get(row.id)
            if trial is not None:
                trial.state = max(trial.state, row.state)
                continue
            keys = frozenset(
                key for key in row.keys if self.losses.endpoints_of(key)
            )
            if keys:
                self.trials[row.id] = Trial(keys, self.clock(), row.state)

    def restore(
        self,
        rows: collections.abc.Iterable[messages.TrialRow],
        answered: collections.abc.Collection[bytes],
    ) -> None:
        """Apply recorded trials, whose losses may not be decided yet.

        Parameters
        ----------
        rows
            The trials.
        answered
            Suspects that were answered since.
        """
        with self.lock:
            for row in rows:
                keys = frozenset(row.keys).difference(answered)
                if keys and row.id not in self.trials:
                    self.trials[row.id] = Trial(keys, self.clock(), row.state)

    def forget(self, keys: set[bytes]) -> None:
        """Forget suspects that were answered."""
        with self.lock:
            for trial_id, trial in list(self.trials.items()):
                trial.keys -= keys
                if not trial.keys:
                    del self.trials[trial_id]

    def forget_expired(self) -> None:
        """Forget trials of suspects without losses that count."""
        oldest_s = self.clock() - UNUSED_TTL_S
        decided_s = self.clock() - DECIDED_S
        with self.lock:
            self.close_expired()
            expired = {
                key
                for trial in self.trials.values()
                for key in trial.keys
                if trial.granted_s <= decided_s
                and not self.losses.endpoints_of(key)
            }
            self.trials = {
                trial_id: trial
                for trial_id, trial in self.trials.items()
                if trial.state is not messages.TrialState.UNUSED
                or trial.granted_s > oldest_s
            }
        self.forget(expired)

    def provide(self) -> bytes:
        """Return the trials, encoded for peers.

        An instance that becomes the coordinator must not begin anew.
        """
        with self.lock:
            self.close_expired()
        return msgspec.msgpack.encode(self.rows()[-MAX_PUBLISHED:])

    def consume(self, member: str, data: bytes) -> None:
        """Apply the trials that a peer knows."""
        del member
        self.apply(msgspec.msgpack.decode(data, type=list[messages.TrialRow]))


def ignore() -> None:
    """Do nothing; the default of the callback."""
