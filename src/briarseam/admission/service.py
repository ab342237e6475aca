"""Admitting requests: who asks, may it run, where."""

from __future__ import annotations

import dataclasses
import secrets
import time
import typing

from briarseam import verdict
from briarseam.admission import idempotency
from briarseam.admission import messages
from briarseam.admission import state
from briarseam.answers import answer_id
from briarseam.cache import state as cache
from briarseam.configuration import schema
from briarseam.routing import state as routing

if typing.TYPE_CHECKING:
    from briarseam.cache import service as kept_cache
    from briarseam.wire import connection
    from briarseam.wire import server

RUN_ID_BYTES = 12
MS = 1000.0
Reply = messages.Granted | messages.Replayed | messages.Refused
Gate = typing.Callable[[], verdict.NotRun | None]


class Chooser(typing.Protocol):
    """What admission needs from routing."""

    def choose_engine(
        self, ask: routing.PromptAsk
    ) -> routing.Choice | routing.NoChoice:
        """Return the engine for a prompt."""

    def choose_service(
        self, ask: routing.CallAsk
    ) -> routing.Choice | routing.NoChoice:
        """Return the endpoint for a call."""

    def prepare(
        self, run_id: str, choice: routing.Choice, max_s: float
    ) -> cache.Imported:
        """Import what the choice's plan says, before the run is granted."""

    def note_start(self, run_id: str, choice: routing.Choice) -> None:
        """Count a run in."""

    def note_first_token(self, run_id: str, cached_tokens: int) -> None:
        """Learn from a run's first token."""

    def note_end(self, run_id: str, whole: bool) -> None:
        """Count a run out."""


@dataclasses.dataclass(frozen=True)
class AdmissionParts:
    """What admission works with, wired by ``compose``.

    Attributes
    ----------
    view
        Present configuration.
    gate
        Returns a refusal while this agent may not admit anything.
    chooser
        Routing.
    kept
        The kept cache.
    key
        Shared key, for answer ids.
    idempotency
        Requests with an idempotency key.
    """

    view: typing.Callable[[], schema.View]
    gate: Gate
    chooser: Chooser
    kept: kept_cache.KeptCache
    key: bytes
    idempotency: idempotency.Idempotency


