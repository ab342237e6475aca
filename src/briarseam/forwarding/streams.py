"""Relaying of streams to callers, in complete events."""

from __future__ import annotations

import contextlib
import dataclasses
import typing

from briarseam.forwarding import events
from briarseam.forwarding import supervision

if typing.TYPE_CHECKING:
    from briarseam.forwarding import calls
    from briarseam.forwarding import server


@dataclasses.dataclass
class Progress:
    """Progress of a call's answer over all attempts.

    Attributes
    ----------
    last_event_id
        Id of the last event that was sent to the caller.
    events_sent
        Whether any event of a stream was sent to the caller.
    maybe_sent
        Whether any byte of the request may have reached an endpoint.
    """

    last_event_id: str | None = None
    events_sent: bool = False
    maybe_sent: bool = False


class StreamRelay:
    """Passes the stream of one attempt on to the caller.

    Parameters
    ----------
    exchange
        The caller's request and answer.
    head
        Head of the endpoint's answer.
    progress
        Progress of the answer to the caller.
    on_first_event
        Called before the first event of this attempt is passed on.
    """

    def __init__(
        self,
        exchange: server.Exchange,
        head: calls.AnswerHead,
        progress: Progress,
        on_first_event: typing.Callable[[], None],
    ) -> None:
        self.exchange = exchange
        self.head = head
        self.progress = progress
        self.on_first_event = on_first_event
        self.splitter = events.Splitter()
        self.started = False

    def feed(self, data: bytes) -> None:
        """Pass on the events that are complete with these bytes."""
        complete_events = self.splitter.feed(data)
        if not complete_events:
            return
        if not self.started:
            self.on_first_event()
            self.started = True
        self.forward(complete_events)

    def forward(self, complete_events: list[events.Event]) -> None:
        """Send complete events to the caller."""
        data = b"".join(event.raw for event in complete_events)
        head = self.head
        with caller_errors():
            if self.progress.events_sent:
                self.exchange.send(data)
            else:
                self.exchange.begin(head.status, head.headers, data)
        self.progress.events_sent = True
        for event in complete_events:
            self.progress.last_event_id = (
                event.id or self.progress.last_event_id
            )

    def finish(self) -> None:
        """Mark the stream as complete, with what follows its last event."""
        remainder = self.splitter.remainder
        if not self.progress.events_sent:
            deliver(self.exchange, self.head, remainder)
            return
        with caller_errors():
            self.exchange.send(remainder)
            self.exchange.finish()


def deliver(
    exchange: server.Exchange, head: calls.AnswerHead, body: bytes
) -> None:
    """Send an endpoint's complete answer to the caller."""
    with caller_errors():
        exchange.answer(head.status, head.headers, body)


@contextlib.contextmanager
def caller_errors() -> typing.Iterator[None]:
    """Raise errors of the caller's connection as :class:`EndedError`."""
    try:
        yield
    except OSError as error:
        raise supervision.EndedError(supervision.Ending.CALLER_GONE) from error
