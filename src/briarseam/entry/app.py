"""The CherryPy application of an entry: the frozen caller interface."""

from __future__ import annotations

import contextlib
import dataclasses
import time
import typing

import cherrypy
import msgspec

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import calls
from briarseam.answers import events as answer_events
from briarseam.answers import relay
from briarseam.answers import resume
from briarseam.answers import runs
from briarseam.cache import pieces
from briarseam.entry import counting
from briarseam.entry import problems
from briarseam.entry import requests
from briarseam.entry import timeline_page
from briarseam.lookup import messages as lookup_messages
from briarseam.metrics import messages as metrics_messages
from briarseam.status import messages as status_messages

if typing.TYPE_CHECKING:
    from briarseam import inflight
    from briarseam.answers import keeping
    from briarseam.endpoints import engine
    from briarseam.endpoints import service
    from briarseam.entry import agent_link
    from briarseam.entry import operators

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
REPLAYED = "Idempotent-Replayed"
PLAIN = "text/plain; version=0.0.4"
CALL_DEADLINE_MS = 30_000
WHERE_TIMEOUT_S = 2.0
STATUS_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True)
class EntryDependencies:
    """What the application works with, wired by ``compose``.

    Attributes
    ----------
    agent
        Link to the agent.
    engines, services
        Adapters to the endpoints.
    run_keeper
        Runs whose callers are gone.
    in_flight
        Counter for the graceful shutdown.
    teams
        Whom the operators' pages answer.
    render_metrics
        Returns this process's metrics as text.
    max_body_bytes
        Largest body a caller may send.
    """

    agent: agent_link.AgentLink
    engines: engine.EngineClient
    run_keeper: keeping.RunKeeper
    services: service.ServiceClient
    in_flight: inflight.InFlight
    teams: operators.Operators
    render_metrics: typing.Callable[[], str]
    max_body_bytes: int


@contextlib.contextmanager
def refusals_as_problems() -> typing.Iterator[None]:
    """Turn a verdict that ends a request into its HTTP answer."""
    try:
        yield
    except verdict.RefusalError as error:
        raise problems.Problem(error.given) from error


def respond_json(value: typing.Any) -> bytes:
    """Return JSON bytes and set the media type."""
    cherrypy.response.headers["Content-Type"] = JSON
    return msgspec.json.encode(value)


def respond_stream(
    events: typing.Iterator[bytes],
) -> typing.Iterator[bytes]:
    """Set up an event stream response."""
    headers = cherrypy.response.headers
    headers["Content-Type"] = EVENT_STREAM
    headers["Cache-Control"] = "no-store"
    cherrypy.response.stream = True
    return events


class Where:
    """``GET /v1/where``: which entries a session should use."""

    exposed = True

    def __init__(self, parts: EntryDependencies) -> None:
        self.parts = parts

    def GET(self, session: str = "") -> bytes:  # noqa: N802
        """Return addresses, best first, and how long they hold."""
        requests.check_framing()
        token_digest = requests.read_token()
        with refusals_as_problems():
            reply = self.parts.agent.ask(
                lookup_messages.Where(token_digest, session),
                (lookup_messages.Addresses,),
                WHERE_TIMEOUT_S,
            )
        return respond_json(reply)


class Answers:
    """``/v1/answers``: prompts, and answers resumed."""

    exposed = True

    def __init__(self, parts: EntryDependencies) -> None:
        self.parts = parts

    def POST(self) -> bytes | typing.Iterator[bytes]:  # noqa: N802
        """Run a prompt and stream its answer."""
        accepted_at = time.monotonic()
        raw = requests.read_raw(self.parts.max_body_bytes)
        body = requests.parse_answer(raw.body)
        ask = build_ask(raw, body, accepted_at)
        running = relay.Relay(
            ask, self.parts.agent, self.parts.engines, self.parts.run_keeper
        )
        with refusals_as_problems():
            opened = running.open()
        if isinstance(opened, messages.Replayed):
            return self.replay(raw.token_digest, opened)
        return respond_stream(running.events(opened))

    def GET(  # noqa: N802
        self, answer_id: str = ""
    ) -> typing.Iterator[bytes]:
        """Resume an answer after ``Last-Event-ID``."""
        requests.check_framing()
        token_digest = requests.read_token()
        offset = requests.read_last_event_id()
        with refusals_as_problems():
            return self.resume(token_digest, answer_id, offset)

    def resume(
        self, token_digest: str, answer_id: str, offset: int
    ) -> typing.Iterator[bytes]:
        """Return an answer's event stream from an offset on.

        Raises
        ------
        verdict.RefusalError
            When it cannot be had.
        """
        located = self.parts.agent.locate(token_digest, answer_id)
        resumption = resume.Resumption(
            located,
            answer_id,
            offset,
            self.parts.engines,
            self.parts.run_keeper,
        )
        stream = resumption.open()
        return respond_stream(resumption.events(stream))

    def replay(
        self, token_digest: str, replayed: messages.Replayed
    ) -> bytes | typing.Iterator[bytes]:
        """Return the answer that a key's first request was given.

        One that was not kept whole may still be had from its endpoint.
        """
        if replayed.whole or not replayed.answer_id:
            return replay_answer(replayed)
        cherrypy.response.headers[REPLAYED] = "true"
        with refusals_as_problems():
            try:
                return self.resume(token_digest, replayed.answer_id, 0)
            except verdict.RefusalError as error:
                given = resume.replay_failure_verdict(replayed, error.given)
                raise verdict.RefusalError(given) from error


