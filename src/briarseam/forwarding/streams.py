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
        Id of the last event that was sent to the caller; before that, the one
        that the caller named.
    events_sent
        Whether any event of a stream was sent to the caller.
    can_resume
        Whether another run that continues after `last_event_id` repeats no
        event that was sent.
    maybe_sent
        Whether any byte of the request may have reached an endpoint.
    """

    last_event_id: str | None = None
    events_sent: bool = False
    can_resume: bool = True
    maybe_sent: bool = False

    def record_sent(self, event: events.Event) -> None:
        """Record an event that was sent to the caller."""
        self.events_sent = True
        if event.id:
            self.last_event_id = event.id
            self.can_resume = True
        elif event.has_data:
            self.can_resume = False


class NotContinuedError(Exception):
    """A run that should continue a stream sends something else."""


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
        # Comments and empty lines before the first event.  Passed on at once,
        # they would begin an answer that another endpoint may have to give.
        self.leading: list[events.Event] = []
        self.started = False
        self.is_continuing = progress.events_sent

    def feed(self, data: bytes) -> None:
        """Pass on the events that are complete with these bytes.

        Raises
        ------
        NotContinuedError
            If they do not continue what another run has sent.
        """
        complete_events = self.splitter.feed(data)
        if not self.started:
            self.leading += complete_events
            if not any(event.has_data or event.id for event in self.leading):
                return
            complete_events, self.leading = self.leading, []
        if not complete_events:
            return
        if self.is_continuing:
            self.check_continues(complete_events)
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
        for event in complete_events:
            self.progress.record_sent(event)

    def check_continues(self, complete_events: list[events.Event]) -> None:
        """Check that a run goes on after the last event of the one before.

        An endpoint may ignore the id and start over.
        """
        previous = self.progress.last_event_id
        for event in complete_events:
            if not event.has_data:
                continue
            if not event.id:
                raise NotContinuedError("the continued stream has no ids")
            if not follows(event.id, previous):
                raise NotContinuedError(
                    f"event {event.id!r} does not follow {previous!r}"
                )
            previous = event.id

    def finish(self) -> None:
        """Mark the stream as complete, with what follows its last event."""
        leading = b"".join(event.raw for event in self.leading)
        remainder = leading + self.splitter.remainder
        if not self.progress.events_sent:
            deliver(self.exchange, self.head, remainder)
            return
        with caller_errors():
            self.exchange.send(remainder)
            self.exchange.finish()


def follows(event_id: str, previous: str | None) -> bool:
    """Return whether an event may come after another one, by their ids.

    Numbers increase; of other ids it is known only that they differ.
    """
    if previous is None:
        return True
    try:
        return int(event_id) > int(previous)
    except ValueError:
        return event_id != previous


def deliver(
    exchange: server.Exchange, head: calls.AnswerHead, *body: bytes
) -> None:
    """Send an endpoint's complete answer to the caller."""
    with caller_errors():
        exchange.answer(head.status, head.headers, *body)


@contextlib.contextmanager
def caller_errors() -> typing.Iterator[None]:
    """Raise errors of the caller's connection as :class:`EndedError`."""
    try:
        yield
    except OSError as error:
        raise supervision.EndedError(supervision.Ending.CALLER_GONE) from error
