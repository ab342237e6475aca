"""Requests with an idempotency key, from their claim to their outcome.

The entry names each attempt, so that it can abandon one whose grant it did
not receive.  The agent holds the attempts that it claimed until their end is
reported; if the report can no longer come, it records the outcome as lost.
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

# Time for the report of an attempt's end after the bound on its run; later
# the entry is assumed to be frozen or to have lost the attempt.
END_REPORT_MARGIN_S = 10.0
MAX_PROMPT_S = 600.0
REVIEW_INTERVAL_S = 0.25
# An entry without a connection for this long is considered dead.
ENTRY_GRACE_S = 1.0


class Claims(typing.Protocol):
    """The claims, as this module uses them."""

    def claim(
        self, organisation: str, key: str, body_digest: bytes, attempt: str
    ) -> claims.Result:
        """Claim a key for an attempt."""

    def settle(
        self,
        organisation: str,
        key: str,
        attempt: str,
        end: records.Outcome | verdict.NotRun | verdict.MayHaveRun,
        answer_id: str = "",
    ) -> None:
        """Record the end of an attempt."""


@dataclasses.dataclass(frozen=True)
class KeyedRequest:
    """A request with an idempotency key, as an entry sent it.

    Attributes
    ----------
    organisation, key, body_digest, attempt
        What is claimed.
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
    """An attempt that was claimed and has not ended.

    Attributes
    ----------
    request
        The request.
    sent
        Whether the entry may have sent it to an endpoint.
    expires_at
        Monotonic time after which its outcome is considered lost.
    answer_id
        Answer id of a granted prompt; empty before the grant.
    """

    request: KeyedRequest
    sent: bool
    expires_at: float
    answer_id: str = ""


