"""One attempt: sends a request to an endpoint and relays its answer."""

from __future__ import annotations

import dataclasses
import http.client
import typing

import structlog
import urllib3.exceptions

from briarseam import clocks
from briarseam import transfers
from briarseam.discovery import announcements
from briarseam.forwarding import calls
from briarseam.forwarding import connections
from briarseam.forwarding import held_bytes
from briarseam.forwarding import outcomes
from briarseam.forwarding import streams
from briarseam.forwarding import supervision
from briarseam.routes import model as routes

if typing.TYPE_CHECKING:
    import urllib3
    import urllib3.connection

    from briarseam.discovery import model as discovery
    from briarseam.forwarding import server

READ_BYTES = 65536
SUCCESS_MIN = 200
SUCCESS_END = 300
SERVER_ERROR_MIN = 500
# Callers take these to mean "not run".  An answer that has one of them
# without the endpoint's guarantee is therefore never relayed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Another endpoint answers at this address, or another weight version.
MISDIRECTED = 421
NETWORK_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)
log = structlog.get_logger("briarseam.forwarding")


def ignore_data() -> None:
    """Do nothing when bytes of a stream arrive."""


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An attempt to have one endpoint answer a call.

    Attributes
    ----------
    exchange
        The caller's request and answer.
    call, body, route
        The request to send.
    endpoint
        The endpoint to send it to.
    headers
        Headers for the endpoint.
    watch
        Ends the attempt early.
    progress
        Progress of the answer to the caller.
    on_first_event
        Called when the first event arrives from this endpoint.
    on_data
        Called when bytes of a stream arrive from it.
    relayed
        Whether `endpoint` is another instance, which has an endpoint answer.
    transfer
        How the answer is transferred.
    holding
        Counts the bytes that are held of the answer.
    """

    exchange: server.Exchange
    call: calls.Call
    body: bytes
    route: routes.Route
    endpoint: discovery.Endpoint
    headers: dict[str, str]
    watch: supervision.Watch
    progress: streams.Progress
    on_first_event: typing.Callable[[], None]
    on_data: typing.Callable[[], None] = ignore_data
    relayed: bool = False
    transfer: transfers.Transfer = dataclasses.field(
        default_factory=transfers.Transfer
    )
    holding: held_bytes.Holding = dataclasses.field(
        default_factory=held_bytes.unlimited
    )


DecodeAnswer = typing.Callable[
    [int, typing.Sequence[tuple[str, str]]], calls.AnswerHead
]
OnAnnounced = typing.Callable[[str, announcements.Announcements, float], None]


def ignore_announced(
    endpoint: str, announced: announcements.Announcements, sent_s: float
) -> None:
    """Ignore what an endpoint tells of itself."""
    del endpoint, announced, sent_s


class Sender:
    """Sends requests to endpoints.

    Parameters
    ----------
    pool
        Connections to endpoints.
    decode
        Decodes the status and headers of an answer.
    on_announced
        Called with the id of an endpoint, what its answer tells of it, and
        when the request was sent by the boot clock, before the answer is
        relayed.
    """

    def __init__(
        self,
        pool: connections.Pool,
        decode: DecodeAnswer,
        on_announced: OnAnnounced = ignore_announced,
    ) -> None:
        self.pool = pool
        self.decode = decode
        self.on_announced = on_announced

    def send(self, attempt: Attempt) -> outcomes.Outcome:
        """Send a call to an endpoint once and relay the answer.

        Raises
        ------
        EndedError
            If the caller disconnected, the deadline has passed or the
            process stops.
        """
        endpoint = attempt.endpoint
        try:
            connection = self.pool.acquire(endpoint.id, endpoint.address)
        except connections.UnreachableError as error:
            return outcomes.Unreached(str(error))
        try:
            attempt.watch.attach(connection)
            attempt.progress.maybe_sent = True
            sent_s = clocks.boot_clock()
            response = send_request(attempt, connection)
            attempt.transfer.framing = transfers.framing_of(response)
            outcome = self.handle_answer(attempt, response, sent_s)
        except NETWORK_ERRORS as error:
            connection.close()
            # An error on a connection that was shut down on purpose is not
            # a failure of the endpoint.
            attempt.watch.check()
            attempt.transfer.end = transfers.end_of(error)
            return outcomes.Broken(f"{type(error).__name__}: {error}")
        except BaseException:
            connection.close()
            raise
        finally:
            attempt.watch.detach()
        if isinstance(outcome, outcomes.Broken):
            connection.close()
        else:
            self.return_connection(endpoint, connection, response)
        return outcome

    def handle_answer(
        self,
        attempt: Attempt,
        response: urllib3.BaseHTTPResponse,
        sent_s: float,
    ) -> outcomes.Outcome:
        """Read an answer and relay it if it is the final one."""
        head = self.decode(response.status, list(response.headers.items()))
        if head.call_id and head.call_id != attempt.call.id:
            # A duplicate answer to an earlier request on this connection.
            return outcomes.Broken("the answer belongs to another request")
        answered_by = head.endpoint if attempt.relayed else attempt.endpoint.id
        if answered_by and head.status != MISDIRECTED:
            self.on_announced(answered_by, head.announced, sent_s)
        if head.not_run:
            response.read()
            return outcomes.Rejected(head.status, head.announced.backoff_s)
        success = SUCCESS_MIN <= head.status < SUCCESS_END
        if success and not head.signed:
            return outcomes.Broken("the answer is not signed")
        is_stream = attempt.route.repeat is routes.Repeat.STREAM
        if success and is_stream and head.event_stream:
            return self.relay_stream(attempt, response, head)
        body = read_whole(attempt, response)
        record_end(attempt)
        broken = self.confirm_end(attempt, response, head)
        if broken is not None:
            return broken
        if head.status >= SERVER_ERROR_MIN or head.status in NOT_RUN_STATUSES:
            return outcomes.Failed(head, body)
        if attempt.progress.events_sent:
            return outcomes.Broken("the answer does not continue the stream")
        attempt.watch.detach()
        streams.deliver(attempt.exchange, head, body)
        return outcomes.Answered(head.status)

    def relay_stream(
        self,
        attempt: Attempt,
        response: urllib3.BaseHTTPResponse,
        head: calls.AnswerHead,
    ) -> outcomes.Outcome:
        """Relay a stream as it arrives, in complete events."""
        relay = streams.StreamRelay(
            attempt.exchange, head, attempt.progress, attempt.on_first_event
        )
        try:
            while data := response.read1(READ_BYTES):
                attempt.on_data()
                begun = len(relay.splitter.remainder)
                attempt.holding.hold_answer(begun + len(data))
                relay.feed(data)
                begun = len(relay.splitter.remainder)
                attempt.holding.hold_answer(begun)
        except streams.NotContinuedError as error:
            return outcomes.Broken(str(error))
        splitter = relay.splitter
        attempt.transfer.remainder_bytes = len(splitter.remainder)
        record_end(attempt)
        if splitter.is_inside_event():
            return outcomes.Broken("the stream ended inside an event")
        closed = attempt.transfer.end is transfers.End.CLOSED
        if closed and not relay.started:
            return outcomes.Broken("the stream ended before any event")
        broken = self.confirm_end(attempt, response, head)
        if broken is not None:
            return broken
        attempt.watch.detach()
        relay.finish()
        return outcomes.Answered(head.status)

    def confirm_end(
        self,
        attempt: Attempt,
        response: urllib3.BaseHTTPResponse,
        head: calls.AnswerHead,
    ) -> outcomes.Broken | None:
        """Return why an answer that seems complete is not.

        The end of the connection completes an answer without a length or
        chunks, but also comes when the endpoint's process crashes.  Nothing
        listens at its address then, and its other connections end as well:
        behind a cut, new connections may be refused while others live on.  A
        connection that is made is kept for the next request, in place of the
        one that has ended.
        """
        if attempt.transfer.framing is not transfers.Framing.CONNECTION:
            return None
        if head.announced.leaving:
            # Its process may end after its last answer.
            return None
        endpoint = attempt.endpoint
        try:
            connection = self.pool.connect(endpoint.address)
        except connections.RefusedError as error:
            if self.pool.has_open(endpoint.id, endpoint.address):
                return None
            return outcomes.Broken(f"the endpoint has ended: {error}")
        except connections.UnreachableError as error:
            log.info(
                "end_of_answer_unconfirmed",
                request=attempt.call.id,
                endpoint=endpoint.id,
                detail=str(error),
            )
            return None
        keep_alive = response.headers.get("Keep-Alive", "")
        self.pool.release(
            endpoint.id, endpoint.address, connection, keep_alive
        )
        return None

    def return_connection(
        self,
        endpoint: discovery.Endpoint,
        connection: urllib3.connection.HTTPConnection,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        """Return the connection to the pool, unless it closes."""
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


def record_end(attempt: Attempt) -> None:
    """Record that the end of an answer's body was received.

    Ending a request shuts down its connection, which looks like the end of
    an answer without a length or chunks.

    Raises
    ------
    EndedError
        If such an answer's request was ended.
    """
    if attempt.transfer.framing is transfers.Framing.CONNECTION:
        attempt.watch.detach_unless_ended()
    attempt.transfer.record_end_of_body()


def read_whole(attempt: Attempt, response: urllib3.BaseHTTPResponse) -> bytes:
    """Return the complete body of an answer, counted while it arrives."""
    pieces = []
    size = 0
    while data := response.read1(READ_BYTES):
        size += len(data)
        attempt.holding.hold_answer(size)
        pieces.append(data)
    return b"".join(pieces)


def send_request(
    attempt: Attempt, connection: urllib3.connection.HTTPConnection
) -> urllib3.BaseHTTPResponse:
    """Send the request and return the answer with its body unread."""
    connection.request(
        attempt.call.method,
        attempt.call.target,
        body=attempt.body or None,
        headers=attempt.headers,
        preload_content=False,
        decode_content=False,
    )
    return connection.getresponse()
