"""Stand-in for the platform's append-only log service."""

from __future__ import annotations

import dataclasses
import threading
import time

import msgpack

from briarseam.testing import http_messages
from briarseam.testing import rates
from briarseam.testing import stand_in
from briarseam.testing import switches

MAX_RECORD_BYTES = 1 << 20
DEFAULT_MAX_RECORDS = 1000
MSGPACK_TYPE = "application/msgpack"


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of the log service.

    Attributes
    ----------
    retention_ms
        Records older than this vanish; 0 keeps all.
    appends_per_s
        Appends a second over all streams; 0 sets no limit.
    """

    retention_ms: switches.Amount = 0
    appends_per_s: switches.Amount = 0


@dataclasses.dataclass(frozen=True)
class Appended:
    """Answer to an append."""

    offset: int


@dataclasses.dataclass(frozen=True)
class Record:
    """One kept record."""

    offset: int
    time_ms: int
    content: bytes


class Stream:
    """The records of one stream, offsets dense from 1.

    Attributes
    ----------
    changed
        Guards the records; notified after an append.
    """

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.records: list[Record] = []
        self.next_offset = 1

    def append(self, content: bytes) -> int:
        """Add a record.

        Parameters
        ----------
        content
            Its bytes.

        Returns
        -------
        int
            Its offset.
        """
        with self.changed:
            offset = self.next_offset
            record = Record(offset, stand_in.wall_ms(), content)
            self.records.append(record)
            self.next_offset += 1
            self.changed.notify_all()
            return offset

    def expire(self, retention_ms: float) -> None:
        """Drop the records that are too old; call it under ``changed``.

        Parameters
        ----------
        retention_ms
            Age up to which records are kept; 0 keeps all.
        """
        if not retention_ms:
            return
        oldest_ms = stand_in.wall_ms() - retention_ms
        expired = 0
        for record in self.records:
            if record.time_ms >= oldest_ms:
                break
            expired += 1
        del self.records[:expired]

    def page(self, after: int, limit: int) -> bytes:
        """Encode the records after an offset; call it under ``changed``.

        Parameters
        ----------
        after
            Offset of the last record not wanted.
        limit
            Most records to give.

        Returns
        -------
        bytes
            The msgpack body of an answer.
        """
        first = self.next_offset - len(self.records)
        start = max(0, after + 1 - first)
        chosen = self.records[start : start + limit]
        body: bytes = msgpack.packb(
            {
                "first": first,
                "next": self.next_offset,
                "records": [
                    (record.offset, record.time_ms, record.content)
                    for record in chosen
                ],
            }
        )
        return body


class LogService(stand_in.StandIn[Switches]):
    """The log service.

    Parameters
    ----------
    switches
        The switches at the start.
    listen
        ``IP:PORT``; port 0 takes any free one.
    """

    def __init__(
        self, switches: Switches | None = None, listen: str = "127.0.0.1:0"
    ) -> None:
        super().__init__(switches or Switches(), listen)
        self.lock = threading.Lock()
        self.streams: dict[str, Stream] = {}
        self.limit = rates.CallLimit()

    def wake(self) -> None:
        """Wake every call that waits, after a change of switches."""
        super().wake()
        with self.lock:
            streams = list(self.streams.values())
        for stream in streams:
            with stream.changed:
                stream.changed.notify_all()

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one call.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.
        """
        match request.method, request.path:
            case "POST", ("streams", name):
                return self.append(name, request.body)
            case "GET", ("streams", name):
                return self.read(name, request)
        return stand_in.no_such_call(request)

    def stream(self, name: str) -> Stream:
        """Return a stream, making it at its first use.

        Parameters
        ----------
        name
            Its name.

        Returns
        -------
        Stream
            The stream.
        """
        with self.lock:
            return self.streams.setdefault(name, Stream())

    def append(self, name: str, content: bytes) -> http_messages.Response:
        """Append one record.

        Parameters
        ----------
        name
            The stream.
        content
            The record.

        Returns
        -------
        http_messages.Response
            Its offset, 413 or 429.
        """
        if len(content) > MAX_RECORD_BYTES:
            return http_messages.problem(413, "record over 1 MiB")
        wait_s = self.limit.wait_s(self.switches.appends_per_s)
        if wait_s:
            return http_messages.problem(429, "too many appends", wait_s)
        offset = self.stream(name).append(content)
        return http_messages.json_response(200, Appended(offset))

    def read(
        self, name: str, request: http_messages.Request
    ) -> http_messages.Response:
        """Read records, waiting for one when there are none.

        Parameters
        ----------
        name
            The stream.
        request
            The call with ``after``, ``wait_ms`` and ``max``.

        Returns
        -------
        http_messages.Response
            The records, or 503 when an outage begins meanwhile.
        """
        after = request.number("after", 0)
        limit = request.number("max", DEFAULT_MAX_RECORDS)
        deadline = time.monotonic() + request.number("wait_ms", 0) / 1000
        stream = self.stream(name)
        with stream.changed:
            while stream.next_offset <= after + 1:
                left_s = deadline - time.monotonic()
                if left_s <= 0 or self.interrupted():
                    break
                stream.changed.wait(left_s)
            if self.interrupted():
                return stand_in.outage()
            stream.expire(self.switches.retention_ms)
            body = stream.page(after, limit)
        return http_messages.Response(200, body, MSGPACK_TYPE)

    def interrupted(self) -> bool:
        """Tell whether a waiting read must end.

        Returns
        -------
        bool
            Whether the service is down or stops.
        """
        return self.switches.outage or self.stopping.is_set()
