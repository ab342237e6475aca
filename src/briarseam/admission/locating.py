"""The agent's side of resuming answers: locating runs, counting resumes."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import verdict
from briarseam.admission import answer_id
from briarseam.admission import messages
from briarseam.admission import refusals
from briarseam.admission import resume_counts
from briarseam.wire import connection

if typing.TYPE_CHECKING:
    from briarseam.configuration import schema
    from briarseam.wire import codec
    from briarseam.wire import server

HOME_TIMEOUT_S = 0.5
Identify = typing.Callable[[str], str]
HandlerWrapper = typing.Callable[
    [typing.Callable[[typing.Any], typing.Any]], typing.Any
]


class PeerClient(typing.Protocol):
    """A client of another agent; see ``briarseam.wire.client``."""

    def call(self, request: codec.Message, timeout_s: float) -> codec.Message:
        """Send a message and return the reply."""


@dataclasses.dataclass(frozen=True)
class Homes:
    """Access to the home agents of answers, which granted their runs.

    Attributes
    ----------
    own_address
        Address of this agent.
    client_of
        Returns a client of the agent at an address.
    """

    own_address: str
    client_of: typing.Callable[[str], PeerClient]


class Locator:
    """Locates the runs of answers and counts their resumes.

    Parameters
    ----------
    homes
        Access to the home agents.
    view
        Returns the current configuration.
    key
        Shared key, under which answer ids are sealed.
    identify
        Returns a token's organisation or raises a refusal.
    is_running
        Returns whether this agent granted a run that has not ended.
    """

    def __init__(
        self,
        homes: Homes,
        view: typing.Callable[[], schema.View],
        key: bytes,
        identify: Identify,
        is_running: typing.Callable[[str], bool],
    ) -> None:
        self.homes = homes
        self.view = view
        self.key = key
        self.identify = identify
        self.is_running = is_running
        self.resume_counts = resume_counts.ResumeCounts()

    def register(self, router: server.Router, wrap: HandlerWrapper) -> None:
        """Register the handlers for messages of entries and agents."""
        router.on(messages.Locate, wrap(self.locate))
        router.on(messages.Resumed, wrap(self.count_local_resume))
        router.on(messages.MayCancel, wrap(self.may_cancel))

    def locate(self, message: messages.Locate) -> messages.Located:
        """Return where an answer runs, for its own organisation only.

        Raises
        ------
        verdict.RefusalError
            When the answer id is unknown, or the answer is gone or cancelled.
        """
        organisation = self.identify(message.token_digest)
        answer = self.unseal(message.answer_id, organisation)
        endpoint = self.view().endpoints.get(answer.endpoint)
        if endpoint is None:
            raise verdict.RefusalError(refusals.answer_gone())
        generation = self.count_resume(answer)
        if generation is None:
            raise verdict.RefusalError(refusals.answer_cancelled())
        return messages.Located(
            organisation=organisation,
            run_id=answer.run_id,
            endpoint=answer.endpoint,
            address=endpoint.address,
            model=answer.model,
            version=answer.version,
            generation=generation,
        )

    def unseal(self, token: str, organisation: str) -> answer_id.AnswerId:
        """Return the content of an answer id of an organisation.

        Raises
        ------
        verdict.RefusalError
            When the id is forged or belongs to another organisation.
        """
        try:
            answer = answer_id.unseal(token, self.key)
        except answer_id.AnswerIdError as error:
            raise verdict.RefusalError(refusals.unknown_answer()) from error
        if answer.organisation != organisation:
            raise verdict.RefusalError(refusals.unknown_answer())
        return answer

    def count_resume(self, answer: answer_id.AnswerId) -> int | None:
        """Have the answer's home agent count a resume; return its number.

        If the home agent is dead, the number is unknown.  The entry that
        began the answer can't get permission to cancel it then either, so it
        lets the run continue.
        """
        message = messages.Resumed(answer.run_id)
        if answer.home == self.homes.own_address:
            return self.count_local_resume(message).generation
        reply = self.call_home(answer.home, message)
        if isinstance(reply, messages.ResumeCounted):
            return reply.generation
        return resume_counts.UNKNOWN

    def count_local_resume(
        self, message: messages.Resumed
    ) -> messages.ResumeCounted:
        """Count a resume of an answer that this agent granted."""
        return messages.ResumeCounted(
            self.resume_counts.count_resume(message.run_id)
        )

    def may_cancel(
        self, message: messages.MayCancel
    ) -> messages.CancelAnswered:
        """Return whether a run may be cancelled: no later resume is known.

        An agent that restarted after the grant has lost the resume count,
        and a run whose entry died is no longer tracked; in both cases
        cancelling is not allowed.
        """
        try:
            answer = answer_id.unseal(message.answer_id, self.key)
        except answer_id.AnswerIdError:
            return messages.CancelAnswered(False)
        if answer.home == self.homes.own_address:
            if not self.is_running(answer.run_id):
                return messages.CancelAnswered(False)
            allowed = self.resume_counts.cancel(
                answer.run_id, message.generation
            )
            return messages.CancelAnswered(allowed)
        reply = self.call_home(answer.home, message)
        if isinstance(reply, messages.CancelAnswered):
            return reply
        return messages.CancelAnswered(False)

    def call_home(
        self, home: str, message: codec.Message
    ) -> codec.Message | None:
        """Return the home agent's reply; ``None`` when it can't be had."""
        try:
            return self.homes.client_of(home).call(message, HOME_TIMEOUT_S)
        except (connection.WireError, ValueError):
            return None
