"""One attempt: sends a request to an endpoint and relays its answer."""

from __future__ import annotations

import dataclasses
import typing

import structlog

from briarseam import bounded_reads
from briarseam import clocks
from briarseam import transfers
from briarseam.discovery import announcements
from briarseam.forwarding import answer_limits
from briarseam.forwarding import calls
from briarseam.forwarding import connections
from briarseam.forwarding import held_bytes
from briarseam.forwarding import outcomes
from briarseam.forwarding import streams
from briarseam.forwarding import supervision
from briarseam.routes import model as routes

if typing.TYPE_CHECKING:
    import urllib3

    from briarseam import bounded_http
    from briarseam.discovery import model as discovery
    from briarseam.forwarding import server

SUCCESS_MIN = 200
SUCCESS_END = 300
SERVER_ERROR_MIN = 500
# Callers take these to mean "not run".  An answer that has one of them
# without the endpoint's guarantee is therefore never relayed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Another endpoint answers at this address, or another weight version.
MISDIRECTED = 421
# A connect needs some time, even if the deadline is at hand.
MIN_CONNECT_S = 0.01
log = structlog.get_logger("briarseam.forwarding")


def ignore_data() -> None:
    """Do nothing when bytes of a stream arrive."""


def always_current() -> bool:
    """Return that the headers may be sent; the default."""
    return True


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
    is_current
        Returns whether the headers may still be sent; asked once there is a
        connection.
    transfer
        How the answer is transferred.
    holding
        Counts the bytes that are held of the answer.
    max_part_s
        How long a part of the answer may take that has begun, in seconds;
        unlimited if no other endpoint could be tried.
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
    is_current: typing.Callable[[], bool] = always_current
    transfer: transfers.Transfer = dataclasses.field(
        default_factory=transfers.Transfer
    )
    holding: held_bytes.Holding = dataclasses.field(
        default_factory=held_bytes.unlimited
    )
    max_part_s: float = bounded_reads.UNLIMITED_S


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
    limits
        Limits of the answers.
    """

    def __init__(
        self,
        pool: connections.Pool,
        decode: DecodeAnswer,
        on_announced: OnAnnounced = ignore_announced,
        limits: answer_limits.AnswerLimits | None = None,
    ) -> None:
        self.pool = pool
        self.decode = decode
        self.on_announced = on_announced
        self.limits = limits or answer_limits.AnswerLimits()

    def send(self, attempt: Attempt) -> outcomes.Outcome:
        """Send a call to an endpoint once and relay the answer.

        Raises
        ------
        EndedError
            If the caller disconnected, the deadline has passed or the
            process stops.
        """
        endpoint, watch = attempt.endpoint, attempt.watch
        try:
            connection = self.pool.acquire(
                endpoint.id,
                endpoint.address,
                max(MIN_CONNECT_S, watch.remaining_s()),
            )
        except connections.UnreachableError as error:
            watch.check_time()
            return outcomes.Unreached(str(error))
        if not attempt.is_current():
            # Connecting may take as long as the request has left.
            connection.close()
            return outcomes.Withheld("the cached parts are shared otherwise")
        response: urllib3.BaseHTTPResponse | None = None
        try:
            watch.attach(connection)
            attempt.progress.maybe_sent = True
            sent_s = clocks.boot_clock()
            response = send_request(attempt, connection)
            attempt.transfer.framing = transfers.framing_of(response)
            outcome = self.handle_answer(attempt, connection, response, sent_s)
        except answer_limits.NETWORK_ERRORS as error:
            close(connection, response)
            # An error on a connection that was shut down on purpose is not
            # a failure of the endpoint.
            watch.check()
            return broken_by(attempt, error)
        except BaseException:
            close(connection, response)
            raise
        finally:
            connection.meter.stop_checking()
            watch.detach()
        if isinstance(outcome, outcomes.Broken):
            close(connection, response)
        else:
            self.return_connection(endpoint, connection, response)
        return outcome

    def handle_answer(
        self,
        attempt: Attempt,
        connection: bounded_http.Connection,
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
            answer_limits.drop_body(connection, response)
            return outcomes.Rejected(head.status, head.announced.backoff_s)
        success = SUCCESS_MIN <= head.status < SUCCESS_END
        if success and not head.signed:
            return outcomes.Broken("the answer is not signed")
        is_stream = attempt.route.repeat is routes.Repeat.STREAM
        if success and is_stream and head.event_stream:
            return self.relay_stream(attempt, connection, response, head)
        max_bytes = self.limits.body_bytes(attempt.transfer.framing)
        connection.meter.begin(max_bytes, attempt.max_part_s)
        body = answer_limits.read_whole(
            response, attempt.watch, attempt.holding, max_bytes
        )
        record_end(attempt)
        broken = self.confirm_end(attempt, response, head)
        if broken is not None:
            return broken
        if head.status >= SERVER_ERROR_MIN or head.status in NOT_RUN_STATUSES:
            return outcomes.Failed(head, body)
        if attempt.progress.events_sent:
            return outcomes.Broken("the answer does not continue the stream")
        attempt.watch.detach()
        streams.deliver(attempt.exchange, head, *body)
        return outcomes.Answered(head.status)

    def relay_stream(
        self,
        attempt: Attempt,
        connection: bounded_http.Connection,
        response: urllib3.BaseHTTPResponse,
        head: calls.AnswerHead,
    ) -> outcomes.Outcome:
        """Relay a stream as it arrives, in complete events."""
        relay = streams.StreamRelay(
            attempt.exchange, head, attempt.progress, attempt.on_first_event
        )
        try:
            with attempt.exchange.interrupted_by(attempt.watch.check_time):
                self.relay_events(attempt, connection.meter, response, relay)
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

    def relay_events(
        self,
        attempt: Attempt,
        meter: bounded_reads.Meter,
        response: urllib3.BaseHTTPResponse,
        relay: streams.StreamRelay,
    ) -> None:
        """Relay events until the stream ends.

        A stream may be as long as it likes, as long as it brings events: only
        events with data begin a new part.
        """
        splitter = relay.splitter
        meter.begin(self.limits.event_bytes, attempt.max_part_s)
        while data := response.read1(answer_limits.EVENT_READ_BYTES):
            attempt.watch.check_time()
            attempt.on_data()
            begun = len(splitter.remainder)
            attempt.holding.hold_answer(begun + len(data))
            events_before = splitter.events_with_data
            relay.feed(data)
            attempt.holding.hold_answer(len(splitter.remainder))
            if splitter.events_with_data > events_before:
                meter.begin(self.limits.event_bytes, attempt.max_part_s)
            elif not splitter.is_inside_event():
                meter.accept_keep_alive()

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
        connection: bounded_http.Connection,
        response: urllib3.BaseHTTPResponse,
    ) -> None:
        """Return the connection to the pool, unless it closes."""
        closing = response.headers.get("Connection", "").lower() == "close"
        spoiled = connection.sock is None or connection.meter.is_spoiled
        if closing or spoiled:
            close(connection, response)
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


def broken_by(attempt: Attempt, error: Exception) -> outcomes.Broken:
    """Return the outcome of an attempt that ended with an error."""
    end = transfers.end_of(error)
    attempt.transfer.end = end
    given_up = end in transfers.GIVEN_UP
    if given_up:
        log.warning(
            "answer_given_up",
            request=attempt.call.id,
            endpoint=attempt.endpoint.id,
            end=end.value,
            detail=str(error),
            events_sent=attempt.progress.events_sent,
        )
    if end is transfers.End.MALFORMED:
        log.warning(
            "answer_malformed",
            request=attempt.call.id,
            endpoint=attempt.endpoint.id,
            detail=str(error),
            events_sent=attempt.progress.events_sent,
        )
    return outcomes.Broken(f"{type(error).__name__}: {error}", given_up)


def close(
    connection: bounded_http.Connection,
    response: urllib3.BaseHTTPResponse | None,
) -> None:
    """Close a connection, also if its answer alone still holds it."""
    connection.close()
    if response is not None:
        response.close()


def send_request(
    attempt: Attempt, connection: bounded_http.Connection
) -> urllib3.BaseHTTPResponse:
    """Send the request and return the answer with its body unread."""
    connection.meter.check = attempt.watch.check_time
    connection.meter.recheck = attempt.watch.check
    connection.limits = dataclasses.replace(
        connections.LIMITS, head_s=attempt.max_part_s
    )
    connection.request(
        attempt.call.method,
        attempt.call.target,
        body=attempt.body or None,
        headers=attempt.headers,
        preload_content=False,
        decode_content=False,
    )
    return connection.getresponse()
