"""Events about requests, seen in the messages between entry and agent.

Every step of a request that matters is a message between its entry and its
agent, so the events are noted where messages pass and no other slice has to
know of the time line.  Both sides note: an entry knows what its caller got,
and an agent still remembers when the entry is gone.
"""

from __future__ import annotations

import collections
import threading
import typing

from briarseam.admission import messages
from briarseam.timeline import kinds
from briarseam.wire import codec

if typing.TYPE_CHECKING:
    from briarseam.timeline import ring as rings

MAX_RUNS = 20_000
NOT_RUN = "no"
LOST = frozenset(
    {
        messages.RunResult.LOST_BEFORE_FIRST,
        messages.RunResult.LOST_AFTER_FIRST,
    }
)
Kind = kinds.Kind
Request = messages.Admit | messages.AdmitCall


class Runs:
    """Which request a run belongs to, for the newest runs."""

    def __init__(self, capacity: int = MAX_RUNS) -> None:
        self.capacity = capacity
        self.requests: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )
        self.lock = threading.Lock()

    def add(self, run: str, request: str) -> None:
        """Remember a run; the oldest makes room."""
        with self.lock:
            self.requests[run] = request
            if len(self.requests) > self.capacity:
                self.requests.popitem(last=False)

    def get(self, run: str) -> str:
        """Return a run's request, empty when it is not known."""
        return self.requests.get(run, "")

    def pop(self, run: str) -> str | None:
        """Forget a run; ``None`` when it ended before or is not known."""
        with self.lock:
            return self.requests.pop(run, None)


class EntryObserver:
    """Notes what an entry asks of its agent and tells it.

    Parameters
    ----------
    ring
        The entry's events.
    """

    def __init__(self, ring: rings.Ring) -> None:
        self.ring = ring
        self.runs = Runs()

    def on_request(self, request: codec.Message) -> None:
        """Note a message before it is sent."""
        match request:
            case messages.Admit():
                self.note_prompt(request)
            case messages.AdmitCall():
                self.note_call(request)
            case messages.RunStarted():
                self.ring.note(
                    Kind.FIRST_TOKEN,
                    request=self.runs.get(request.run_id),
                    run=request.run_id,
                    first_token_ms=round(request.first_token_ms, 1),
                    cached_tokens=request.cached_tokens,
                )
            case messages.RunEnded():
                self.note_end(request)

    def on_reply(self, request: codec.Message, reply: codec.Message) -> None:
        """Note what the agent answered, where the agent may not know."""
        match request, reply:
            case (
                messages.Admit() | messages.AdmitCall(),
                messages.Granted(run_id=run),
            ):
                self.runs.add(run, request.request)
            case (
                messages.Admit() | messages.AdmitCall(),
                codec.Failed(kind=kind),
            ):
                self.ring.note(
                    Kind.REFUSED,
                    request=request.request,
                    reason="agent-unavailable",
                    failure=kind,
                )
            case messages.Locate(), messages.Located():
                self.ring.note(
                    Kind.RESUMED,
                    request=self.runs.get(reply.run_id),
                    endpoint=reply.endpoint,
                    organisation=reply.organisation,
                    run=reply.run_id,
                )

    def note_prompt(self, ask: messages.Admit) -> None:
        """Note that a prompt was accepted, or is tried again."""
        if ask.continues:
            self.ring.keep(ask.request)
            self.ring.note(
                Kind.CONTINUED,
                request=ask.request,
                endpoint=ask.lost[-1] if ask.lost else "",
                passed_on=ask.passed_on,
            )
        elif ask.lost:
            self.note_retry(ask)
        else:
            keep_keyed(self.ring, ask)
            self.ring.note(
                Kind.ACCEPTED,
                request=ask.request,
                model=ask.model,
                prompt_tokens=ask.prompt_tokens,
                priority=ask.priority,
                deadline_ms=ask.deadline_ms,
                **key_of(ask),
            )

    def note_call(self, ask: messages.AdmitCall) -> None:
        """Note that a service call was accepted, or is tried again."""
        if ask.lost:
            self.note_retry(ask)
            return
        keep_keyed(self.ring, ask)
        self.ring.note(
            Kind.ACCEPTED,
            request=ask.request,
            service=ask.service,
            call=ask.call,
            deadline_ms=ask.deadline_ms,
            **key_of(ask),
        )

    def note_retry(self, ask: Request) -> None:
        """Note that another endpoint is asked for."""
        self.ring.keep(ask.request)
        self.ring.note(
            Kind.RETRIED,
            request=ask.request,
            endpoint=ask.lost[-1],
            lost=len(ask.lost),
        )

    def note_end(self, ended: messages.RunEnded) -> None:
        """Note a run's end, once however often it is reported."""
        request = self.runs.pop(ended.run_id)
        if request is not None:
            note_end(self.ring, Kind.ENDED, ended, request)