class Admission:
    """Answers the entries' questions about requests."""

    def __init__(self, parts: AdmissionParts) -> None:
        self.parts = parts
        self.runs = state.RunTable()

    def register(self, router: server.Router) -> None:
        """Answer the entries' messages."""
        router.on(messages.Admit, answer_entry(self.admit))
        router.on(messages.AdmitCall, answer_entry(self.admit_call))
        router.on(messages.RunStarted, answer(self.run_started))
        router.on(messages.RunEnded, answer(self.run_ended))
        router.on(messages.Locate, answer(self.locate))
        router.on(messages.AttemptAbandoned, answer(self.abandoned))

    def admit(self, request: messages.Admit, entry: str = "") -> Reply:
        """Decide about a prompt of an entry."""
        organisation = self.identify(request.token_digest)
        self.check_model(request.model)
        if not request.key:
            check_key_needed(not request.idempotent)
            return self.place(organisation, request)
        return self.admit_once(
            self.keyed(organisation, request, entry),
            idempotency.PROMPT_BOUND_S,
            lambda: self.place(organisation, request),
        )

    def admit_once(
        self,
        keyed: idempotency.Keyed,
        bound_s: float,
        place: typing.Callable[[], messages.Granted],
    ) -> Reply:
        """Decide about a request with a key: claim it, then place it."""
        replayed = self.parts.idempotency.take(keyed, bound_s)
        if replayed is not None:
            return replayed
        try:
            return place()
        except verdict.RefusalError as error:
            if isinstance(error.given, verdict.NotRun):
                self.parts.idempotency.not_granted(keyed, error.given)
            raise

    def keyed(
        self,
        organisation: str,
        request: messages.Admit | messages.AdmitCall,
        entry: str,
    ) -> idempotency.Keyed:
        """Return what is claimed for a request."""
        return idempotency.Keyed(
            organisation,
            request.key,
            request.body_digest,
            request.attempt,
            entry,
        )

    def abandoned(self, message: messages.AttemptAbandoned) -> messages.Noted:
        """Take in that an entry will never send an attempt."""
        view = self.parts.view()
        organisation = view.organisation_of(message.token_digest)
        if organisation is not None:
            self.parts.idempotency.abandoned(
                organisation, message.key, message.attempt
            )
        return messages.Noted()

    def place(
        self, organisation: str, request: messages.Admit
    ) -> messages.Granted:
        """Grant a prompt an endpoint."""
        choice = self.parts.chooser.choose_engine(
            routing.PromptAsk(
                organisation=organisation,
                session=request.session,
                model=request.model,
                chain=request.chain,
                prompt_tokens=request.prompt_tokens,
                version=self.required_version(request, organisation),
                excluded=frozenset(request.lost),
            )
        )
        if isinstance(choice, routing.NoChoice):
            raise verdict.RefusalError(no_endpoint(choice))
        check_deadline(choice, request.deadline_ms / MS)
        return self.grant(organisation, request, choice)

    def admit_call(
        self, request: messages.AdmitCall, entry: str = ""
    ) -> Reply:
        """Decide about a service call of an entry."""
        organisation = self.identify(request.token_digest)
        service = self.parts.view().services.get(request.service)
        if service is None:
            raise verdict.RefusalError(
                verdict.NotRun(
                    verdict.Reason.UNKNOWN_SERVICE,
                    f"there is no service {request.service}",
                )
            )
        if not request.key:
            check_key_needed(request.call in service.non_idempotent)
            return self.place_call(organisation, request, service)
        return self.admit_once(
            self.keyed(organisation, request, entry),
            service.timeout_ms / MS,
            lambda: self.place_call(organisation, request, service),
        )

    def place_call(
        self,
        organisation: str,
        request: messages.AdmitCall,
        service: schema.Service,
    ) -> messages.Granted:
        """Grant a service call an endpoint."""
        choice = self.parts.chooser.choose_service(
            routing.CallAsk(
                organisation, request.service, frozenset(request.lost)
            )
        )
        if isinstance(choice, routing.NoChoice):
            raise verdict.RefusalError(no_endpoint(choice))
        run = self.new_run(organisation, choice, request)
        self.start(run, choice)
        return messages.Granted(
            run_id=run.run_id,
            answer_id="",
            attempt=run.attempt,
            organisation=organisation,
            endpoint=choice.endpoint,
            address=choice.address,
            timeout_ms=int(service.timeout_ms),
        )

    def identify(self, token_digest: str) -> str:
        """Return the organisation of a token, if requests may run now."""
        refusal = self.parts.gate()
        if refusal is not None:
            raise verdict.RefusalError(refusal)
        organisation = self.parts.view().organisation_of(token_digest)
        if organisation is None:
            raise verdict.RefusalError(
                verdict.NotRun(
                    verdict.Reason.UNAUTHENTICATED,
                    "no organisation has this token",
                )
            )
        return organisation

    def check_model(self, model: str) -> None:
        """Refuse a model that is not configured."""
        if model not in self.parts.view().models:
            raise verdict.RefusalError(
                verdict.NotRun(
                    verdict.Reason.UNKNOWN_MODEL, f"there is no model {model}"
                )
            )

    def required_version(
        self, request: messages.Admit, organisation: str
    ) -> str:
        """Return the version a continuation must keep, else nothing."""
        if not request.continues:
            return ""
        return self.unseal(request.continues, organisation).version

    def grant(
        self,
        organisation: str,
        request: messages.Admit,
        choice: routing.Choice,
    ) -> messages.Granted:
        """Return the grant of a prompt and remember its run."""
        run = self.new_run(organisation, choice, request)
        sealed = answer_id.seal(
            answer_id.AnswerId(
                organisation,
                choice.endpoint,
                run.run_id,
                request.model,
                choice.version,
            ),
            self.parts.key,
        )
        run = dataclasses.replace(
            run,
            model=request.model,
            session=request.session,
            chain=request.chain,
            answer_id=sealed,
        )
        self.start(run, choice)
        self.parts.chooser.prepare(
            run.run_id, choice, request.deadline_ms / MS
        )
        limit = self.parts.view().organisations[organisation].priority
        return messages.Granted(
            run_id=run.run_id,
            answer_id=sealed,
            attempt=run.attempt,
            organisation=organisation,
            endpoint=choice.endpoint,
            address=choice.address,
            version=choice.version,
            adapter=choice.adapter,
            priority=max(limit, request.priority),
            salt=self.parts.kept.salt(organisation),
        )

    def new_run(
        self,
        organisation: str,
        choice: routing.Choice,
        request: messages.Admit | messages.AdmitCall,
    ) -> state.Running:
        """Return a fresh run at the chosen endpoint.

        An attempt that was claimed names its run, so that an engine,
        which refuses a run id it has seen, starts it once even if the
        network should deliver it twice.
        """
        return state.Running(
            run_id=request.attempt or secrets.token_hex(RUN_ID_BYTES),
            endpoint=choice.endpoint,
            organisation=organisation,
            session="",
            model="",
            version=choice.version,
            adapter=choice.adapter,
            chain=(),
            key=request.key,
            attempt=request.attempt,
            answer_id="",
            granted_at=time.monotonic(),
        )

    def start(self, run: state.Running, choice: routing.Choice) -> None:
        """Count a run in."""
        self.runs.add(run)
        self.parts.chooser.note_start(run.run_id, choice)

    def run_started(self, message: messages.RunStarted) -> messages.Noted:
        """Take in that a run's first token has come."""
        self.parts.chooser.note_first_token(
            message.run_id, message.cached_tokens
        )
        return messages.Noted()

    def run_ended(self, message: messages.RunEnded) -> messages.Noted:
        """Take in how a run ended; a doubled report changes nothing."""
        run = self.runs.pop(message.run_id)
        if run is not None:
            whole = message.result is messages.RunResult.DONE
            self.parts.chooser.note_end(run.run_id, whole)
            if whole:
                self.keep(run)
        self.parts.idempotency.ended(message, run.answer_id if run else "")
        return messages.Noted()

    def keep(self, run: state.Running) -> None:
        """Let the kept cache have what a finished run computed."""
        endpoint = self.parts.view().endpoints.get(run.endpoint)
        if endpoint is None or not run.chain:
            return
        self.parts.kept.after_run(
            run.organisation,
            run.model,
            run.adapter,
            run.version,
            run.chain,
            endpoint.address,
            run.session,
        )

    def locate(self, message: messages.Locate) -> messages.Located:
        """Return where an answer runs, to its own organisation only."""
        organisation = self.identify(message.token_digest)
        found = self.unseal(message.answer_id, organisation)
        endpoint = self.parts.view().endpoints.get(found.endpoint)
        if endpoint is None:
            raise verdict.RefusalError(
                verdict.Ran(
                    verdict.Reason.ANSWER_GONE,
                    "the endpoint of this answer is not configured any more",
                )
            )
        return messages.Located(
            organisation=organisation,
            run_id=found.run_id,
            endpoint=found.endpoint,
            address=endpoint.address,
            model=found.model,
            version=found.version,
        )

    def unseal(self, token: str, organisation: str) -> answer_id.AnswerId:
        """Return what an answer id says, to its own organisation only."""
        try:
            found = answer_id.unseal(token, self.parts.key)
        except answer_id.AnswerIdError as error:
            raise verdict.RefusalError(unknown_answer()) from error
        if found.organisation != organisation:
            raise verdict.RefusalError(unknown_answer())
        return found


