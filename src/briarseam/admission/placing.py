"""Placement of admitted requests at endpoints, and tracking of their runs."""

from __future__ import annotations

import dataclasses
import secrets
import time
import typing

from briarseam import verdict
from briarseam.admission import answer_id
from briarseam.admission import dispatch
from briarseam.admission import fair_queue
from briarseam.admission import limits as organisation_limits
from briarseam.admission import messages
from briarseam.admission import refusals
from briarseam.admission import retry_budgets
from briarseam.admission import retry_schedule
from briarseam.admission import state
from briarseam.routing import state as routing

if typing.TYPE_CHECKING:
    from briarseam.cache import service as kept_cache
    from briarseam.cache import state as cache
    from briarseam.configuration import schema
    from briarseam.configuration import values
    from briarseam.orders import state as orders

RUN_ID_BYTES = 12
MS = 1000.0
Request = messages.Admit | messages.AdmitCall
FAILED_RESULTS = (
    messages.RunResult.NOT_SENT,
    messages.RunResult.REFUSED,
    messages.RunResult.LOST_BEFORE_FIRST,
)


class Chooser(dispatch.Engines, typing.Protocol):
    """Routing, as the placer uses it."""

    def choose_service(
        self, query: routing.CallQuery
    ) -> routing.Choice | routing.NoChoice:
        """Return the endpoint for a call."""

    def prepare(
        self, run_id: str, choice: routing.Choice, max_s: float
    ) -> cache.Imported:
        """Import the blocks of the choice's plan before the run begins."""

    def record_start(self, run_id: str, choice: routing.Choice) -> None:
        """Record the start of a run."""

    def record_first_token(self, run_id: str, cached_tokens: int) -> None:
        """Record the first token of a run."""

    def record_end(
        self, run_id: str, complete: bool, failed: bool = False
    ) -> None:
        """Record the end of a run."""


@dataclasses.dataclass(frozen=True)
class PlacerParts:
    """Dependencies of the placer, wired by ``compose``.

    Attributes
    ----------
    view
        Returns the current configuration.
    chooser
        Routing.
    dispatcher
        Queues prompts for the engines.
    kept
        The kept cache.
    limits, budgets, schedule
        Limits and retry budgets of organisations; retry times of refused
        requests.
    max_in_flight
        Limit on the requests that run through this instance.
    key
        Shared key, for answer ids.
    home
        Address of this agent, for answer ids.
    """

    view: typing.Callable[[], schema.View]
    chooser: Chooser
    dispatcher: dispatch.Dispatcher
    kept: kept_cache.KeptCache
    limits: organisation_limits.Limits
    budgets: retry_budgets.RetryBudgets
    schedule: retry_schedule.RetrySchedule
    max_in_flight: int
    key: bytes
    home: str = ""


