"""Admitting requests: who asks, may it run, where."""

from __future__ import annotations

import dataclasses
import typing

from briarseam import verdict
from briarseam.admission import guarded_placement
from briarseam.admission import idempotency
from briarseam.admission import locating
from briarseam.admission import messages
from briarseam.admission import orphans
from briarseam.admission import placing
from briarseam.admission import refusals
from briarseam.orders import state as orders

if typing.TYPE_CHECKING:
    from briarseam.admission import crash_guard
    from briarseam.configuration import schema
    from briarseam.configuration import values
    from briarseam.wire import connection
    from briarseam.wire import server

MS = 1000.0
Reply = messages.Granted | messages.Replayed | messages.Refused
Gate = typing.Callable[[], verdict.NotRun | None]


@dataclasses.dataclass(frozen=True)
class AdmissionParts:
    """What admission works with, wired by ``compose``.

    Attributes
    ----------
    view
        Present configuration.
    gate
        Returns a refusal while this agent may not admit anything.
    placer
        Grants endpoints.
    key
        Shared key, for answer ids.
    idempotency
        Requests with an idempotency key.
    homes
        This agent and the others, as homes of answers.
    guard
        Keeps crashing prompts from endpoints.
    connected
        Names of the entry processes that have a connection open.
    """

    view: typing.Callable[[], schema.View]
    gate: Gate
    placer: placing.Placer
    key: bytes
    idempotency: idempotency.Idempotency
    homes: locating.Homes
    guard: crash_guard.CrashGuard
    connected: typing.Callable[[], frozenset[str]]


class Admission:
    """Answers the entries' questions about requests."""

    def __init__(self, parts: AdmissionParts) -> None:
        self.parts = parts
        self.placer = parts.placer
        self.orphans = orphans.Orphans(parts.connected, self.run_ended)
        self.locator = locating.Locator(
            parts.homes,
            parts.view,
            parts.key,
            self.identify,
            lambda run_id: parts.placer.runs.get(run_id) is not None,
        )

    def start(self) -> None:
        """Begin looking for entries that are gone."""
        self.orphans.start()

    def stop(self) -> None:
        """Stop looking."""
        self.orphans.stop()

    def register(self, router: server.Router) -> None:
        """Answer the entries' messages."""
        router.on(messages.Admit, answer_entry(self.noted(self.admit)))
        router.on(
            messages.AdmitCall, answer_entry(self.noted(self.admit_call))
        )
        router.on(messages.RunStarted, answer(self.run_started))
        router.on(messages.RunEnded, answer(self.run_ended))
        self.locator.register(router, answer)
        router.on(messages.AttemptAbandoned, answer(self.abandoned))

    def noted(
        self, handle: typing.Callable[[typing.Any, str], Reply]
    ) -> typing.Callable[[typing.Any, str], Reply]:
        """Return a handler that remembers which entry holds a grant."""

        def handler(request: typing.Any, entry: str) -> Reply:
            reply = handle(request, entry)
            if isinstance(reply, messages.Granted):
                self.orphans.note(reply, entry)
            return reply

        return handler

    def admit(self, request: messages.Admit, entry: str = "") -> Reply:
        """Decide about a prompt of an entry."""
        organisation = self.identify(request.token_digest, request.key)
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
            grant = place()
        except verdict.RefusalError as error:
            if isinstance(error.given, verdict.NotRun):
                self.parts.idempotency.not_granted(keyed, error.given)
            raise
        self.parts.idempotency.granted(keyed, grant.answer_id)
        return grant

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
        self.check_model(request.model)
        release = self.required_release(request, organisation)
        try:
            return guarded_placement.place(
                self.parts.guard, self.placer, organisation, request, release
            )
        except verdict.RefusalError as error:
            self.check_release(request.model, release, error)
            raise

    def check_release(
        self,
        model: str,
        release: orders.Offer | None,
        error: verdict.RefusalError,
    ) -> None:
        """Tell a continuation that nobody serves its version any more."""
        nowhere = error.given.reason is verdict.Reason.NO_ENDPOINT
        if nowhere and release is not None:
            wanted = self.parts.view().models[model]
            if release != orders.Offer(wanted.version, wanted.adapter):
                gone = refusals.version_gone(release.version)
                raise verdict.RefusalError(gone) from error

    def admit_call(
        self, request: messages.AdmitCall, entry: str = ""
    ) -> Reply:
        """Decide about a service call of an entry."""
        organisation = self.identify(request.token_digest, request.key)
        if not request.key:
            service = self.service_of(request)
            check_key_needed(request.call in service.non_idempotent)
            return self.placer.place_call(organisation, request, service)
        found = self.parts.view().services.get(request.service)
        return self.admit_once(
            self.keyed(organisation, request, entry),
            found.timeout_ms / MS if found else idempotency.PROMPT_BOUND_S,
            lambda: self.placer.place_call(
                organisation, request, self.service_of(request)
            ),
        )

    def service_of(self, request: messages.AdmitCall) -> values.Service:
        """Return the service that is called.

        A request with a key is refused for it only once its key is
        claimed: an earlier attempt may have run before the service was
        taken out of the configuration.
        """
        service = self.parts.view().services.get(request.service)
        if service is None:
            raise verdict.RefusalError(
                refusals.unknown_service(request.service)
            )
        return service

    def identify(self, token_digest: str, key: str = "") -> str:
        """Return the organisation of a token, if requests may run now."""
        refusal = self.parts.gate()
        if refusal is not None:
            raise verdict.RefusalError(
                refusals.for_keyed_request(key, refusal)
            )
        organisation = self.parts.view().organisation_of(token_digest)
        if organisation is None:
            raise verdict.RefusalError(refusals.unknown_token())
        return organisation

    def check_model(self, model: str) -> None:
        """Refuse a model that is not configured."""
        if model not in self.parts.view().models:
            raise verdict.RefusalError(refusals.unknown_model(model))

    def required_release(
        self, request: messages.Admit, organisation: str
    ) -> orders.Offer | None:
        """Return what a continuation must keep, else nothing.

        Tokens of another version or adapter would not go on from the
        ones that the caller has.
        """
        if not request.continues:
            return None
        found = self.locator.unseal(request.continues, organisation)
        return orders.Offer(found.version, found.adapter)

    def run_started(self, message: messages.RunStarted) -> messages.Noted:
        """Take in that a run's first token has come."""
        self.placer.record_first_token(message)
        self.parts.guard.started(message.run_id)
        return messages.Noted()

    def run_ended(self, message: messages.RunEnded) -> messages.Noted:
        """Take in how a run ended; a doubled report changes nothing."""
        self.orphans.forget(message.run_id)
        self.placer.end_run(message)
        self.parts.guard.ended(message.run_id, message.result)
        self.parts.idempotency.ended(message)
        return messages.Noted()


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
        raise verdict.RefusalError(refusals.key_needed())
