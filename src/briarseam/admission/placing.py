"""Placing admitted requests at endpoints, and following their runs."""

from __future__ import annotations

import dataclasses
import secrets
import time
import typing

from briarseam import verdict
from briarseam.admission import answer_id
from briarseam.admission import dispatch
from briarseam.admission import fair_queue
from briarseam.admission import limits as limit_module
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
FAILED = (
    messages.RunResult.NOT_SENT,
    messages.RunResult.REFUSED,
    messages.RunResult.LOST_BEFORE_FIRST,
)


class Chooser(dispatch.Engines, typing.Protocol):
    """What placing needs from routing."""

    def choose_service(
        self, query: routing.CallQuery
    ) -> routing.Choice | routing.NoChoice:
        """Return the endpoint for a call."""

    def prepare(
        self, run_id: str, choice: routing.Choice, max_s: float
    ) -> cache.Imported:
        """Import what the choice's plan says, before the run is granted."""

    def record_start(self, run_id: str, choice: routing.Choice) -> None:
        """Count a run in."""

    def record_first_token(self, run_id: str, cached_tokens: int) -> None:
        """Learn from a run's first token."""

    def record_end(
        self, run_id: str, complete: bool, failed: bool = False
    ) -> None:
        """Count a run out."""


@dataclasses.dataclass(frozen=True)
class PlacerParts:
    """What placing works with, wired by ``compose``.

    Attributes
    ----------
    view
        Present configuration.
    chooser
        Routing.
    dispatcher
        Fair waiting in front of the engines.
    kept
        The kept cache.
    limits, budgets, schedule
        Limits and retry budgets of organisations; when to return.
    max_in_flight
        Most requests running through this instance.
    key
        Shared key, for answer ids.
    home
        Address of this agent, for answer ids.
    """

    view: typing.Callable[[], schema.View]
    chooser: Chooser
    dispatcher: dispatch.Dispatcher
    kept: kept_cache.KeptCache
    limits: limit_module.Limits
    budgets: retry_budgets.RetryBudgets
    schedule: retry_schedule.RetrySchedule
    max_in_flight: int
    key: bytes
    home: str = ""