class Services:
    """``POST /v1/services/{service}/{call}``."""

    exposed = True

    def __init__(self, parts: EntryDependencies) -> None:
        self.parts = parts

    def POST(self, service: str, call: str) -> bytes:  # noqa: N802
        """Make a call to a plain service and return its answer."""
        raw = requests.read_raw(self.parts.max_body_bytes)
        requests.check_json(raw.body)
        request = messages.AdmitCall(
            token_digest=raw.token_digest,
            service=service,
            call=call,
            key=raw.key,
            body_digest=raw.body_digest,
            deadline_ms=CALL_DEADLINE_MS,
            request=requests.name_request(),
        )
        return relay_call(self.parts, request, raw.body)


def relay_call(
    parts: EntryDependencies, request: messages.AdmitCall, body: bytes
) -> bytes:
    """Run a service call to its end."""
    with refusals_as_problems():
        answer = calls.CallRelay(
            request, body, parts.agent, parts.services
        ).run()
    if answer.replayed:
        cherrypy.response.headers[REPLAYED] = "true"
    cherrypy.response.status = answer.status
    cherrypy.response.headers["Content-Type"] = answer.content_type
    return answer.body


def build_ask(
    raw: requests.RawRequest,
    body: requests.AnswerBody,
    accepted_at: float,
) -> runs.PromptRequest:
    """Return what the relay needs of a validated request."""
    if not body.idempotent and not raw.key:
        raise problems.Problem(
            verdict.NotRun(
                verdict.Reason.KEY_INVALID,
                "a prompt with idempotent=false needs an Idempotency-Key",
            )
        )
    continued = requests.read_continued(body)
    tokens = pieces.split(body.prompt)
    admit = messages.Admit(
        token_digest=raw.token_digest,
        model=body.model,
        session=body.session,
        chain=tuple(pieces.chain_tokens(tokens)),
        prompt_tokens=len(tokens),
        max_tokens=body.max_tokens,
        priority=body.priority,
        deadline_ms=body.deadline_ms,
        idempotent=body.idempotent,
        key="" if body.idempotent else raw.key,
        body_digest=raw.body_digest,
        request=requests.name_request(),
        prompt_digest=requests.digest_prompt(tokens),
        continues=continued,
        passed_on=len(body.prior),
    )
    return runs.PromptRequest(admit, body.prompt, accepted_at, body.prior)


def replay_answer(replayed: messages.Replayed) -> bytes:
    """Return the event stream of an answer that was given before."""
    with refusals_as_problems():
        body = b"".join(answer_events.replayed_events(replayed))
    cherrypy.response.headers["Content-Type"] = EVENT_STREAM
    cherrypy.response.headers[REPLAYED] = "true"
    return body


class Status:
    """``GET /v1/status``: the agents, for operators."""

    exposed = True

    def __init__(self, parts: EntryDependencies) -> None:
        self.parts = parts

    def GET(self) -> bytes:  # noqa: N802
        """Return one row per agent of the cell."""
        self.parts.teams.check()
        with refusals_as_problems():
            reply = self.parts.agent.ask(
                status_messages.StatusAsked(all_members=True),
                (status_messages.Status,),
                STATUS_TIMEOUT_S,
            )
        return respond_json(reply)


class Metrics:
    """``GET /v1/metrics``: this instance's metrics, for operators."""

    exposed = True

    def __init__(self, parts: EntryDependencies) -> None:
        self.parts = parts

    def GET(self) -> bytes:  # noqa: N802
        """Return the plain scrape page of this entry and its agent.

        Without its agent an entry still shows its own.
        """
        self.parts.teams.check()
        cherrypy.response.headers["Content-Type"] = PLAIN
        reply = self.parts.agent.report(metrics_messages.MetricsAsked())
        text = self.parts.render_metrics()
        if isinstance(reply, metrics_messages.MetricsText):
            text += reply.text
        return text.encode()


class Version1:
    """The ``/v1`` folder."""

    def __init__(self, parts: EntryDependencies) -> None:
        self.status = Status(parts)
        self.metrics = Metrics(parts)
        self.timeline = timeline_page.TimelinePage(parts.teams, parts.agent)
        self.where = Where(parts)
        self.answers = Answers(parts)
        self.services = Services(parts)


class Root:
    """The root folder."""

    def __init__(self, parts: EntryDependencies) -> None:
        self.v1 = Version1(parts)


def build_application(parts: EntryDependencies) -> typing.Any:
    """Return the WSGI application."""
    config = {
        "/": {
            "request.dispatch": cherrypy.dispatch.MethodDispatcher(),
            "request.process_request_body": False,
            "request.show_tracebacks": False,
            "request.methods_with_bodies": ("POST",),
            "error_page.default": problems.render_default,
            "tools.encode.on": False,
            "checker.on": False,
        }
    }
    application = cherrypy.Application(Root(parts), "", config)
    # Requests are counted, not logged one by one.
    application.log.screen = False
    application.log.access_log.disabled = True
    return counting.CountingApplication(application, parts.in_flight)
