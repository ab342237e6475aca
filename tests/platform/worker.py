"""Stand-in for an endpoint of the users' platform, plain or with a model."""

from __future__ import annotations

import collections.abc
import contextlib
import dataclasses
import threading
import time
import typing

from briarseam.testing import http_messages
from briarseam.testing import stand_in
from briarseam.testing import switches
from tests import flooding
from tests.platform import raw_answers

SIGNATURE = "3e1b.07"
Headers = tuple[tuple[str, str], ...]
EVENT = "id: {0}\ndata: token {0}\n\n"


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of a worker.

    Attributes
    ----------
    reject
        Number of next requests that are rejected as not run.
    fail
        Number of next requests that are run and answered with 500.
    reset
        Number of next requests that are run, with a connection reset.
    unsigned
        Number of next answers without a signature.
    foreign
        Number of next answers with the id of another request.
    hold
        Whether answers wait until the switch is reset.
    events
        Number of events in a stream.
    break_streams
        Number of next streams that break off within their second event.
    pause_ms
        Pause after each event of a stream.
    limit
        Requests per second from all instances that answers name; empty for
        none.
    leaving
        Whether answers say that the endpoint is leaving.
    brittle
        Requests per second that it may reject before it falls over, as
        answers name it; empty for none.
    work_ms
        Time that a request takes and has one of the places in `room`.
    room
        Requests that run at a time; further ones are rejected.  0 for no
        limit.
    retry_after
        Value of the header in answers that reject a request; empty for
        none.
    framing
        What marks the end of answers, as in `raw_answers.Framing`; empty for
        the server's own choice.
    http_version
        Version of answers whose framing is set.
    cuts
        Number of next answers that are cut short, of those whose framing is
        set.
    cut_at, cut_by
        Where and how, as in `raw_answers.Cut` and `raw_answers.Ending`.
    line_end, content_type
        Line end and type of streams.
    floods
        Number of next answers that do not end.
    flood, pace
        What they repeat and how fast, as in `flooding.ALL` and
        `flooding.Pace`.
    """

    reject: switches.Count = 0
    fail: switches.Count = 0
    reset: switches.Count = 0
    unsigned: switches.Count = 0
    foreign: switches.Count = 0
    hold: bool = False
    events: switches.Count = 3
    break_streams: switches.Count = 0
    pause_ms: switches.Count = 0
    limit: str = ""
    leaving: bool = False
    brittle: str = ""
    work_ms: switches.Count = 0
    room: switches.Count = 0
    retry_after: str = ""
    framing: str = ""
    http_version: str = "1.1"
    cuts: switches.Count = 0
    cut_at: str = ""
    cut_by: str = "fin"
    line_end: str = "\n"
    content_type: str = http_messages.SSE_TYPE
    floods: switches.Count = 0
    flood: str = ""
    pace: str = "fast"


class Worker(stand_in.StandIn[Switches]):
    """Endpoint that answers requests and records them.

    Parameters
    ----------
    id
        Name of the endpoint; unchanged by a restart.
    born
        Start time as Unix time in milliseconds; ``None`` for an endpoint that
        does not report it.
    """

    def __init__(
        self,
        id: str,
        listen: str = "127.0.0.1:0",
        born: int | None = None,
    ) -> None:
        super().__init__(Switches(), listen)
        self.id = id
        self.born = born
        self.arrived: list[http_messages.Request] = []
        # Requests for this endpoint, and when they arrived, monotonic
        # seconds.
        self.addressed: list[http_messages.Request] = []
        self.arrived_s: list[float] = []
        self.ran: list[str] = []
        # Requests that were rejected with the time of a backoff in seconds.
        self.backoffs: dict[str, float] = {}
        self.ended: list[str] = []
        self.broke: list[str] = []
        # Forms of the answers whose framing was set.
        self.forms: list[raw_answers.Form] = []
        self.orders: list[dict] = []
        # When requests were rejected for want of room, monotonic seconds.
        self.turned_away_s: list[float] = []
        self.running = 0
        # How long answers without end lasted until their callers closed, in
        # seconds, and how many go on.
        self.floods_s: list[float] = []
        self.flooding = 0
        self.lock = threading.Lock()

    def restart(self, born: int) -> None:
        """Restart under the same id without the former state."""
        with self.lock:
            self.born = born
            self.orders = []

    def start_fields(self) -> dict[str, int]:
        """Return the start time as fields of entries and reports."""
        return {} if self.born is None else {"born": self.born}

    def state_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers in which answers tell the endpoint's state."""
        headers = []
        if self.switches.limit:
            headers.append(("Server-Limit", self.switches.limit))
        if self.switches.brittle:
            headers.append(("Server-Brittle", self.switches.brittle))
        if self.switches.leaving:
            headers.append(("Server-Leaving", "1"))
        return tuple(headers)

    def is_addressed(self, request: http_messages.Request) -> bool:
        """Return whether a request is for this endpoint or for any."""
        return request.headers.get("expect-instance", self.id) == self.id

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one request."""
        self.arrived.append(request)
        call = request.headers.get("request-id", "")
        echo = (("Request-Id", call), *self.state_headers())
        if not self.is_addressed(request):
            return http_messages.Response(421, headers=echo)
        with self.lock:
            self.addressed.append(request)
            self.arrived_s.append(time.monotonic())
        if self.take("reject"):
            return self.rejection(call, echo)
        if not self.enter():
            self.turned_away_s.append(time.monotonic())
            return self.rejection(call, echo)
        try:
            if self.take("floods"):
                self.answer_without_end(request, call)
            self.stopping.wait(self.switches.work_ms / 1000)
            return self.run(request, call, echo)
        finally:
            with self.lock:
                self.running -= 1

    def enter(self) -> bool:
        """Take a place for a request, if there is one."""
        with self.lock:
            if 0 < self.switches.room <= self.running:
                return False
            self.running += 1
            return True

    def rejection(self, call: str, echo: Headers) -> http_messages.Response:
        """Return the answer to a request that is not run."""
        headers = (*echo, ("Not-Executed", "1"))
        if self.switches.retry_after:
            after = self.switches.retry_after
            headers = (*headers, ("Retry-After", after))
            with contextlib.suppress(ValueError):
                self.backoffs[call] = float(after)
        return http_messages.Response(503, headers=headers)

    def answer_without_end(
        self, request: http_messages.Request, call: str
    ) -> typing.NoReturn:
        """Send one part of an answer until the caller closes.

        Raises
        ------
        Dropped
            Always, so that the server closes the connection.
        """
        name, pace = self.switches.flood, flooding.Pace(self.switches.pace)
        if name not in flooding.REFUSALS:
            self.ran.append(call)
        begun_s = time.monotonic()
        with self.lock:
            self.flooding += 1
        try:
            flooding.send(
                request.output.send, flooding.ALL[name], pace, self.stopping
            )
        except OSError:
            self.floods_s.append(time.monotonic() - begun_s)
        finally:
            with self.lock:
                self.flooding -= 1
        raise http_messages.Dropped

    def run(
        self, request: http_messages.Request, call: str, echo: Headers
    ) -> http_messages.Response:
        """Run a request and return its answer."""
        self.ran.append(call)
        if self.take("foreign"):
            echo = (("Request-Id", "another"), *self.state_headers())
        signed = (*echo, ("Response-Signature", SIGNATURE))
        if self.take("unsigned"):
            signed = echo
        if self.take("reset"):
            self.broke.append(call)
            raise http_messages.Dropped
        if self.take("fail"):
            return http_messages.Response(500, b"failed", headers=signed)
        while self.switches.hold and not self.stopping.wait(0.01):
            pass
        if self.switches.framing:
            self.answer_raw(request, call, signed)
        if "prefix-hash" in request.headers:
            return http_messages.Response(
                200, self.stream(request, call), "text/event-stream", signed
            )
        return http_messages.Response(200, self.plain_body(), headers=signed)

    def plain_body(self) -> bytes:
        """Return the body of a plain answer."""
        return f"{self.id} did it".encode()

    def takes_cut(self) -> bool:
        """Return whether the next answer is cut short."""
        return self.take("cuts")

    def form(self) -> raw_answers.Form:
        """Return the form of the next answer whose framing is set."""
        chosen = self.switches
        cut = raw_answers.Cut.NOWHERE
        ending = raw_answers.Ending.FIN
        if self.takes_cut():
            cut = raw_answers.Cut(chosen.cut_at)
            ending = raw_answers.Ending(chosen.cut_by)
        return raw_answers.Form(
            raw_answers.Framing(chosen.framing),
            chosen.http_version,
            cut,
            ending,
        )

    def answer_raw(
        self, request: http_messages.Request, call: str, headers: Headers
    ) -> typing.NoReturn:
        """Send an answer whose framing is set."""
        form = self.form()
        self.forms.append(form)
        if form.cut or form.is_malformed:
            self.broke.append(call)
        pieces = [self.plain_body()]
        if "prefix-hash" in request.headers:
            headers = (*headers, ("Content-Type", self.switches.content_type))
            pieces = [self.event(n) for n in self.numbers(request)]
        try:
            raw_answers.send(request.output, form, headers, pieces, self.pause)
        finally:
            self.ended.append(call)

    def pause(self) -> None:
        """Wait as long as is set after each event of a stream."""
        self.stopping.wait(self.switches.pause_ms / 1000)

    def event(self, number: int) -> bytes:
        """Return one event of a stream."""
        text = EVENT.format(number)
        return text.replace("\n", self.switches.line_end).encode()

    def numbers(self, request: http_messages.Request) -> range:
        """Return the numbers of the events that a request asks for."""
        first = int(request.headers.get("last-event-id", 0)) + 1
        return range(first, self.switches.events + 1)

    def stream(
        self, request: http_messages.Request, call: str
    ) -> collections.abc.Iterator[bytes]:
        """Yield the events after the last one that the caller has."""
        numbers = self.numbers(request)
        breaks = self.take("break_streams")
        try:
            for number in numbers:
                event = self.event(number)
                if breaks and number > numbers[0]:
                    self.broke.append(call)
                    yield event[:5]
                    raise http_messages.Dropped
                yield event
                self.pause()
        finally:
            self.ended.append(call)

    def headers_of(self, index: int = -1) -> dict[str, typing.Any]:
        """Return the headers of a request that arrived."""
        return self.arrived[index].headers
