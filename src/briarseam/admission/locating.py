"""The agent's side of resuming answers: where they run, who reads them."""

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
Wrap = typing.Callable[[typing.Callable[[typing.Any], typing.Any]], typing.Any]


class PeerClient(typing.Protocol):
    """What asking another agent takes; see ``briarseam.wire.client``."""

    def call(self, request: codec.Message, timeout_s: float) -> codec.Message:
        """Send a message and return the reply."""


@dataclasses.dataclass(frozen=True)
class Homes:
    """The agents as homes of answers.

    Attributes
    ----------
    me
        Address of this agent.
    client_of
        Returns a client of the agent at an address.
    """

    me: str
    client_of: typing.Callable[[str], PeerClient]


class Locator:
    """Finds answers' runs and counts who reads them.

    Parameters
    ----------
    homes
        The agents.
    view
        Present configuration.
    key
        Shared key, under which answer ids are sealed.
    identify
        Returns a token's organisation or raises a refusal.
    is_running
        Whether this agent granted a run that has not ended.
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

    def register(self, router: server.Router, wrap: Wrap) -> None:
        """Answer the entries' and the other agents' messages."""
        router.on(messages.Locate, wrap(self.locate))
        router.on(messages.Resumed, wrap(self.resumed))
        router.on(messages.MayCancel, wrap(self.may_cancel))

    def locate(self, message: messages.Locate) -> messages.Located:
        """Return where an answer runs, to its own organisation only."""
        organisation = self.identify(message.token_digest)
        found = self.unseal(message.answer_id, organisation)
        endpoint = self.view().endpoints.get(found.endpoint)
        if endpoint is None:
            raise verdict.RefusalError(refusals.answer_gone())
        generation = self.count_resume(found)
        if generation is None:
            raise verdict.RefusalError(refusals.answer_cancelled())
        return messages.Located(
            organisation=organisation,
            run_id=found.run_id,
            endpoint=found.endpoint,
            address=endpoint.address,
            model=found.model,
            version=found.version,
            generation=generation,
        )

    def unseal(self, token: str, organisation: str) -> answer_id.AnswerId:
        """Return what an answer id says, to its own organisation only."""
        try:
            found = answer_id.unseal(token, self.key)
        except answer_id.AnswerIdError as error:
            raise verdict.RefusalError(refusals.unknown_answer()) from error
        if found.organisation != organisation:
            raise verdict.RefusalError(refusals.unknown_answer())
        return found

    def count_resume(self, found: answer_id.AnswerId) -> int | None:
        """Let the answer's home agent count a resume.

        With the home agent dead its entry cannot ask it whether to cancel
        either, and then does not.
        """
        message = messages.Resumed(found.run_id)
        if found.home == self.homes.me:
            return self.resumed(message).generation
        reply = self.ask_home(found.home, message)
        if isinstance(reply, messages.ResumeCounted):
            return reply.generation
        return resume_counts.UNKNOWN

    def resumed(self, message: messages.Resumed) -> messages.ResumeCounted:
        """Count a resume of an answer whose home this agent is."""
        return messages.ResumeCounted(
            self.resume_counts.count_resume(message.run_id)
        )

    def may_cancel(
        self, message: messages.MayCancel
    ) -> messages.CancelAnswered:
        """Tell an entry whether nobody resumed an answer since.

        An agent that was started since the grant has counted nothing, and
        one whose entry has died counts for nobody: neither may say yes.
        """
        try:
            found = answer_id.unseal(message.answer_id, self.key)
        except answer_id.AnswerIdError:
            return messages.CancelAnswered(False)
        if found.home == self.homes.me:
            if not self.is_running(found.run_id):
                return messages.CancelAnswered(False)
            allowed = self.resume_counts.cancel(
                found.run_id, message.generation
            )
            return messages.CancelAnswered(allowed)
        reply = self.ask_home(found.home, message)
        if isinstance(reply, messages.CancelAnswered):
            return reply
        return messages.CancelAnswered(False)

    def ask_home(
        self, home: str, message: codec.Message
    ) -> codec.Message | None:
        """Return the home agent's reply; ``None`` when there is none."""
        try:
            return self.homes.client_of(home).call(message, HOME_TIMEOUT_S)
        except (connection.WireError, ValueError):
            return None
