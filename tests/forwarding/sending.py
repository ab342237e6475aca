"""Attempts at endpoints, without callers and instances."""

from __future__ import annotations

import contextlib

from briarseam import bounded_reads
from briarseam.discovery import model as discovery
from briarseam.forwarding import attempts
from briarseam.forwarding import calls
from briarseam.forwarding import held_bytes
from briarseam.forwarding import streams
from briarseam.routes import model as routes


class Exchange:
    """Records what is sent to a caller."""

    def __init__(self) -> None:
        self.sent: list[bytes] = []
        self.finished = False

    def interrupted_by(self, check):
        """Take sends for done at once."""
        return contextlib.nullcontext()

    def answer(self, status, headers, *body):
        """Record a complete answer."""
        self.sent.append(b"".join(body))
        self.finished = True

    def begin(self, status, headers, first):
        """Record the first part."""
        self.sent.append(first)

    def send(self, data):
        """Record a part."""
        self.sent.append(data)

    def finish(self):
        """Record the end."""
        self.finished = True


def head_of(status, headers):
    """Return the head of a successful answer."""
    return calls.AnswerHead(
        status=status,
        headers=(),
        call_id="",
        signed=True,
        not_run=False,
    )


def attempt_to(
    address,
    watch,
    exchange,
    repeat,
    body=b"",
    holding=None,
    max_part_s=bounded_reads.UNLIMITED_S,
):
    """Return an attempt at an endpoint."""
    return attempts.Attempt(
        exchange=exchange,
        call=calls.Call(
            id="x", method="GET", target="/", host="h", headers=()
        ),
        body=body,
        route=routes.Route("r", "h", "/", repeat, (), 1.0, 1.0, 1),
        endpoint=discovery.Endpoint("e", "s", address, "a", 1, False, {}),
        headers={},
        watch=watch,
        progress=streams.Progress(),
        on_first_event=lambda: None,
        holding=holding or held_bytes.unlimited(),
        max_part_s=max_part_s,
    )
