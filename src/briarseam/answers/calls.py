"""One call to a plain service, from grant to answer."""

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
    """What a call needs from the link to the agent."""

    def admit_call(
        self, request: messages.AdmitCall
    ) -> messages.Granted | messages.Replayed:
        """Return a grant or a replay; raise ``verdict.RefusalError``."""

    def report(self, message: typing.Any) -> typing.Any:
        """Tell the agent how the call went."""


class CallRelay:
    """Makes one call.

    Parameters
    ----------
    request
        The message to the agent.
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
        self.request = attempts.named(request)
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
        lost: tuple[str, ...] = ()
        while True:
            try:
                reply = self.agent.admit_call(
                    dataclasses.replace(self.request, lost=lost)
                )
            except verdict.RefusalError as error:
                given = runs.true_of_tries(error.given, self.may_have_run)
                raise verdict.RefusalError(given) from error
            if isinstance(reply, messages.Replayed):
                return replayed_answer(reply)
            answer = self.try_grant(reply)
            if answer is not None:
                return answer
            lost += (reply.endpoint,)

    def try_grant(
        self, grant: messages.Granted
    ) -> service.ServiceAnswer | None:
        """Make a granted call; ``None`` when another may be asked for."""
        try:
            answer = self.services.call(
                grant.address,
                self.request.call,
                grant.run_id,
                self.body,
                grant.timeout_ms / MS,
            )
        except engine.NotSentError:
            self.end_unsent(grant, messages.RunResult.NOT_SENT)
            return None
        except engine.LostError as error:
            self.end(grant, messages.RunResult.LOST_BEFORE_FIRST)
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
            # The services' protocol says that 503 starts nothing.
            self.end_unsent(grant, messages.RunResult.REFUSED)
            return None
        self.end(grant, messages.RunResult.DONE, answer)
        return answer

    def end_unsent(
        self, grant: messages.Granted, result: messages.RunResult
    ) -> None:
        """Report that the endpoint did not start the call."""
        attempts.check_told(self.request, self.end(grant, result))

    def end(
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
    """Return the answer of a call that ran before.

    Raises
    ------
    verdict.RefusalError
        When only a part of it was kept.
    """
    body = replays.whole_body(replayed, "call")
    return service.ServiceAnswer(replayed.status, body, JSON, True)
