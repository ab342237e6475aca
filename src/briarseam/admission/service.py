"""Admission of requests: authentication, claims, placement."""

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
    """Dependencies of admission, wired by ``compose``.

    Attributes
    ----------
    view
        Returns the current configuration.
    gate
        Returns a refusal while this agent may not admit anything.
    placer
        Grants endpoints.
    key
        Shared key, for answer ids.
    idempotency
        Handles requests with an idempotency key.
    homes
        Access to the home agents of answers.
    guard
        Keeps prompts that crash endpoints away from them.
    connected
        Returns the names of the entry processes that have an open
        connection.
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
    """Handles the entries' messages about requests."""

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
        """Start watching for runs of dead entries."""
        self.orphans.start()

    def stop(self) -> None:
        """Stop watching."""
        self.orphans.stop()

    def register(self, router: server.Router) -> None:
        """Register the handlers for the entries' messages."""
        router.on(
            messages.Admit, with_entry_name(self.tracking_grants(self.admit))
        )
        router.on(
            messages.AdmitCall,
            with_entry_name(self.tracking_grants(self.admit_call)),
        )
        router.on(messages.RunStarted, with_refusal_replies(self.run_started))
        router.on(messages.RunEnded, with_refusal_replies(self.run_ended))
        self.locator.register(router, with_refusal_replies)
        router.on(
            messages.AttemptAbandoned,
            with_refusal_replies(self.abandon_attempt),
        )

    def tracking_grants(
        self, handle: typing.Callable[[typing.Any, str], Reply]
    ) -> typing.Callable[[typing.Any, str], Reply]:
        """Return a handler that records which entry holds a grant."""

        def handler(request: typing.Any, entry: str) -> Reply:
            reply = handle(request, entry)
            if isinstance(reply, messages.Granted):
                self.orphans.track(reply, entry)
            return reply

        return handler

    def admit(self, request: messages.Admit, entry: str = "") -> Reply:
        """Grant, replay or refuse a prompt."""
        organisation = self.identify(request.token_digest, request.key)
        if not request.key:
            check_key_needed(not request.idempotent)
            return self.place(organisation, request)
        return self.admit_keyed(
            self.keyed_request(organisation, request, entry),
            idempotency.MAX_PROMPT_S,
            lambda: self.place(organisation, request),
        )

    def admit_keyed(
        self,
        request: idempotency.KeyedRequest,
        max_run_s: float,
        place: typing.Callable[[], messages.Granted],
    ) -> Reply:
        """Claim a request with a key, then place it."""
        replayed = self.parts.idempotency.claim(request, max_run_s)
        if replayed is not None:
            return replayed
        try:
            grant = place()
        except verdict.RefusalError as error:
            if isinstance(error.given, verdict.NotRun):
                self.parts.idempotency.release(request, error.given)
            raise
        self.parts.idempotency.record_grant(request, grant.answer_id)
        return grant

    def keyed_request(
        self,
        organisation: str,
        request: messages.Admit | messages.AdmitCall,
        entry: str,
    ) -> idempotency.KeyedRequest:
        """Return the claim's data of a request."""
        return idempotency.KeyedRequest(
            organisation,
            request.key,
            request.body_digest,
            request.attempt,
            entry,
        )

    def abandon_attempt(
        self, message: messages.AttemptAbandoned
    ) -> messages.Noted:
        """Release the key of an attempt that the entry will never send."""
        view = self.parts.view()
        organisation = view.organisation_of(message.token_digest)
        if organisation is not None:
            self.parts.idempotency.abandon(
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
            self.check_version_served(request.model, release, error)
            raise

    def check_version_served(
        self,
        model: str,
        release: orders.Offer | None,
        error: verdict.RefusalError,
    ) -> None:
        """Refuse a continuation whose weight version is no longer served.

        Raises
        ------
        verdict.RefusalError
            When no endpoint serves the version and another one is current.
        """
        not_served = error.given.reason is verdict.Reason.NO_ENDPOINT
        if not_served and release is not None:
            current = self.parts.view().models[model]
            if release != orders.Offer(current.version, current.adapter):
                gone = refusals.version_gone(release.version)
                raise verdict.RefusalError(gone) from error

    def admit_call(
        self, request: messages.AdmitCall, entry: str = ""
    ) -> Reply:
        """Grant, replay or refuse a service call."""
        organisation = self.identify(request.token_digest, request.key)
        if not request.key:
            service = self.service_of(request)
            check_key_needed(request.call in service.non_idempotent)
            return self.placer.place_call(organisation, request, service)
        configured = self.parts.view().services.get(request.service)
        return self.admit_keyed(
            self.keyed_request(organisation, request, entry),
            configured.timeout_ms / MS
            if configured
            else idempotency.MAX_PROMPT_S,
            lambda: self.placer.place_call(
                organisation, request, self.service_of(request)
            ),
        )

    def service_of(self, request: messages.AdmitCall) -> values.Service:
        """Return the service that is called.

        For a request with a key this is checked only after the claim: an
        earlier attempt may have run before the service was removed from the
        configuration.

        Raises
        ------
        verdict.RefusalError
            When the service is not configured.
        """
        service = self.parts.view().services.get(request.service)
        if service is None:
            raise verdict.RefusalError(
                refusals.unknown_service(request.service)
            )
        return service

    def identify(self, token_digest: str, key: str = "") -> str:
        """Return the organisation of a token, if requests may run now.

        Raises
        ------
        verdict.RefusalError
            When the gate is closed or no organisation has the token.
        """
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
        """Return the version and adapter that a continuation must use.

        Tokens of another version or adapter would not continue the ones that
        the caller already has.  For other prompts ``None`` is returned.
        """
        if not request.continues:
            return None
        answer = self.locator.unseal(request.continues, organisation)
        return orders.Offer(answer.version, answer.adapter)

    def run_started(self, message: messages.RunStarted) -> messages.Noted:
        """Record the first token of a run."""
        self.placer.record_first_token(message)
        self.parts.guard.started(message.run_id)
        return messages.Noted()

    def run_ended(self, message: messages.RunEnded) -> messages.Noted:
        """Record the end of a run; a repeated report has no effect."""
        self.orphans.forget(message.run_id)
        self.placer.end_run(message)
        self.parts.guard.ended(message.run_id, message.result)
        self.parts.idempotency.record_run_end(message)
        return messages.Noted()


def with_refusal_replies(
    handle: typing.Callable[[typing.Any], typing.Any],
) -> server.Handler:
    """Return a wire handler that replies to a refusal with a message."""

    def handler(peer: connection.Identity, request: typing.Any) -> typing.Any:
        del peer
        try:
            return handle(request)
        except verdict.RefusalError as error:
            return messages.refusal_message(error.given)

    return handler


def with_entry_name(
    handle: typing.Callable[[typing.Any, str], typing.Any],
) -> server.Handler:
    """Return such a handler for a function that needs the entry's name."""

    def handler(peer: connection.Identity, request: typing.Any) -> typing.Any:
        return with_refusal_replies(
            lambda message: handle(message, peer.name)
        )(peer, request)

    return handler


def check_key_needed(needed: bool) -> None:
    """Refuse a non-idempotent request without an idempotency key."""
    if needed:
        raise verdict.RefusalError(refusals.key_needed())
