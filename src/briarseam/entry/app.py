"""The CherryPy application of an entry, with its HTTP interface."""

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

EVENT_STREAM_MEDIA_TYPE = "text/event-stream"
JSON = "application/json"
REPLAYED_HEADER = "Idempotent-Replayed"
METRICS_MEDIA_TYPE = "text/plain; version=0.0.4"
CALL_DEADLINE_MS = 30_000
WHERE_TIMEOUT_S = 2.0
STATUS_TIMEOUT_S = 4.0


@dataclasses.dataclass(frozen=True)
class EntryDependencies:
    """Dependencies of the application, set up by ``compose``.

    Attributes
    ----------
    agent
        Calls to the agent.
    engines, services
        Clients of the endpoints.
    run_keeper
        Keeps the runs of callers that have disconnected.
    in_flight
        Counter of the requests in flight, for the graceful shutdown.
    teams
        The teams whose operators may read the operators' pages.
    render_metrics
        Returns this process's metrics as text.
    max_body_bytes
        Maximum size of a request body.
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
    """Convert a refusal into an HTTP problem response."""
    try:
        yield
    except verdict.RefusalError as error:
        raise problems.Problem(error.given) from error


def respond_json(value: typing.Any) -> bytes:
    """Encode a value as JSON and set the media type."""
    cherrypy.response.headers["Content-Type"] = JSON
    return msgspec.json.encode(value)


def respond_stream(
    events: typing.Iterator[bytes],
) -> typing.Iterator[bytes]:
    """Make the current response an event stream."""
    headers = cherrypy.response.headers
    headers["Content-Type"] = EVENT_STREAM_MEDIA_TYPE
    headers["Cache-Control"] = "no-store"
    cherrypy.response.stream = True
    return events


class Where:
    """``GET /v1/where``: the entries that a session should use."""

    exposed = True

    def __init__(self, dependencies: EntryDependencies) -> None:
        self.dependencies = dependencies

    def GET(self, session: str = "") -> bytes:  # noqa: N802
        """Return the addresses, best first, and their time to live."""
        requests.check_framing()
        token_digest = requests.read_token()
        with refusals_as_problems():
            reply = self.dependencies.agent.query(
                lookup_messages.Where(token_digest, session),
                (lookup_messages.Addresses,),
                WHERE_TIMEOUT_S,
            )
        return respond_json(reply)


class Answers:
    """``/v1/answers``: runs prompts and resumes answers."""

    exposed = True

    def __init__(self, dependencies: EntryDependencies) -> None:
        self.dependencies = dependencies

    def POST(self) -> bytes | typing.Iterator[bytes]:  # noqa: N802
        """Run a prompt and stream its answer, or replay an earlier one."""
        accepted_at = time.monotonic()
        raw = requests.read_raw(self.dependencies.max_body_bytes)
        body = requests.parse_answer(raw.body)
        prompt_request = build_prompt_request(raw, body, accepted_at)
        answer_relay = relay.Relay(
            prompt_request,
            self.dependencies.agent,
            self.dependencies.engines,
            self.dependencies.run_keeper,
        )
        with refusals_as_problems():
            opened = answer_relay.open()
        if isinstance(opened, messages.Replayed):
            return self.replay(raw.token_digest, opened)
        return respond_stream(answer_relay.events(opened))

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
        """Return an answer's event stream, starting at an offset.

        Raises
        ------
        verdict.RefusalError
            When the answer is not available.
        """
        located = self.dependencies.agent.locate(token_digest, answer_id)
        resumption = resume.Resumption(
            located,
            answer_id,
            offset,
            self.dependencies.engines,
            self.dependencies.run_keeper,
        )
        stream = resumption.open()
        return respond_stream(resumption.events(stream))

    def replay(
        self, token_digest: str, replayed: messages.Replayed
    ) -> bytes | typing.Iterator[bytes]:
        """Return the answer to the first request with the same key.

        An answer that is not stored completely is resumed from its endpoint
        if it still has it.
        """
        if replayed.whole or not replayed.answer_id:
            return replay_answer(replayed)
        cherrypy.response.headers[REPLAYED_HEADER] = "true"
        with refusals_as_problems():
            try:
                return self.resume(token_digest, replayed.answer_id, 0)
            except verdict.RefusalError as error:
                given = resume.replay_failure_verdict(replayed, error.given)
                raise verdict.RefusalError(given) from error


class Services:
    """``POST /v1/services/{service}/{call}``."""

    exposed = True

    def __init__(self, dependencies: EntryDependencies) -> None:
        self.dependencies = dependencies

    def POST(self, service: str, call: str) -> bytes:  # noqa: N802
        """Call a plain service and return its answer."""
        raw = requests.read_raw(self.dependencies.max_body_bytes)
        requests.check_json(raw.body)
        request = messages.AdmitCall(
            token_digest=raw.token_digest,
            service=service,
            call=call,
            key=raw.key,
            body_digest=raw.body_digest,
            deadline_ms=CALL_DEADLINE_MS,
            request=requests.assign_request_id(),
        )
        return relay_call(self.dependencies, request, raw.body)


def relay_call(
    dependencies: EntryDependencies, request: messages.AdmitCall, body: bytes
) -> bytes:
    """Run a service call and return the body of its answer."""
    with refusals_as_problems():
        answer = calls.CallRelay(
            request, body, dependencies.agent, dependencies.services
        ).run()
    if answer.replayed:
        cherrypy.response.headers[REPLAYED_HEADER] = "true"
    cherrypy.response.status = answer.status
    cherrypy.response.headers["Content-Type"] = answer.content_type
    return answer.body


def build_prompt_request(
    raw: requests.RawRequest,
    body: requests.AnswerBody,
    accepted_at: float,
) -> runs.PromptRequest:
    """Return the relay's request for a validated prompt."""
    if not body.idempotent and not raw.key:
        raise problems.Problem(
            verdict.NotRun(
                verdict.Reason.KEY_INVALID,
                "a prompt with idempotent=false needs an Idempotency-Key",
            )
        )
    continued_answer_id = requests.read_continued_answer_id(body)
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
        request=requests.assign_request_id(),
        prompt_digest=requests.digest_prompt(tokens),
        continues=continued_answer_id,
        passed_on=len(body.prior),
    )
    return runs.PromptRequest(admit, body.prompt, accepted_at, body.prior)