def answer(
    handle: typing.Callable[[typing.Any], typing.Any],
) -> server.Handler:
    """Return a wire handler that sends a refusal as a message."""

    def handler(peer: connection.Identity, request: typing.Any) -> typing.Any:
        del peer
        try:
            return handle(request)
        except verdict.RefusalError as error:
            return messages.refused(error.given)

    return handler


def answer_entry(
    handle: typing.Callable[[typing.Any, str], typing.Any],
) -> server.Handler:
    """Return the same for one that needs to know which entry asks."""

    def handler(peer: connection.Identity, request: typing.Any) -> typing.Any:
        return answer(lambda message: handle(message, peer.name))(
            peer, request
        )

    return handler


def check_key_needed(needed: bool) -> None:
    """Refuse a request that may not repeat and has no key."""
    if needed:
        raise verdict.RefusalError(
            verdict.NotRun(
                verdict.Reason.KEY_INVALID,
                "this call may not repeat: send an Idempotency-Key, a UUIDv7",
            )
        )


def check_deadline(choice: routing.Choice, deadline_s: float) -> None:
    """Refuse at once what is predicted to come too late.

    Holding it until its deadline would take a place from a request that
    can still make it, and the caller could not go elsewhere meanwhile.
    """
    late_s = choice.first_token_s - deadline_s
    if late_s <= 0:
        return
    raise verdict.RefusalError(
        verdict.NotRun(
            verdict.Reason.DEADLINE,
            f"the first token is expected after {choice.first_token_s:.2f} s",
            late_s,
        )
    )


def no_endpoint(choice: routing.NoChoice) -> verdict.NotRun:
    """Return the refusal when routing finds nothing."""
    return verdict.NotRun(
        verdict.Reason.NO_ENDPOINT, choice.detail, choice.retry_after_s
    )


def unknown_answer() -> verdict.NotRun:
    """Return the same refusal for a forged id and for another's id."""
    return verdict.NotRun(
        verdict.Reason.MALFORMED, "this answer id is not known"
    )
