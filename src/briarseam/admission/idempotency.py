"""Requests with an idempotency key, from their claim to their outcome.

The entry names the attempt, so that it can end one whose grant it never
got.  This agent holds the attempts it won until it hears how they ended;
when it can no longer hear, it records that their outcome is lost.
"""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

from briarseam import repeating
from briarseam import verdict
from briarseam.admission import entry_liveness
from briarseam.admission import messages
from briarseam.claims import messages as claims
from briarseam.claims import records

# An attempt that its entry has not ended by then is taken for lost: the
# entry is frozen or forgot it.
SLACK_S = 10.0
PROMPT_BOUND_S = 600.0
SWEEP_S = 0.25
# An entry that has no connection for so long is gone.
GRACE_S = 1.0


class Claims(typing.Protocol):
    """What this module needs of the claims."""

    def claim(
        self, organisation: str, key: str, body_digest: bytes, attempt: str
    ) -> claims.Result:
        """Ask for the right to run a key's request."""

    def settle(
        self,
        organisation: str,
        key: str,
        attempt: str,
        end: records.Outcome | verdict.NotRun | verdict.MayHaveRun,
        answer_id: str = "",
    ) -> None:
        """Record how an attempt ended."""


@dataclasses.dataclass(frozen=True)
class Keyed:
    """A request with a key, as an entry asks about it.

    Attributes
    ----------
    organisation, key, body_digest, attempt
        As claimed.
    entry
        Name of the entry process.
    """

    organisation: str
    key: str
    body_digest: bytes
    attempt: str
    entry: str


@dataclasses.dataclass
class Attempt:
    """An attempt that was won and has not ended.

    Attributes
    ----------
    keyed
        What it is about.
    sent
        Whether its entry may have sent it since.
    bound_at
        Monotonic time after which its outcome is taken for lost.
    answer_id
        By which a prompt's answer may be had; empty before a grant.
    """

    keyed: Keyed
    sent: bool
    bound_at: float
    answer_id: str = ""


