"""Organisations that compete for engines which are short of slots."""

from __future__ import annotations

import random
import re
import socket
import time
import typing

from tests.platform import system
from tests.soak import callers
from tests.soak import crashes
from tests.soak import releases

from briarseam.testing import http_messages

if typing.TYPE_CHECKING:
    import collections.abc
    import http.client

    from tests.platform import worker as workers
    from tests.soak import serving

LARGE = "key-of-large"
SMALL = ("key-of-small-0", "key-of-small-1", "key-of-small-2")
# The large organisation has ten callers, each small one has one.
LARGE_CALLERS = 10
PROMPTS = tuple(kind for kind in callers.KINDS if kind.stream)
# A small organisation that is served at all ends at least so many requests
# in a contention, which lasts longer than the deadlines of two.
MIN_TRIED = 2
SLOW_READERS = 2
SLOW = callers.Kind("slow", "POST", "/draft/large", stream=True)
# The longest exceed the 10 s after which instances give callers up.
READ_PAUSES_S = (*[(0.1, 1.5)] * 5, (2.0, 5.0), (11.0, 12.0))
# Three events of this size, and a small buffer, fill the connection to the
# caller.  Instances give up larger events than 256 KiB.
PADDING_BYTES = 200_000
RECEIVE_BUFFER_BYTES = 65536
PADDING = re.compile(rb": x+\n")
OK = 200


class Engine(crashes.CrashingWorker):
    """Endpoint that records when answers were ready.

    The events of answers to slow readers are large.
    """

    def __init__(self, *args: typing.Any) -> None:
        super().__init__(*args)
        # When the last byte of a whole answer was ready, by request.
        self.ready_s: dict[str, float] = {}

    def run(
        self,
        request: http_messages.Request,
        call: str,
        echo: workers.Headers,
    ) -> http_messages.Response:
        """Run a request and return its answer."""
        answer = super().run(request, call, echo)
        if isinstance(answer.body, bytes) and answer.status == OK:
            self.ready_s[call] = time.monotonic()
        return answer

    def stream(
        self, request: http_messages.Request, call: str
    ) -> collections.abc.Iterator[bytes]:
        """Yield the events of a stream."""
        for event in super().stream(request, call):
            if f"/{'/'.join(request.path)}" == SLOW.path:
                padding = b"x" * PADDING_BYTES
                yield event.removesuffix(b"\n") + b": " + padding + b"\n\n"
            else:
                yield event
        self.ready_s[call] = time.monotonic()


class SlowReader(callers.Caller):
    """A caller that does not read its streams for some seconds."""

    def __init__(self, *args: typing.Any) -> None:
        super().__init__(*args)
        self.kinds = (SLOW,)

    def exchange(
        self, connection: http.client.HTTPConnection, sent: callers.Sent
    ) -> bool:
        """Send and read the answer; tell whether the connection ends."""
        if connection.sock is None:
            connection.connect()
            connection.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        return super().exchange(connection, sent)

    def read(
        self, response: http.client.HTTPResponse, sent: callers.Sent
    ) -> bytes:
        """Return the body of an answer, without padding."""
        began_s = time.monotonic()
        if response.status == OK:
            pause_s = self.random.choice(READ_PAUSES_S)
            self.stopping.wait(self.random.uniform(*pause_s))
        sent.read_pause_s = time.monotonic() - began_s
        body = super().read(response, sent)
        # The caller needs some time for the rest, too.
        sent.read_pause_s = time.monotonic() - began_s
        return PADDING.sub(b"", body)


def tenants() -> list[dict[str, typing.Any]]:
    """Return the organisations, in the operators' format."""
    keys = {key.removeprefix("key-of-"): key for key in (LARGE, *SMALL)}
    keys["north"] = system.KEY
    return [{"name": name, "apiKeys": [key]} for name, key in keys.items()]


def draw_delays(seed: int, count: int) -> list[int]:
    """Return how long endpoints take, in ms; some are slow for good."""
    random_ = random.Random(f"{seed}/speeds")
    usual_ms = random_.uniform(60, 150)
    return [
        int(usual_ms * random_.choice((1.0, 1.0, 1.3, 2.0)))
        for _ in range(count)
    ]


def check_small(
    deployment: serving.Deployment,
    sent: list[callers.Sent],
    began_s: float,
) -> typing.Iterator[str]:
    """Yield small organisations that were not served since a moment.

    Call it right after a contention: what excuses an instance is known then.
    """
    for key in SMALL:
        ended = [
            one
            for one in sent
            if one.key == key and one.sent_s >= began_s and one.ended_s
        ]
        tried = sum(releases.is_in_touch(deployment, one) for one in ended)
        served = any(one.status == OK and one.whole for one in ended)
        if tried >= MIN_TRIED and not served:
            statuses = [one.status for one in ended]
            took_s = time.monotonic() - began_s
            yield f"{key} was not served for {took_s:.1f} s: {statuses}"
