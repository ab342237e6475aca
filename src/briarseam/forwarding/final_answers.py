"""Final answers to callers whose requests no endpoint answered."""

from __future__ import annotations

import typing

import structlog

from briarseam import clocks
from briarseam import verdict
from briarseam.forwarding import attempts
from briarseam.forwarding import refusing
from briarseam.forwarding import relay_headers
from briarseam.forwarding import streams
from briarseam.forwarding import supervision

if typing.TYPE_CHECKING:
    from briarseam.forwarding import request_context
    from briarseam.forwarding import server

log = structlog.get_logger("briarseam.forwarding")


class FinalAnswers:
    """Sends final answers, and counts and logs how requests ended.

    Parameters
    ----------
    deps
        Dependencies of forwarding.
    """

    def __init__(self, deps: request_context.Dependencies) -> None:
        self.deps = deps

    def answer_failure(self, context: request_context.Context) -> str:
        """Send the caller the final answer when no attempt succeeded."""
        if context.exchange.head_sent:
            context.exchange.abort()
            return "broken-off"
        failed = context.failed
        if failed is not None and (
            failed.head.status not in attempts.NOT_RUN_STATUSES
        ):
            context.watch.detach()
            # Another endpoint may have been tried since.
            context.exchange.extra_headers = ()
            streams.deliver(context.exchange, failed.head, *failed.body)
            return f"failed-{failed.head.status}"
        final_verdict = context.refusal
        if context.may_have_run or final_verdict is None:
            final_verdict = refusing.LOST
        elif context.sends:
            # Endpoints may have asked for a backoff when they rejected it.
            excluded = self.deps.chooser.exclusion(context.request())
            final_verdict = excluded or final_verdict
        self.answer(context.exchange, final_verdict)
        return f"refused-{final_verdict.reason.value}"

    def answer_ended(
        self, context: request_context.Context, ending: supervision.Ending
    ) -> str:
        """Answer a request that was ended early, if still possible.

        An answer that has begun is broken off by its exchange.
        """
        if ending is supervision.Ending.CALLER_GONE:
            context.exchange.abort()
        else:
            self.answer(
                context.exchange,
                refusing.verdict_of(ending, context.may_have_run),
            )
        return ending.value

    def refuse_and_close(self, exchange: server.Exchange, detail: str) -> None:
        """Refuse a request of unknown length and close its connection."""
        exchange.close_after()
        self.refuse(exchange, "", refusing.malformed(detail))

    def refuse_unread(
        self, exchange: server.Exchange, final_verdict: verdict.NotRun
    ) -> None:
        """Refuse a request whose body has not been read to its end."""
        unread = exchange.has_unread_body()
        if unread:
            exchange.close_after()
        self.refuse(exchange, "", final_verdict)
        if unread:
            exchange.drain()

    def refuse(
        self,
        exchange: server.Exchange,
        call_id: str,
        final_verdict: verdict.Verdict,
    ) -> None:
        """Refuse a request that was not sent to any endpoint."""
        self.answer(exchange, final_verdict)
        self.deps.metrics.answers.labelled(
            f"refused-{final_verdict.reason.value}"
        ).add()
        log.info(
            "request_refused",
            request=call_id,
            host_path=exchange.target[:120],
            reason=final_verdict.reason.value,
            ran=verdict.ran_word(final_verdict),
            detail=final_verdict.detail,
        )

    def answer(
        self, exchange: server.Exchange, final_verdict: verdict.Verdict
    ) -> None:
        """Send a verdict; ignore that the caller may have disconnected."""
        if exchange.relayed:
            exchange.extra_headers = relay_headers.of_verdict(final_verdict)
        try:
            self.deps.refusals.send(exchange, final_verdict)
        except OSError as error:
            log.info("caller_gone", detail=str(error))
            exchange.abort()

    def record_end(
        self, context: request_context.Context, result: str
    ) -> None:
        """Count and log a request that has ended."""
        took_s = clocks.boot_clock() - context.arrived_s
        self.deps.metrics.answers.labelled(result).add()
        self.deps.metrics.answer_us.record_s(took_s)
        log.info(
            "request_ended",
            request=context.call.id,
            route=context.route.name,
            service=context.service.name,
            configuration=context.configuration,
            steps=context.steps,
            outcome=result,
            took_ms=round(took_s * 1000),
            **context.log_fields(),
        )
