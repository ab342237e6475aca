"""Relay of one service call, from grant to answer."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import attempts
from briarseam.answers import replays
from briarseam.answers import runs
from briarseam.endpoints import engine
from briarseam.endpoints import service

MS = 1000.0
SERVER_ERROR = 500
HTTP_UNAVAILABLE = 503
JSON = "application/json"


class Agent(typing.Protocol):
    """Link to the agent, as far as a call needs it."""

    def admit_call(
        self, request: messages.AdmitCall
    ) -> messages.Granted | messages.Replayed:
        """Return a grant or a replay; raise ``verdict.RefusalError``."""

    def report(self, message: typing.Any) -> typing.Any:
        """Send a report on the call to the agent; return its reply."""


class CallRelay:
    """Relays one service call.

    Parameters
    ----------
    request
        The message to the agent that admits the call.
    body
        The caller's JSON.
    agent
        Link to the agent.
    services
        Adapter to the services.
    """

    def __init__(
        self,
        request: messages.AdmitCall,
        body: bytes,
        agent: Agent,
        services: service.ServiceClient,
    ) -> None:
        self.request = attempts.with_attempt(request)
        self.body = body
        self.agent = agent
        self.services = services
        self.may_have_run = False

    def run(self) -> service.ServiceAnswer:
        """Return the service's answer.

        Raises
        ------
        verdict.RefusalError
            With the final verdict.
        """
        lost_endpoints: tuple[str, ...] = ()
        while True:
            try:
                reply = self.agent.admit_call(
                    dataclasses.replace(self.request, lost=lost_endpoints)
                )
            except verdict.RefusalError as error:
                final_verdict = runs.verdict_of_all_tries(
                    error.given, self.may_have_run
                )
                raise verdict.RefusalError(final_verdict) from error
            if isinstance(reply, messages.Replayed):
                return replayed_answer(reply)
            answer = self.try_grant(reply)
            if answer is not None:
                return answer
            lost_endpoints += (reply.endpoint,)

    def try_grant(
        self, grant: messages.Granted
    ) -> service.ServiceAnswer | None:
        """Make a granted call; ``None`` if another grant may be requested."""
        try:
            answer = self.services.call(
                grant.address,
                self.request.call,
                grant.run_id,
                self.body,
                grant.timeout_ms / MS,
            )
        except engine.NotSentError:
            self.report_unsent(grant, messages.RunResult.NOT_SENT)
            return None
        except engine.LostError as error:
            self.report_end(grant, messages.RunResult.LOST_BEFORE_FIRST)
            self.may_have_run = True
            if not grant.attempt:
                return None
            raise verdict.RefusalError(
                verdict.MayHaveRun(
                    verdict.Reason.ENDPOINT_LOST,
                    "the service's answer was lost; the call may have run",
                )
            ) from error
        if answer.status == HTTP_UNAVAILABLE:
            # By the services' protocol 503 means that nothing was started.
            self.report_unsent(grant, messages.RunResult.REFUSED)
            return None
        self.report_end(grant, messages.RunResult.DONE, answer)
        return answer

    def report_unsent(
        self, grant: messages.Granted, result: messages.RunResult
    ) -> None:
        """Report that the endpoint did not start the call."""
        attempts.require_recorded(self.request, self.report_end(grant, result))

    def report_end(
        self,
        grant: messages.Granted,
        result: messages.RunResult,
        answer: service.ServiceAnswer | None = None,
    ) -> typing.Any:
        """Report the call's end to the agent and return its reply."""
        body = answer.body if answer else b""
        return self.agent.report(
            messages.RunEnded(
                run_id=grant.run_id,
                attempt=grant.attempt,
                endpoint=grant.endpoint,
                result=result,
                status=answer.status if answer else 0,
                body=body if grant.attempt else b"",
                organisation=grant.organisation,
                key=self.request.key,
            )
        )


def replayed_answer(replayed: messages.Replayed) -> service.ServiceAnswer:
    """Return the stored answer of a call that has run before.

    Raises
    ------
    verdict.RefusalError
        If only a part of the answer is stored.
    """
    body = replays.complete_body(replayed, "call")
    return service.ServiceAnswer(replayed.status, body, JSON, True)