class AgentObserver:
    """Notes what an agent decides.

    Parameters
    ----------
    ring
        The agent's events.
    """

    def __init__(self, ring: rings.Ring) -> None:
        self.ring = ring
        self.runs = Runs()

    def on_request(self, request: codec.Message) -> None:
        """Note a message before it is handled."""
        match request:
            case messages.Admit() | messages.AdmitCall():
                self.ring.about(request.request)
                keep_keyed(self.ring, request)
                self.ring.note(
                    Kind.ADMITTING,
                    request=request.request,
                    lost=len(request.lost),
                    **key_of(request),
                )
            case messages.AttemptAbandoned():
                self.ring.note(
                    Kind.ABANDONED, key=request.key, attempt=request.attempt
                )
            case messages.RunEnded():
                known = self.runs.pop(request.run_id)
                self.ring.about(known or "")
                if known is not None:
                    note_end(self.ring, Kind.SETTLED, request, known)

    def on_reply(self, request: codec.Message, reply: codec.Message) -> None:
        """Note the decision about a request."""
        self.ring.about("")
        match request, reply:
            case messages.Admit() | messages.AdmitCall(), messages.Granted():
                self.note_grant(request, reply)
            case messages.Admit() | messages.AdmitCall(), messages.Refused():
                if reply.ran != NOT_RUN:
                    self.ring.keep(request.request)
                self.ring.note(
                    Kind.REFUSED,
                    request=request.request,
                    reason=reply.reason,
                    ran=reply.ran,
                    retry_after_s=round(reply.retry_after_s or 0.0, 3),
                )
            case messages.Admit() | messages.AdmitCall(), messages.Replayed():
                self.ring.note(
                    Kind.REPLAYED,
                    request=request.request,
                    status=reply.status,
                    whole=reply.whole,
                )
            case messages.Admit() | messages.AdmitCall(), codec.Failed():
                self.ring.note(
                    Kind.REFUSED, request=request.request, reason=reply.kind
                )

    def note_grant(self, request: Request, grant: messages.Granted) -> None:
        """Note a grant and whose run it is."""
        self.runs.add(grant.run_id, request.request)
        self.ring.note(
            Kind.GRANTED,
            request=request.request,
            endpoint=grant.endpoint,
            organisation=grant.organisation,
            run=grant.run_id,
            version=grant.version,
            priority=grant.priority,
        )


def note_end(
    ring: rings.Ring, kind: Kind, ended: messages.RunEnded, request: str
) -> None:
    """Note how a run ended."""
    if ended.result in LOST:
        ring.keep(request)
    ring.note(
        kind,
        request=request,
        endpoint=ended.endpoint,
        run=ended.run_id,
        result=ended.result.value,
        tokens=ended.tokens,
        status=ended.status,
    )


def keep_keyed(ring: rings.Ring, ask: Request) -> None:
    """Keep what happened to a request with a key for longer.

    Hours later somebody asks whether a submission was filed or a booking
    made, and it must run at most once; there are not many of these.
    """
    if ask.key:
        ring.keep(ask.request)


def key_of(ask: Request) -> dict[str, typing.Any]:
    """Return the idempotency key of a request that has one, as a field."""
    return {"key": ask.key} if ask.key else {}
