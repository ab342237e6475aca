"""The append-only log service, seen through one small adapter."""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgpack
import structlog
import urllib3

from briarseam import backoff

APPEND_TIMEOUT_S = 2.0
READ_SLACK_S = 2.0
RETRY_S = 0.25
MAX_RETRY_S = 2.0
DEFAULT_RETRY_AFTER_S = 1.0
READ_MAX = 1000
HTTP_OK = 200
HTTP_TOO_MANY = 429
HTTP_REFUSED = frozenset({400, 404, 413, 429})
log = structlog.get_logger("briarseam.backing")


@dataclasses.dataclass(frozen=True)
class Appended:
    """The record is in the stream at ``offset``."""

    offset: int


@dataclasses.dataclass(frozen=True)
class AppendRefused:
    """The record is certainly not in the stream and never will be.

    Attributes
    ----------
    detail
        One sentence.
    retry_after_s
        Seconds after which an append may succeed.
    throttled
        Whether the log only has too many appends just now.
    """

    detail: str
    retry_after_s: float
    throttled: bool = False


@dataclasses.dataclass(frozen=True)
class AppendUnknown:
    """The record may or may not be in the stream, now or later."""

    detail: str


AppendOutcome = Appended | AppendRefused | AppendUnknown


@dataclasses.dataclass(frozen=True)
class Record:
    """One record of a stream.

    Attributes
    ----------
    offset
        Position, dense from 1.
    time_ms
        The log service's clock at the append, in ms since the epoch.
    data
        The bytes as appended.
    """

    offset: int
    time_ms: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class Batch:
    """What one read returned.

    Attributes
    ----------
    first
        Lowest offset still retained.
    next
        Offset that the next append will get.
    records
        In order of offset, without holes.
    """

    first: int
    next: int
    records: tuple[Record, ...]


class LogUnavailableError(Exception):
    """The log could not be read just now."""


class LogClient:
    """Appends to and reads from the log service.

    Parameters
    ----------
    address
        ``ip:port`` of the service.
    append_timeout_s
        Bound on one append.
    """

    def __init__(
        self, address: str, append_timeout_s: float = APPEND_TIMEOUT_S
    ) -> None:
        self.address = address
        self.append_timeout_s = append_timeout_s
        # Library retries stay off: an append whose answer was lost may
        # have taken effect, and only its writer can settle that.
        self.pool = urllib3.PoolManager(
            maxsize=32, retries=False, headers={"Accept": "*/*"}
        )

    def append(self, stream: str, data: bytes) -> AppendOutcome:
        """Append one record.

        Parameters
        ----------
        stream
            Name of the stream.
        data
            The record, at most 1 MiB.
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
        detail = f"the log answered {response.status}"
        if response.status in HTTP_REFUSED:
            throttled = response.status == HTTP_TOO_MANY
            return AppendRefused(detail, retry_after(response), throttled)
        return AppendUnknown(detail)

    def read(
        self,
        stream: str,
        after: int,
        wait_ms: int = 0,
        limit: int = READ_MAX,
    ) -> Batch:
        """Return records with an offset above ``after``.

        Parameters
        ----------
        stream
            Name of the stream.
        after
            Last offset already read.
        wait_ms
            Long poll: wait up to this while there are none.
        limit
            At most this many records.

        Raises
        ------
        LogUnavailableError
            When the service does not answer properly.
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
                raise LogUnavailableError(f"read answered {response.status}")
            return parse_batch(response.data)
        except (urllib3.exceptions.HTTPError, ValueError, KeyError) as error:
            raise LogUnavailableError(str(error)) from error


def retry_after(response: urllib3.BaseHTTPResponse) -> float:
    """Return a response's Retry-After in seconds."""
    try:
        return float(response.headers.get("Retry-After", ""))
    except ValueError:
        return DEFAULT_RETRY_AFTER_S


def parse_batch(data: bytes) -> Batch:
    """Return the batch of a read's msgpack body."""
    body = msgpack.unpackb(data, raw=False)
    records = tuple(Record(*entry) for entry in body["records"])
    return Batch(int(body["first"]), int(body["next"]), records)


class Follower:
    """A thread that hands on every batch of one stream, in order.

    Parameters
    ----------
    client
        The log.
    stream
        Name of the stream.
    after
        Last offset already known.
    on_batch
        Called with each batch, also with empty ones, so that the owner
        knows how current it is.
    wait_ms
        Length of one long poll.
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
        """Begin following."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the poll under way."""
        self.stopping.set()

    def follow(self) -> None:
        """Read on until stopped; back off while the log is away."""
        pauses = backoff.Backoff(RETRY_S, MAX_RETRY_S)
        # The first read doesn't wait, so that the owner of an empty stream
        # knows at once that it is current.
        wait_ms = 0
        while not self.stopping.is_set():
            try:
                batch = self.client.read(self.stream, self.after, wait_ms)
            except LogUnavailableError as error:
                self.note_available(False, str(error))
                self.stopping.wait(pauses.next_s())
                continue
            pauses.reset()
            wait_ms = self.wait_ms
            self.note_available(True, "")
            self.on_batch(batch)
            if batch.records:
                self.after = batch.records[-1].offset

    def note_available(self, available: bool, detail: str) -> None:
        """Log a change of the log's availability, once."""
        if available == self.available:
            return
        self.available = available
        log.warning(
            "log_available" if available else "log_unavailable",
            stream=self.stream,
            detail=detail,
        )