def replay_answer(replayed: messages.Replayed) -> bytes:
    """Return the event stream of a completely stored answer."""
    with refusals_as_problems():
        body = b"".join(answer_events.replayed_events(replayed))
    cherrypy.response.headers["Content-Type"] = EVENT_STREAM_MEDIA_TYPE
    cherrypy.response.headers[REPLAYED_HEADER] = "true"
    return body


class Status:
    """``GET /v1/status``: the status of all agents, for operators."""

    exposed = True

    def __init__(self, dependencies: EntryDependencies) -> None:
        self.dependencies = dependencies

    def GET(self) -> bytes:  # noqa: N802
        """Return one row per agent of the cell."""
        self.dependencies.teams.check()
        with refusals_as_problems():
            reply = self.dependencies.agent.query(
                status_messages.StatusAsked(all_members=True),
                (status_messages.Status,),
                STATUS_TIMEOUT_S,
            )
        return respond_json(reply)


class Metrics:
    """``GET /v1/metrics``: this instance's metrics, for operators."""

    exposed = True

    def __init__(self, dependencies: EntryDependencies) -> None:
        self.dependencies = dependencies

    def GET(self) -> bytes:  # noqa: N802
        """Return the metrics of this entry and its agent as plain text.

        If the agent does not answer, only the entry's own are returned.
        """
        self.dependencies.teams.check()
        cherrypy.response.headers["Content-Type"] = METRICS_MEDIA_TYPE
        reply = self.dependencies.agent.report(metrics_messages.MetricsAsked())
        text = self.dependencies.render_metrics()
        if isinstance(reply, metrics_messages.MetricsText):
            text += reply.text
        return text.encode()


class Version1:
    """The resources below ``/v1``."""

    def __init__(self, dependencies: EntryDependencies) -> None:
        self.status = Status(dependencies)
        self.metrics = Metrics(dependencies)
        self.timeline = timeline_page.TimelinePage(
            dependencies.teams, dependencies.agent
        )
        self.where = Where(dependencies)
        self.answers = Answers(dependencies)
        self.services = Services(dependencies)


class Root:
    """The root of the resource tree."""

    def __init__(self, dependencies: EntryDependencies) -> None:
        self.v1 = Version1(dependencies)


def build_application(dependencies: EntryDependencies) -> typing.Any:
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
    application = cherrypy.Application(Root(dependencies), "", config)
    # Requests are counted, not logged individually.
    application.log.screen = False
    application.log.access_log.disabled = True
    return counting.CountingApplication(application, dependencies.in_flight)
