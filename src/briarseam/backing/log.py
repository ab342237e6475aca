"""Client of the append-only log service."""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgpack
import structlog
import urllib3

from briarseam import backoff
from briarseam import bounded_http

APPEND_TIMEOUT_S = 2.0
READ_SLACK_S = 2.0
RETRY_S = 0.25
MAX_RETRY_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
MAX_READ_RECORDS = 1000
HTTP_OK = 200
HTTP_TOO_MANY_REQUESTS = 429
REFUSAL_STATUSES = frozenset({400, 404, 413, 429})
log = structlog.get_logger("briarseam.backing")


@dataclasses.dataclass(frozen=True)
class Appended:
    """The record has been appended to the stream at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True)
class AppendRefused:
    """The record is not in the stream and is never going to be.

    Attributes
    ----------
    detail
        The reason, in one sentence.
    retry_after_s
        Delay in seconds after which another append may succeed.
    throttled
        Whether the log service rejected the append by its rate limit.
    """

    detail: str
    retry_after_s: float
    throttled: bool = False


@dataclasses.dataclass(frozen=True)
class AppendUnknown:
    """The record may be in the stream already, or appear in it later."""

    detail: str


AppendOutcome = Appended | AppendRefused | AppendUnknown


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of a stream.

    Attributes
    ----------
    offset
        Position in the stream; consecutive, starting at 1.
    time_ms
        Time of the append by the log service's clock, in ms since the
        Unix epoch.
    data
        The appended bytes.
    """

    offset: int
    time_ms: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Batch:
    """The result of one read.

    Attributes
    ----------
    first
        Lowest offset that is still retained.
    next
        Offset of the next append.
    records
        Records by ascending offset, without gaps.
    """

    first: int
    next: int
    records: tuple[Record, ...]


class LogUnavailableError(Exception):
    """The log cannot be read at present."""


class LogClient:
    """Appends to and reads from the log service.

    Parameters
    ----------
    address
        ``ip:port`` of the service.
    append_timeout_s
        Timeout of one append in seconds.
    """

    def __init__(
        self, address: str, append_timeout_s: float = APPEND_TIMEOUT_S
    ) -> None:
        self.address = address
        self.append_timeout_s = append_timeout_s
        # No retries by urllib3: an append whose response was lost may
        # have taken effect, and only its writer can resolve that.
        self.pool = bounded_http.pool_manager(
            maxsize=32, retries=False, headers={"Accept": "*/*"}
        )

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record.

        Parameters
        ----------
        stream
            Name of the stream.
        data
            The record, of 1 MiB at most.
        """
        url = f"http://{self.address}/streams/{stream}"
        try:
            response = self.pool.request(
                "POST", url, body=data, timeout=self.append_timeout_s
            )
        except urllib3.exceptions.NewConnectionError as error:
            return AppendRefused(str(error), DEFAULT_RETRY_AFTER_S)
        except urllib3.exceptions.HTTPError as error:
            return AppendUnknown(str(error))
        if response.status == HTTP_OK:
            return Appended(int(response.json()["offset"]))
        detail = f"the log service returned HTTP status {response.status}"
        if response.status in REFUSAL_STATUSES:
            throttled = response.status == HTTP_TOO_MANY_REQUESTS
            return AppendRefused(detail, retry_after(response), throttled)
        return AppendUnknown(detail)

    def read(
        self,
        stream: str,
        after: int,
        wait_ms: int = 0,
        limit: int = MAX_READ_RECORDS,
    ) -> Batch:
        """Return the records whose offset is above ``after``.

        Parameters
        ----------
        stream
            Name of the stream.
        after
            Last offset already read.
        wait_ms
            Duration of a long poll in ms: the service waits up to this
            long for a first record.
        limit
            Maximum number of records.

        Raises
        ------
        LogUnavailableError
            When the request fails, or its response has another status than
            200 or can't be decoded.
        """
        url = (
            f"http://{self.address}/streams/{stream}"
            f"?after={after}&wait_ms={wait_ms}&max={limit}"
        )
        try:
            response = self.pool.request(
                "GET", url, timeout=wait_ms / 1000 + READ_SLACK_S
            )
            if response.status != HTTP_OK:
                raise LogUnavailableError(
                    f"the read returned HTTP status {response.status}"
                )
            return parse_batch(response.data)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise LogUnavailableError(str(error)) from error


def retry_after(response: urllib3.BaseHTTPResponse) -> float:
    """Return a response's Retry-After in seconds, or the default."""
    try:
        return float(response.headers.get("Retry-After", ""))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


def parse_batch(data: bytes) -> Batch:
    """Decode the msgpack body of a read's response."""
    body = msgpack.unpackb(data, raw=False)
    records = tuple(Record(*entry) for entry in body["records"])
    return Batch(int(body["first"]), int(body["next"]), records)


class Follower:
    """A thread that passes each batch of a stream to a callback, in order.

    Parameters
    ----------
    client
        Client of the log service.
    stream
        Name of the stream.
    after
        Last offset that has already been read.
    on_batch
        Called with each batch, also with empty ones, so that the owner
        can tell how current its state is.
    wait_ms
        Duration of one long poll in ms.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        after: int,
        on_batch: typing.Callable[[Batch], None],
        wait_ms: int = 1000,
    ) -> None:
        self.client = client
        self.stream = stream
        self.after = after
        self.on_batch = on_batch
        self.wait_ms = wait_ms
        self.stopping = threading.Event()
        self.available = True
        self.thread = threading.Thread(
            target=self.follow, name=f"follow-{stream}", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self) -> None:
        """Make the thread stop after the current poll."""
        self.stopping.set()

    def follow(self) -> None:
        """Read until stopped; back off while the log is unavailable."""
        retry_delays = backoff.Backoff(RETRY_S, MAX_RETRY_S)
        # The first read returns at once, so that the owner of an empty
        # stream does not wait for a poll to learn that it is current.
        wait_ms = 0
        while not self.stopping.is_set():
            try:
                batch = self.client.read(self.stream, self.after, wait_ms)
            except LogUnavailableError as error:
                self.record_availability(False, str(error))
                self.stopping.wait(retry_delays.next_s())
                continue
            retry_delays.reset()
            wait_ms = self.wait_ms
            self.record_availability(True, "")
            self.on_batch(batch)
            if batch.records:
                self.after = batch.records[-1].offset

    def record_availability(self, available: bool, detail: str) -> None:
        """Record the log's availability and log it when it changes."""
        if available == self.available:
            return
        self.available = available
        log.warning(
            "log_available" if available else "log_unavailable",
            stream=self.stream,
            detail=detail,
        )