class Idempotency:
    """The attempts that this agent claimed for its entries; thread-safe.

    Parameters
    ----------
    claims
        The claims.
    connected
        Returns the names of the entry processes that have an open
        connection.
    clock
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        claims: Claims,
        connected: typing.Callable[[], frozenset[str]],
        clock: typing.Callable[[], float] = time.monotonic,
    ) -> None:
        self.claims = claims
        self.entry_liveness = entry_liveness.EntryLiveness(
            connected, ENTRY_GRACE_S, clock
        )
        self.clock = clock
        self.lock = threading.Lock()
        self.attempts: dict[str, Attempt] = {}
        self.reviews = repeating.Repeater(
            "idempotency", self.review, REVIEW_INTERVAL_S
        )

    def start(self) -> None:
        """Start the periodic review."""
        self.reviews.start()

    def stop(self) -> None:
        """Stop, and give up all attempts; call before the claims stop."""
        self.reviews.stop()
        self.give_up(lambda attempt: True)

    def review(self) -> None:
        """Give up attempts whose end can no longer be reported.

        A key whose entry died after the grant stays claimed by a live agent,
        and callers would get "in progress" forever.  If the entry is alive
        after all, its report is still applied.
        """
        now = self.clock()
        with self.lock:
            entries = {one.request.entry for one in self.attempts.values()}
        dead_entries = self.entry_liveness.gone(entries)
        self.give_up(
            lambda attempt: (
                attempt.request.entry in dead_entries
                or attempt.expires_at < now
            )
        )

    def claim(
        self, request: KeyedRequest, max_run_s: float
    ) -> messages.Replayed | None:
        """Claim the key for an attempt, or return the earlier outcome.

        An entry sends an attempt that is held already again when the granted
        endpoint certainly did not start it.

        Parameters
        ----------
        request
            The request.
        max_run_s
            Longest time until the entry reports the attempt's end, in
            seconds.

        Returns
        -------
        messages.Replayed or None
            The earlier outcome; ``None`` when the attempt may run.

        Raises
        ------
        verdict.RefusalError
            When the attempt may not run.
        """
        if not request.attempt:
            raise verdict.RefusalError(
                verdict.NotRun(verdict.Reason.MALFORMED, "no attempt is named")
            )
        expires_at = self.clock() + max_run_s + END_REPORT_MARGIN_S
        if self.reuse_unsent(request, expires_at):
            return None
        result = self.claims.claim(
            request.organisation,
            request.key,
            request.body_digest,
            request.attempt,
        )
        match result:
            case claims.Won():
                with self.lock:
                    self.attempts[request.attempt] = Attempt(
                        request, True, expires_at
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

    def reuse_unsent(self, request: KeyedRequest, expires_at: float) -> bool:
        """Mark an unsent attempt as sent; return false if there is none."""
        with self.lock:
            attempt = self.attempts.get(request.attempt)
            if attempt is None or attempt.sent or attempt.request != request:
                return False
            attempt.sent = True
            attempt.expires_at = expires_at
            return True

    def record_grant(self, request: KeyedRequest, answer_id: str) -> None:
        """Record the answer id of a granted prompt."""
        with self.lock:
            attempt = self.attempts.get(request.attempt)
            if attempt is not None:
                attempt.answer_id = answer_id

    def release(self, request: KeyedRequest, refusal: verdict.NotRun) -> None:
        """Release the key of an attempt that was claimed but not granted."""
        self.end(request.organisation, request.key, request.attempt, refusal)

    def abandon(self, organisation: str, key: str, attempt: str) -> None:
        """Release the key of an attempt whose grant did not reach its entry.

        The claim may still be on its way to the log; the record of its end
        voids it there.
        """
        end = verdict.NotRun(verdict.Reason.AGENT_UNAVAILABLE)
        self.end(organisation, key, attempt, end)

    def record_run_end(self, run: messages.RunEnded) -> None:
        """Settle or release the attempt of a run that ended.

        The message names the key, so an agent that was restarted can settle
        an attempt that its predecessor granted.
        """
        if not run.attempt:
            return
        match run.result:
            case messages.RunResult.NOT_SENT | messages.RunResult.REFUSED:
                self.mark_unsent(run.attempt)
            case messages.RunResult.DONE | messages.RunResult.CANCELLED:
                whole = run.whole and run.result is messages.RunResult.DONE
                outcome = records.Outcome(
                    run.status, run.body, whole, run.answer_id
                )
                self.end(run.organisation, run.key, run.attempt, outcome)
            case _:
                end = verdict.MayHaveRun(verdict.Reason.ENDPOINT_LOST)
                self.end(
                    run.organisation,
                    run.key,
                    run.attempt,
                    end,
                    run.answer_id,
                )

    def mark_unsent(self, attempt_name: str) -> None:
        """Mark an attempt as unsent, so that its entry can retry it."""
        with self.lock:
            attempt = self.attempts.get(attempt_name)
            if attempt is not None:
                attempt.sent = False
                attempt.expires_at = self.clock() + END_REPORT_MARGIN_S

    def end(
        self,
        organisation: str,
        key: str,
        attempt: str,
        end: records.Outcome | verdict.NotRun | verdict.MayHaveRun,
        answer_id: str = "",
    ) -> None:
        """Settle an attempt and stop holding it."""
        with self.lock:
            self.attempts.pop(attempt, None)
        self.claims.settle(organisation, key, attempt, end, answer_id)

    def give_up(self, condition: typing.Callable[[Attempt], bool]) -> None:
        """Settle matching attempts as lost, or as not run if unsent."""
        with self.lock:
            given_up = [
                one for one in self.attempts.values() if condition(one)
            ]
            for attempt in given_up:
                del self.attempts[attempt.request.attempt]
        reason = verdict.Reason.OUTCOME_UNKNOWN
        for attempt in given_up:
            request = attempt.request
            end = (
                verdict.MayHaveRun(reason)
                if attempt.sent
                else verdict.NotRun(reason)
            )
            self.claims.settle(
                request.organisation,
                request.key,
                request.attempt,
                end,
                attempt.answer_id,
            )