class Idempotency:
    """The attempts that this agent's entries hold.

    Parameters
    ----------
    claims
        The claims.
    connected
        Names of the entry processes that have a connection open.
    clock
        Monotonic seconds.
    """

    def __init__(
        self,
        claims: Claims,
        connected: typing.Callable[[], frozenset[str]],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.claims = claims
        self.entry_liveness = entry_liveness.EntryLiveness(
            connected, GRACE_S, clock
        )
        self.clock = clock
        self.lock = threading.Lock()
        self.attempts: dict[str, Attempt] = {}
        self.reviews = repeating.Repeater("idempotency", self.review, SWEEP_S)

    def start(self) -> None:
        """Begin looking for attempts whose end was never told."""
        self.reviews.start()

    def stop(self) -> None:
        """Give up what is still held; call it before the claims stop."""
        self.reviews.stop()
        self.lose(lambda attempt: True)

    def review(self) -> None:
        """Give up attempts whose end will not be told any more.

        An entry that died after its grant leaves its key claimed by an
        agent that is alive; callers would be told "in progress" for good.
        Should the entry live after all, what it reports still counts.
        """
        now = self.clock()
        with self.lock:
            entries = {one.keyed.entry for one in self.attempts.values()}
        gone = self.entry_liveness.gone(entries)
        self.lose(
            lambda attempt: (
                attempt.keyed.entry in gone or attempt.bound_at < now
            )
        )

    def take(self, keyed: Keyed, bound_s: float) -> messages.Replayed | None:
        """Win the key for an attempt, or return what ran before.

        An attempt that this agent holds already is asked about again
        because the endpoint it was granted certainly did not start it.

        Parameters
        ----------
        keyed
            The request.
        bound_s
            Longest time until its entry tells its end.

        Raises
        ------
        verdict.RefusalError
            With the final verdict when the attempt may not run.
        """
        if not keyed.attempt:
            raise verdict.RefusalError(
                verdict.NotRun(verdict.Reason.MALFORMED, "no attempt is named")
            )
        bound_at = self.clock() + bound_s + SLACK_S
        if self.again(keyed, bound_at):
            return None
        result = self.claims.claim(
            keyed.organisation, keyed.key, keyed.body_digest, keyed.attempt
        )
        match result:
            case claims.Won():
                with self.lock:
                    self.attempts[keyed.attempt] = Attempt(
                        keyed, True, bound_at
                    )
                return None
            case claims.Finished(outcome):
                return messages.Replayed(
                    outcome.status,
                    outcome.body,
                    outcome.whole,
                    outcome.answer_id,
                )
            case claims.Unknown(answer_id=answer_id) if answer_id:
                return messages.Replayed(0, b"", False, answer_id, "unknown")
        raise verdict.RefusalError(claims.verdict_of(result))

    def again(self, keyed: Keyed, bound_at: float) -> bool:
        """Tell whether an attempt is held and was not sent so far."""
        with self.lock:
            attempt = self.attempts.get(keyed.attempt)
            if attempt is None or attempt.sent or attempt.keyed != keyed:
                return False
            attempt.sent = True
            attempt.bound_at = bound_at
            return True

    def granted(self, keyed: Keyed, answer_id: str) -> None:
        """Remember by what a granted prompt's answer may be had."""
        with self.lock:
            attempt = self.attempts.get(keyed.attempt)
            if attempt is not None:
                attempt.answer_id = answer_id

    def not_granted(self, keyed: Keyed, given: verdict.NotRun) -> None:
        """Free the key of an attempt that was won but got no endpoint."""
        self.end(keyed.organisation, keyed.key, keyed.attempt, given)

    def abandoned(self, organisation: str, key: str, attempt: str) -> None:
        """Free the key of an attempt whose grant never reached its entry.

        The claim may still be on its way to the stream; the record of its
        end makes it void there.
        """
        given = verdict.NotRun(verdict.Reason.AGENT_UNAVAILABLE)
        self.end(organisation, key, attempt, given)

    def ended(self, run: messages.RunEnded) -> None:
        """Take in how an attempt's run ended.

        The message itself names the key, so an agent that was started
        since can record what its predecessor granted.
        """
        if not run.attempt:
            return
        match run.result:
            case messages.RunResult.NOT_SENT | messages.RunResult.REFUSED:
                self.keep_unsent(run.attempt)
            case messages.RunResult.DONE | messages.RunResult.CANCELLED:
                whole = run.whole and run.result is messages.RunResult.DONE
                outcome = records.Outcome(
                    run.status, run.body, whole, run.answer_id
                )
                self.end(run.organisation, run.key, run.attempt, outcome)
            case _:
                given = verdict.MayHaveRun(verdict.Reason.ENDPOINT_LOST)
                self.end(
                    run.organisation,
                    run.key,
                    run.attempt,
                    given,
                    run.answer_id,
                )

    def keep_unsent(self, name: str) -> None:
        """Keep an attempt for its entry to ask about again."""
        with self.lock:
            attempt = self.attempts.get(name)
            if attempt is not None:
                attempt.sent = False
                attempt.bound_at = self.clock() + SLACK_S

    def end(
        self,
        organisation: str,
        key: str,
        attempt: str,
        end: records.Outcome | verdict.NotRun | verdict.MayHaveRun,
        answer_id: str = "",
    ) -> None:
        """Record an attempt's end and forget it."""
        with self.lock:
            self.attempts.pop(attempt, None)
        self.claims.settle(organisation, key, attempt, end, answer_id)

    def lose(self, concerned: typing.Callable[[Attempt], bool]) -> None:
        """Record attempts as lost, or as not run if never sent."""
        with self.lock:
            gone = [one for one in self.attempts.values() if concerned(one)]
            for attempt in gone:
                del self.attempts[attempt.keyed.attempt]
        reason = verdict.Reason.OUTCOME_UNKNOWN
        for attempt in gone:
            keyed = attempt.keyed
            end = (
                verdict.MayHaveRun(reason)
                if attempt.sent
                else verdict.NotRun(reason)
            )
            self.claims.settle(
                keyed.organisation,
                keyed.key,
                keyed.attempt,
                end,
                attempt.answer_id,
            )
