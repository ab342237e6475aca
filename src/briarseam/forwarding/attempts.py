"""Sending a request to one endpoint and passing its answer on."""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import typing

import urllib3.exceptions

from briarseam.forwarding import calls
from briarseam.forwarding import connections
from briarseam.forwarding import events
from briarseam.forwarding import outcomes
from briarseam.forwarding import supervision
from briarseam.routes import model as routes

if typing.TYPE_CHECKING:
    import urllib3
    import urllib3.connection

    from briarseam.discovery import model as discovery
    from briarseam.forwarding import server

READ_BYTES = 65536
OK_FROM = 200
OK_BELOW = 300
FAILURE_FROM = 500
# With these an endpoint says "not run"; without its promise a caller must
# not read them so.
PROMISING = frozenset({408, 421, 429, 503})
NETWORK_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


@dataclasses.dataclass
class Progress:
    """How far the answer to a call has come, over all its endpoints.

    Attributes
    ----------
    last_event_id
        Last event that the caller has.
    events_sent
        Whether any event of a stream went to the caller.
    asked
        Whether any byte of the request may have gone to an endpoint.
    """

    last_event_id: str | None = None
    events_sent: bool = False
    asked: bool = False


@dataclasses.dataclass(frozen=True)
class Errand:
    """A call on its way to one endpoint.

    Attributes
    ----------
    exchange
        The caller's request and answer.
    call, body, route
        What is asked.
    endpoint
        Who shall answer.
    headers
        Headers for the endpoint.
    watch
        Ends it early.
    progress
        What the caller has already.
    on_first_event
        Called when the first event has come from this endpoint.
    """

    exchange: server.Exchange
    call: calls.Call
    body: bytes
    route: routes.Route
    endpoint: discovery.Endpoint
    headers: dict[str, str]
    watch: supervision.Watch
    progress: Progress
    on_first_event: typing.Callable[[], None]


DecodeAnswer = typing.Callable[
    [int, typing.Sequence[tuple[str, str]]], calls.AnswerHead
]


class Sender:
    """Sends requests to endpoints.

    Parameters
    ----------
    pool
        Connections to endpoints.
    decode
        Decodes status and headers of an answer.
    """

    def __init__(self, pool: connections.Pool, decode: DecodeAnswer) -> None:
        self.pool = pool
        self.decode = decode

    def send(self, errand: Errand) -> outcomes.Outcome:
        """Send a call to an endpoint, once, and pass its answer on.

        Raises
        ------
        EndedError
            If the caller left or the deadline is over.
        """
        endpoint = errand.endpoint
        try:
            connection = self.pool.acquire(endpoint.id, endpoint.address)
        except connections.UnreachableError as error:
            return outcomes.Unreached(str(error))
        try:
            errand.watch.attach(connection)
            errand.progress.asked = True
            response = ask(errand, connection)
            outcome = self.take_answer(errand, response)
        except NETWORK_ERRORS as error:
            connection.close()
            # What the thread sees of a connection that was ended on purpose
            # is no failure of the endpoint.
            errand.watch.check()
            return outcomes.Broken(f"{type(error).__name__}: {error}")
        except BaseException:
            connection.close()
            raise
        finally:
            errand.watch.detach()
        if isinstance(outcome, outcomes.Broken):
            connection.close()
        else:
            self.keep(endpoint, connection, response)
        return outcome

    def take_answer(
        self, errand: Errand, response: urllib3.BaseHTTPResponse
    ) -> outcomes.Outcome:
        """Read an answer and pass it on where it is the caller's."""
        head = self.decode(response.status, list(response.headers.items()))
        if head.call_id and head.call_id != errand.call.id:
            # A second answer to an earlier request on this connection.
            return outcomes.Broken("the answer is to another request")
        if head.not_run:
            response.read()
            return outcomes.Rejected(head.status, head.retry_after_s)
        good = OK_FROM <= head.status < OK_BELOW
        if good and not head.signed:
            return outcomes.Broken("the answer bears no signature")
        if good and errand.route.repeat is routes.Repeat.STREAM:
            return self.relay(errand, response, head)
        body = response.read()
        check_whole(errand, response)
        if head.status >= FAILURE_FROM or head.status in PROMISING:
            return outcomes.Failed(head, body)
        if errand.progress.events_sent:
            return outcomes.Broken("no stream to go on with")
        errand.watch.detach()
        deliver(errand.exchange, head, body)
        return outcomes.Answered(head.status)

    def relay(
        self,
        errand: Errand,
        response: urllib3.BaseHTTPResponse,
        head: calls.AnswerHead,
    ) -> outcomes.Outcome:
        """Pass a stream on as it comes, in whole events."""
        rest = b""
        begun = False
        while True:
            data = response.read1(READ_BYTES)
            if not data:
                break
            whole, rest = events.split_whole(rest + data)
            if whole and not begun:
                errand.on_first_event()
                begun = True
            if whole:
                pass_on(errand, head, whole)
        check_whole(errand, response)
        if not errand.progress.events_sent:
            errand.watch.detach()
            deliver(errand.exchange, head, rest)
            return outcomes.Answered(head.status)
        with caller_errors():
            errand.exchange.send(rest)
            errand.exchange.finish()
        return outcomes.Answered(head.status)

    def keep(
        self,
        endpoint: discovery.Endpoint,
        connection: urllib3.connection.HTTPConnection,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        """Keep the connection for the next request, if it lives on."""
        closing = response.headers.get("Connection", "").lower() == "close"
        if closing or connection.sock is None:
            connection.close()
            return
        self.pool.release(
            endpoint.id,
            endpoint.address,
            connection,
            response.headers.get("Keep-Alive", ""),
        )


def check_whole(errand: Errand, response: urllib3.BaseHTTPResponse) -> None:
    """Make sure that an answer which has been read is whole.

    Guard: the end of the connection is the end of an answer without a length
    and without chunks.  A request that was ended shuts the connection down,
    and the part that had come would be passed on as the whole answer.  An
    answer with a length or chunks fails when it is cut off.

    Raises
    ------
    EndedError
        If the request was ended and only the connection's end tells the
        answer's.
    """
    framed = (
        "Content-Length" in response.headers
        or "Transfer-Encoding" in response.headers
    )
    if not framed:
        errand.watch.release()


def ask(
    errand: Errand, connection: urllib3.connection.HTTPConnection
) -> urllib3.BaseHTTPResponse:
    """Send the request and return the answer, its body unread."""
    connection.request(
        errand.call.method,
        errand.call.target,
        body=errand.body or None,
        headers=errand.headers,
        preload_content=False,
        decode_content=False,
    )
    return connection.getresponse()


def pass_on(errand: Errand, head: calls.AnswerHead, whole: bytes) -> None:
    """Pass whole events on to the caller."""
    progress = errand.progress
    with caller_errors():
        if progress.events_sent:
            errand.exchange.send(whole)
        else:
            errand.exchange.begin(head.status, head.headers, whole)
    progress.events_sent = True
    progress.last_event_id = events.last_id(whole) or progress.last_event_id


def deliver(
    exchange: server.Exchange, head: calls.AnswerHead, body: bytes
) -> None:
    """Give the caller a whole answer of an endpoint."""
    with caller_errors():
        exchange.answer(head.status, head.headers, body)


@contextlib.contextmanager
def caller_errors() -> typing.Iterator[None]:
    """Turn errors of the caller's connection into the request's end."""
    try:
        yield
    except OSError as error:
        raise supervision.EndedError(supervision.Ending.CALLER_GONE) from error
