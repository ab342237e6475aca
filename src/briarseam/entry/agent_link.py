"""Calls of an entry to the agent of its instance."""

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
MS_PER_S = 1000.0
log = structlog.get_logger("briarseam.entry")

ReplyType = typing.TypeVar("ReplyType")


class AgentLink:
    """Sends requests to the agent and refuses them while it is unavailable.

    Parameters
    ----------
    client
        Connections to the agent.
    reports
        Queue of the reports that the agent must receive.
    """

    def __init__(
        self,
        client: wire_client.Client,
        reports: report_queue.ReportQueue,
    ) -> None:
        self.client = client
        self.reports = reports

    def query(
        self,
        request: codec.Message,
        reply_types: tuple[type[ReplyType], ...],
        timeout_s: float,
    ) -> ReplyType:
        """Return the agent's reply, of one of ``reply_types``.

        Raises
        ------
        verdict.RefusalError
            When the agent refuses or does not answer.  If the reply was a
            grant and is lost, the request has not run, since only the
            holder of a grant sends anything to an endpoint.  A request
            with a key may have run in an earlier attempt.
        """
        try:
            reply = self.client.call(request, timeout_s)
        except connection.WireError as error:
            raise agent_unavailable(request, str(error)) from error
        match reply:
            case messages.Refused():
                raise verdict.RefusalError(messages.verdict_of(reply))
            case codec.Failed(detail=detail):
                raise agent_unavailable(request, detail)
        if not isinstance(reply, reply_types):
            raise agent_unavailable(
                request, f"unexpected {type(reply).__name__}"
            )
        return reply

    def admit(
        self, request: messages.Admit
    ) -> messages.Granted | messages.Replayed:
        """Request a grant for a prompt; return it or a replay."""
        return self.request_grant(request, request.deadline_ms)

    def admit_call(
        self, request: messages.AdmitCall
    ) -> messages.Granted | messages.Replayed:
        """Request a grant for a service call; return it or a replay."""
        return self.request_grant(request, request.deadline_ms)

    def request_grant(
        self, request: messages.Admit | messages.AdmitCall, deadline_ms: int
    ) -> messages.Granted | messages.Replayed:
        """Return the agent's grant or replay.

        If the reply with a grant is lost, the key stays claimed for an
        attempt that is never sent.  A report to the agent releases it.
        """
        try:
            return self.query_grant(request, deadline_ms)
        except verdict.RefusalError as error:
            unanswered = error.given.reason is verdict.Reason.AGENT_UNAVAILABLE
            if request.attempt and (unanswered or request.lost):
                self.reports.add(attempts.abandoned_message(request))
            raise

    def query_grant(
        self, request: codec.Message, deadline_ms: int
    ) -> messages.Granted | messages.Replayed:
        """Return the agent's reply if it is a grant or a replay."""
        reply_types: tuple[type[messages.Granted | messages.Replayed], ...] = (
            messages.Granted,
            messages.Replayed,
        )
        return self.query(
            request, reply_types, deadline_ms / MS_PER_S + ADMIT_SLACK_S
        )

    def locate(self, token_digest: str, answer_id: str) -> messages.Located:
        """Return the location of an answer's run."""
        return self.query(
            messages.Locate(token_digest, answer_id),
            (messages.Located,),
            REPORT_TIMEOUT_S,
        )

    def may_cancel(self, answer_id: str, generation: int) -> bool:
        """Return whether an answer may be cancelled.

        It may if no caller has resumed it since ``generation``.  ``False``
        if the agent does not answer.
        """
        try:
            reply = self.client.call(
                messages.MayCancel(answer_id, generation), REPORT_TIMEOUT_S
            )
        except connection.WireError:
            # Another entry may relay the answer already.  Not cancelling
            # wastes the rest of the run at worst; cancelling could cut off
            # an answer that a caller is reading.
            return False
        return isinstance(reply, messages.CancelAnswered) and reply.allowed

    def report(self, message: codec.Message) -> codec.Message | None:
        """Send a report to the agent; return its reply.

        The final result of an attempt is queued and sent until the agent
        has acknowledged it.  Any other report is sent once, and ``None`` is
        returned if the agent does not answer: a late report that the
        attempt was not sent would be wrong once it is granted again.
        """
        if isinstance(message, messages.RunEnded) and message.is_final():
            self.reports.add_end(message)
            return messages.Noted()
        try:
            return self.client.call(message, REPORT_TIMEOUT_S)
        except connection.WireError as error:
            log.debug("report_lost", detail=str(error))
            return None


def agent_unavailable(
    request: codec.Message, detail: str
) -> verdict.RefusalError:
    """Return the refusal of a request that the agent did not answer."""
    given: verdict.Verdict = verdict.NotRun(
        verdict.Reason.AGENT_UNAVAILABLE,
        f"this instance's agent does not answer: {detail}",
        RETRY_AFTER_S,
    )
    if isinstance(request, messages.Admit | messages.AdmitCall):
        given = refusals.for_keyed_request(request.key, given)
    return verdict.RefusalError(given)