class Placer:
    """Grants requests an endpoint and keeps the table of granted runs."""

    def __init__(self, parts: PlacerParts) -> None:
        self.parts = parts
        self.runs = state.RunTable()

    def place_prompt(
        self,
        organisation: str,
        request: messages.Admit,
        release: orders.Offer | None,
        required_endpoint: str = "",
    ) -> messages.Granted:
        """Grant a prompt an engine.

        Parameters
        ----------
        organisation
            The caller's organisation.
        request
            The entry's request.
        release
            Weight version and adapter that the run must use; ``None`` for
            any.
        required_endpoint
            The one engine that may get the prompt; empty for any.

        Raises
        ------
        verdict.RefusalError
            When the prompt is refused.
        """
        accepted_at = time.monotonic()
        self.acquire_limits(organisation, request)
        run = self.new_run(organisation, request)
        run = dataclasses.replace(
            run,
            model=request.model,
            session=request.session,
            chain=request.chain,
        )
        priority = self.bounded_priority(organisation, request.priority)
        deadline_at = accepted_at + request.deadline_ms / MS
        waiter = dispatch.Waiter(
            query=routing.PromptQuery(
                organisation=organisation,
                session=request.session,
                model=request.model,
                chain=request.chain,
                prompt_tokens=request.prompt_tokens,
                version=release.version if release else "",
                adapter=release.adapter if release else "",
                excluded=frozenset(request.lost),
                refused=frozenset(request.refused),
                required_endpoint=required_endpoint,
            ),
            rank=fair_queue.Rank(priority, deadline_at),
            on_grant=lambda choice: self.register_run(run, choice),
        )
        try:
            choice = self.parts.dispatcher.place(waiter)
        except Exception:
            # A request that is never counted out would reduce its
            # organisation's limit until the agent is restarted.
            self.parts.limits.release(organisation)
            raise
        self.parts.chooser.prepare(
            run.run_id, choice, deadline_at - time.monotonic()
        )
        return self.grant_prompt(run.run_id, choice, priority)

    def grant_prompt(
        self, run_id: str, choice: routing.Choice, priority: int
    ) -> messages.Granted:
        """Return the grant of a prompt that was given an engine."""
        run = self.runs.get(run_id)
        assert run is not None
        return messages.Granted(
            run_id=run_id,
            answer_id=run.answer_id,
            attempt=run.attempt,
            organisation=run.organisation,
            endpoint=choice.endpoint,
            address=choice.address,
            version=choice.version,
            adapter=choice.adapter,
            priority=priority,
            salt=self.parts.kept.salt(run.organisation),
        )

    def place_call(
        self,
        organisation: str,
        request: messages.AdmitCall,
        service: values.Service,
    ) -> messages.Granted:
        """Grant a service call an endpoint.

        Raises
        ------
        verdict.RefusalError
            When the call is refused.
        """
        self.acquire_limits(organisation, request)
        choice = self.parts.chooser.choose_service(
            routing.CallQuery(
                organisation, request.service, frozenset(request.lost)
            )
        )
        if isinstance(choice, routing.NoChoice):
            self.parts.limits.release(organisation)
            wait_s = self.parts.schedule.assign(choice.retry_after_s)
            raise verdict.RefusalError(
                refusals.no_endpoint(choice.detail, wait_s)
            )
        run = self.new_run(organisation, request)
        self.register_run(run, choice)
        return messages.Granted(
            run_id=run.run_id,
            answer_id="",
            attempt=run.attempt,
            organisation=organisation,
            endpoint=choice.endpoint,
            address=choice.address,
            timeout_ms=int(service.timeout_ms),
        )

    def acquire_limits(self, organisation: str, request: Request) -> None:
        """Count a request in, or refuse it for a limit or a retry budget.

        Raises
        ------
        verdict.RefusalError
            When a limit is exceeded or the retry budget is spent.
        """
        if len(self.runs) >= self.parts.max_in_flight:
            wait_s = self.parts.schedule.assign()
            raise verdict.RefusalError(refusals.overloaded(wait_s))
        if not request.lost:
            self.parts.budgets.earn(organisation)
        elif is_charged(request) and not self.parts.budgets.spend(
            organisation
        ):
            wait_s = self.parts.schedule.assign()
            raise verdict.RefusalError(refusals.retries_spent(wait_s))
        match self.parts.limits.acquire(organisation):
            case organisation_limits.Exceeded(detail, retry_after_s):
                wait_s = self.parts.schedule.assign(retry_after_s)
                raise verdict.RefusalError(refusals.throttled(detail, wait_s))

    def bounded_priority(self, organisation: str, requested: int) -> int:
        """Return the requested priority, bounded by the organisation's."""
        settings = self.parts.view().organisations.get(organisation)
        return max(settings.priority, requested) if settings else requested

    def new_run(self, organisation: str, request: Request) -> state.Run:
        """Return a new run that has no endpoint yet.

        The run id of a claimed attempt is the attempt's name.  An engine
        refuses a run id that it has seen, so it starts the attempt only once
        even if the network delivers the request twice.
        """
        return state.Run(
            run_id=request.attempt or secrets.token_hex(RUN_ID_BYTES),
            endpoint="",
            organisation=organisation,
            session="",
            model="",
            version="",
            adapter="",
            chain=(),
            key=request.key,
            attempt=request.attempt,
            answer_id="",
            granted_at=time.monotonic(),
        )

    def register_run(self, run: state.Run, choice: routing.Choice) -> None:
        """Add a run to the table and record its start with routing."""
        sealed = ""
        if run.model:
            identity = answer_id.AnswerId(
                run.organisation,
                choice.endpoint,
                run.run_id,
                run.model,
                choice.version,
                self.parts.home,
                choice.adapter,
            )
            sealed = answer_id.seal(identity, self.parts.key)
        self.runs.add(
            dataclasses.replace(
                run,
                endpoint=choice.endpoint,
                version=choice.version,
                adapter=choice.adapter,
                answer_id=sealed,
            )
        )
        self.parts.chooser.record_start(run.run_id, choice)

    def record_first_token(self, message: messages.RunStarted) -> None:
        """Record the first token of a run."""
        self.parts.chooser.record_first_token(
            message.run_id, message.cached_tokens
        )

    def end_run(self, message: messages.RunEnded) -> state.Run | None:
        """Remove and return a run; ``None`` when it ended earlier."""
        run = self.runs.pop(message.run_id)
        if run is None:
            return None
        complete = message.result is messages.RunResult.DONE
        failed = message.result in FAILED_RESULTS
        self.parts.chooser.record_end(run.run_id, complete, failed)
        self.parts.limits.release(run.organisation)
        self.parts.dispatcher.record_end(complete)
        if complete:
            self.offer_to_kept_cache(run)
        return run

    def withdraw(self, granted: messages.Granted) -> None:
        """Revoke a grant that was not sent to an entry."""
        self.end_run(
            messages.RunEnded(
                granted.run_id,
                "",
                granted.endpoint,
                messages.RunResult.NOT_SENT,
            )
        )

    def offer_to_kept_cache(self, run: state.Run) -> None:
        """Offer the prefix that a completed run computed to the kept cache."""
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


def is_charged(request: Request) -> bool:
    """Return whether a retry is charged to the retry budget.

    When an endpoint dies, all answers that it was giving are continued
    elsewhere, and when it loads other weights, it refuses all requests that
    were granted before.  The retry budget is too small for them, and the
    endpoint's slots already bound their number, so the first retry of each
    is not charged.
    """
    match request:
        case messages.Admit(
            continues=answer_id, lost=(endpoint,), reloaded=reloaded
        ):
            return not answer_id and endpoint not in reloaded
    return True
