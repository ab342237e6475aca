"""Stand-in for a worker on the users' platform, plain or with a model."""

from __future__ import annotations

import collections.abc
import dataclasses
import threading
import typing

from briarseam.testing import http_messages
from briarseam.testing import stand_in
from briarseam.testing import switches

SIGNATURE = "3e1b.07"
EVENT = "id: {0}\ndata: token {0}\n\n"


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of a worker.

    Attributes
    ----------
    reject
        So many of the next requests are turned away as not run.
    fail
        So many of the next requests are run and answered with 500.
    reset
        So many of the next requests are run, their connection reset.
    unsigned
        So many of the next answers bear no signature.
    foreign
        So many of the next answers name another request.
    hold
        Whether answers wait until the switch goes off.
    events
        Events of a stream.
    break_streams
        So many of the next streams end in the middle of their second event.
    pause_ms
        Pause behind each event of a stream.
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


class Worker(stand_in.StandIn[Switches]):
    """Answers requests and remembers what reached it.

    Parameters
    ----------
    id
        Stays the same when it starts again.
    born
        Unix time of this start in milliseconds; ``None`` for a worker that
        does not say.
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
        self.ran: list[str] = []
        self.ended: list[str] = []
        self.broke: list[str] = []
        self.orders: list[dict] = []
        self.lock = threading.Lock()

    def restart(self, born: int) -> None:
        """Start again under the same id, with nothing of before."""
        with self.lock:
            self.born = born
            self.orders = []

    def start_fields(self) -> dict[str, int]:
        """Return what stands at the top of all that it says of itself."""
        return {} if self.born is None else {"born": self.born}

    def is_meant(self, request: http_messages.Request) -> bool:
        """Tell whether a request is for this worker, or for any."""
        return request.headers.get("expect-instance", self.id) == self.id

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one request."""
        self.arrived.append(request)
        call = request.headers.get("request-id", "")
        echo = (("Request-Id", call),)
        if not self.is_meant(request):
            return http_messages.Response(421, headers=echo)
        if self.take("reject"):
            return http_messages.Response(
                503, headers=(*echo, ("Not-Executed", "1"))
            )
        self.ran.append(call)
        if self.take("foreign"):
            echo = (("Request-Id", "another"),)
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
        if "prefix-hash" in request.headers:
            return http_messages.Response(
                200, self.stream(request, call), "text/event-stream", signed
            )
        return http_messages.Response(
            200, f"{self.id} did it".encode(), headers=signed
        )

    def stream(
        self, request: http_messages.Request, call: str
    ) -> collections.abc.Iterator[bytes]:
        """Yield the events behind the one that the caller has."""
        first = int(request.headers.get("last-event-id", 0)) + 1
        breaks = self.take("break_streams")
        try:
            for number in range(first, self.switches.events + 1):
                event = EVENT.format(number).encode()
                if breaks and number > first:
                    self.broke.append(call)
                    yield event[:5]
                    raise http_messages.Dropped
                yield event
                self.stopping.wait(self.switches.pause_ms / 1000)
        finally:
            self.ended.append(call)

    def headers_of(self, index: int = -1) -> dict[str, typing.Any]:
        """Return the headers of a request that arrived."""
        return self.arrived[index].headers
