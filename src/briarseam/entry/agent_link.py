"""The entry's calls to its agent."""

from __future__ import annotations

import typing

import structlog

from briarseam import verdict
from briarseam.admission import messages
from briarseam.admission import refusals
from briarseam.answers import attempts
from briarseam.entry import reports as report_queue
from briarseam.wire import client as wire_client
from briarseam.wire import codec
from briarseam.wire import connection

ADMIT_SLACK_S = 2.0
REPORT_TIMEOUT_S = 2.0
RETRY_AFTER_S = 1.0
MS = 1000.0
log = structlog.get_logger("briarseam.entry")

ReplyType = typing.TypeVar("ReplyType")


class AgentLink:
    """Asks the agent, and turns its absence into a clear refusal.

    Parameters
    ----------
    client
        Connections to the agent.
    reports
        Reports that it must get.
    """

    def __init__(
        self,
        client: wire_client.Client,
        reports: report_queue.ReportQueue,
    ) -> None:
        self.client = client
        self.reports = reports

    def ask(
        self,
        request: codec.Message,
        kinds: tuple[type[ReplyType], ...],
        timeout_s: float,
    ) -> ReplyType:
        """Return the agent's reply, one of ``kinds``.

        Raises
        ------
        verdict.RefusalError
            When the agent refuses or does not answer.  A grant whose reply
            is lost was never acted upon, so "not run" holds: only the
            holder of a grant sends anything to an endpoint.  It does not
            hold for a key, under which an earlier attempt may have run.
        """
        try:
            reply = self.client.call(request, timeout_s)
        except connection.WireError as error:
            raise unavailable(request, str(error)) from error
        match reply:
            case messages.Refused():
                raise verdict.RefusalError(messages.verdict_of(reply))
            case codec.Failed(detail=detail):
                raise unavailable(request, detail)
        if not isinstance(reply, kinds):
            raise unavailable(request, f"unexpected {type(reply).__name__}")
        return reply

    def admit(
        self, request: messages.Admit
    ) -> messages.Granted | messages.Replayed:
        """Return a grant or a replay for a prompt."""
        return self.ask_grant(request, request.deadline_ms)

    def admit_call(
        self, request: messages.AdmitCall
    ) -> messages.Granted | messages.Replayed:
        """Return a grant or a replay for a service call."""
        return self.ask_grant(request, request.deadline_ms)

    def ask_grant(
        self, request: messages.Admit | messages.AdmitCall, deadline_ms: int
    ) -> messages.Granted | messages.Replayed:
        """Return the agent's grant or replay.

        A grant whose reply is lost leaves its attempt's key claimed though
        nothing is ever sent; the agent is told so that the key is freed.
        """
        try:
            return self.ask_kinds(request, deadline_ms)
        except verdict.RefusalError as error:
            unanswered = error.given.reason is verdict.Reason.AGENT_UNAVAILABLE
            if request.attempt and (unanswered or request.lost):
                self.reports.add(attempts.abandoned_message(request))
            raise

    def ask_kinds(
        self, request: codec.Message, deadline_ms: int
    ) -> messages.Granted | messages.Replayed:
        """Return the agent's reply if it is a grant or a replay."""
        kinds: tuple[type[messages.Granted | messages.Replayed], ...] = (
            messages.Granted,
            messages.Replayed,
        )
        return self.ask(request, kinds, deadline_ms / MS + ADMIT_SLACK_S)

    def locate(self, token_digest: str, answer_id: str) -> messages.Located:
        """Return where an answer runs."""
        return self.ask(
            messages.Locate(token_digest, answer_id),
            (messages.Located,),
            REPORT_TIMEOUT_S,
        )

    def may_cancel(self, answer_id: str, generation: int) -> bool:
        """Tell whether nobody resumed an answer since; no when unsure."""
        try:
            reply = self.client.call(
                messages.MayCancel(answer_id, generation), REPORT_TIMEOUT_S
            )
        except connection.WireError:
            # Nobody can tell whether another entry relays it by now: the
            # rest of the run is wasted at worst, an answer never cut.
            return False
        return isinstance(reply, messages.CancelAnswered) and reply.allowed

    def report(self, message: codec.Message) -> codec.Message | None:
        """Tell the agent something; ``None`` when it is away.

        How an attempt ended is told until the agent has taken it in, and
        this returns at once.  That it was not sent is told once only: late,
        when the attempt may have been granted again, it would be wrong.
        """
        if isinstance(message, messages.RunEnded) and message.is_final():
            self.reports.add_end(message)
            return messages.Noted()
        try:
            return self.client.call(message, REPORT_TIMEOUT_S)
        except connection.WireError as error:
            log.debug("report_lost", detail=str(error))
            return None


def unavailable(request: codec.Message, detail: str) -> verdict.RefusalError:
    """Return the refusal for an agent that does not answer."""
    given: verdict.Verdict = verdict.NotRun(
        verdict.Reason.AGENT_UNAVAILABLE,
        f"this instance's agent does not answer: {detail}",
        RETRY_AFTER_S,
    )
    if isinstance(request, messages.Admit | messages.AdmitCall):
        given = refusals.for_keyed_request(request.key, given)
    return verdict.RefusalError(given)