class Placer:
    """Grants endpoints and keeps the table of granted runs."""

    def __init__(self, parts: PlacerParts) -> None:
        self.parts = parts
        self.runs = state.RunTable()

    def place_prompt(
        self,
        organisation: str,
        request: messages.Admit,
        release: orders.Offer | None,
        only: str = "",
    ) -> messages.Granted:
        """Grant a prompt an engine.

        Parameters
        ----------
        organisation
            Whose prompt.
        request
            What was asked.
        release
            Weight version and adapter the run must use, if it must.
        only
            The one engine that may get it; empty for any.

        Raises
        ------
        verdict.RefusalError
            With the final verdict, at once.
        """
        accepted_at = time.monotonic()
        self.enter(organisation, request)
        run = self.new_run(organisation, request)
        run = dataclasses.replace(
            run,
            model=request.model,
            session=request.session,
            chain=request.chain,
        )
        priority = self.priority(organisation, request.priority)
        deadline_at = accepted_at + request.deadline_ms / MS
        waiter = dispatch.Waiter(
            ask=routing.PromptQuery(
                organisation=organisation,
                session=request.session,
                model=request.model,
                chain=request.chain,
                prompt_tokens=request.prompt_tokens,
                version=release.version if release else "",
                adapter=release.adapter if release else "",
                excluded=frozenset(request.lost),
                refused=frozenset(request.refused),
                required_endpoint=only,
            ),
            rank=fair_queue.Rank(priority, deadline_at),
            start=lambda choice: self.start(run, choice),
        )
        try:
            choice = self.parts.dispatcher.place(waiter)
        except Exception:
            # Whatever it was: a request counted in for ever would shrink
            # its organisation's limit until the agent is restarted.
            self.parts.limits.leave(organisation)
            raise
        self.parts.chooser.prepare(
            run.run_id, choice, deadline_at - time.monotonic()
        )
        return self.grant_prompt(run.run_id, choice, priority)

    def grant_prompt(
        self, run_id: str, choice: routing.Choice, priority: int
    ) -> messages.Granted:
        """Return the grant of a prompt that has its engine."""
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
            With the final verdict, at once.
        """
        self.enter(organisation, request)
        choice = self.parts.chooser.choose_service(
            routing.CallQuery(
                organisation, request.service, frozenset(request.lost)
            )
        )
        if isinstance(choice, routing.NoChoice):
            self.parts.limits.leave(organisation)
            wait_s = self.parts.schedule.assign(choice.retry_after_s)
            raise verdict.RefusalError(
                refusals.no_endpoint(choice.detail, wait_s)
            )
        run = self.new_run(organisation, request)
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

    def enter(self, organisation: str, request: Request) -> None:
        """Check limits and, for a retry, its budget."""
        if len(self.runs) >= self.parts.max_in_flight:
            wait_s = self.parts.schedule.assign()
            raise verdict.RefusalError(refusals.overloaded(wait_s))
        if request.lost and not is_first_continuation(request):
            if not self.parts.budgets.spend(organisation):
                wait_s = self.parts.schedule.assign()
                raise verdict.RefusalError(refusals.retries_spent(wait_s))
        elif not request.lost:
            self.parts.budgets.earn(organisation)
        match self.parts.limits.enter(organisation):
            case limit_module.Exceeded(detail, retry_after_s):
                wait_s = self.parts.schedule.assign(retry_after_s)
                raise verdict.RefusalError(refusals.throttled(detail, wait_s))

    def priority(self, organisation: str, wanted: int) -> int:
        """Return a request's priority within its organisation's limit."""
        found = self.parts.view().organisations.get(organisation)
        return max(found.priority, wanted) if found else wanted

    def new_run(self, organisation: str, request: Request) -> state.Running:
        """Return a fresh run, not at any endpoint yet.

        An attempt that was claimed names its run, so that an engine,
        which refuses a run id it has seen, starts it once even if the
        network should deliver it twice.
        """
        return state.Running(
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

    def start(self, run: state.Running, choice: routing.Choice) -> None:
        """Count a run in at its endpoint."""
        sealed = ""
        if run.model:
            names = answer_id.AnswerId(
                run.organisation,
                choice.endpoint,
                run.run_id,
                run.model,
                choice.version,
                self.parts.home,
                choice.adapter,
            )
            sealed = answer_id.seal(names, self.parts.key)
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
        """Take in that a run's first token has come."""
        self.parts.chooser.record_first_token(
            message.run_id, message.cached_tokens
        )

    def end_run(self, message: messages.RunEnded) -> state.Running | None:
        """Take in how a run ended; ``None`` when it had ended before."""
        run = self.runs.pop(message.run_id)
        if run is None:
            return None
        whole = message.result is messages.RunResult.DONE
        failed = message.result in FAILED
        self.parts.chooser.record_end(run.run_id, whole, failed)
        self.parts.limits.leave(run.organisation)
        self.parts.dispatcher.note_end(whole)
        if whole:
            self.keep(run)
        return run

    def withdraw(self, granted: messages.Granted) -> None:
        """Take a grant back that no entry was told of."""
        self.end_run(
            messages.RunEnded(
                granted.run_id,
                "",
                granted.endpoint,
                messages.RunResult.NOT_SENT,
            )
        )

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


def is_first_continuation(request: Request) -> bool:
    """Tell whether an answer is continued for the first time.

    An endpoint's death cuts all answers that it was giving; charged to the
    budget of retries, which is for few, most of them would end there.
    They are bounded by the endpoint's slots.
    """
    match request:
        case messages.Admit(continues=answer_id, lost=lost):
            return bool(answer_id) and len(lost) == 1
    return False
