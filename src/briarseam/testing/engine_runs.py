"""The runs of a stand-in engine: what each was asked and how far it is."""

from __future__ import annotations

import dataclasses
import enum
import threading

import msgspec

from briarseam.cache import pieces
from briarseam.testing import answers
from briarseam.testing import engine_cache
from briarseam.testing import engine_messages
from briarseam.testing import engine_sinks
from briarseam.testing import http_messages


class Phase(enum.Enum):
    """How far a run is."""

    QUEUED = "queued"
    PREFILL = "prefill"
    DECODE = "decode"
    ENDED = "ended"


@dataclasses.dataclass(frozen=True)
class Progress:
    """How far a run is, for one that follows it.

    Attributes
    ----------
    start
        Data of the ``start`` event; ``None`` while queued.
    length
        Tokens of the answer.
    ended
        Whether there will be no more.
    """

    start: engine_messages.Start | None
    length: int
    ended: bool


class Run:
    """One run.

    Parameters
    ----------
    request
        What was asked.
    version
        The weight version it was taken for.

    Attributes
    ----------
    chain
        The whole pieces of prompt and prior tokens.
    length
        Tokens of the answer so far, those of ``prior`` included.
    changed
        Guards phase, length, start, failure and sinks; notified when one
        changes.
    """

    def __init__(
        self, request: engine_messages.RunRequest, version: str
    ) -> None:
        self.request = request
        self.version = version
        self.words = [*pieces.split(request.prompt), *request.prior]
        self.prompt_tokens = len(self.words)
        self.chain = self.name_pieces(self.words)
        self.tokens = answers.AnswerTokens(
            request.model, version, request.prompt
        )
        self.changed = threading.Condition()
        self.phase = Phase.QUEUED
        self.length = len(request.prior)
        self.start: engine_messages.Start | None = None
        self.failure: engine_messages.Failure | None = None
        self.prefill_ends_at = 0.0
        self.sinks: list[engine_sinks.Sink] = []

    def name_pieces(self, words: list[str]) -> list[engine_cache.Prefix]:
        """Name the whole pieces of some tokens under the run's salt.

        Parameters
        ----------
        words
            The tokens.

        Returns
        -------
        list[engine_cache.Prefix]
            The pieces, in order.
        """
        request = self.request
        salt = pieces.salt_of(request.organisation, request.adapter)
        return [
            engine_cache.Prefix(request.model, self.version, digest)
            for digest in pieces.chain_tokens(words, salt)
        ]

    def whole_chain(self) -> list[engine_cache.Prefix]:
        """Name the whole pieces of prompt and answer.

        Returns
        -------
        list[engine_cache.Prefix]
            The pieces; they reach beyond the prompt's when the answer
            fills one.
        """
        answered = self.length - len(self.request.prior)
        total = self.prompt_tokens + answered
        if total // pieces.PIECE_TOKENS == len(self.chain):
            return self.chain
        first = len(self.request.prior)
        tokens = [self.tokens.token(i) for i in range(first, self.length)]
        return self.name_pieces([*self.words, *tokens])

    def begin(self, matched: int, prefill_ends_at: float) -> None:
        """Begin the prefill.

        Parameters
        ----------
        matched
            Pieces found in the cache.
        prefill_ends_at
            Monotonic time in seconds.
        """
        cached = matched * pieces.PIECE_TOKENS
        with self.changed:
            self.prefill_ends_at = prefill_ends_at
            self.phase = Phase.PREFILL
            self.start = engine_messages.Start(
                self.request.run_id, self.version, cached, self.prompt_tokens
            )
            self.changed.notify_all()

    def advance(self) -> bool:
        """Add one token, if the answer is not whole yet.

        Returns
        -------
        bool
            Whether the answer is whole now.
        """
        with self.changed:
            if self.length < self.request.max_tokens:
                self.length += 1
                self.push(self.length - 1)
            self.changed.notify_all()
            return self.length >= self.request.max_tokens

    def push(self, offset: int) -> None:
        """Give a token to the sinks; call it under ``changed``.

        Parameters
        ----------
        offset
            The token's place in the answer.
        """
        if self.sinks:
            event = self.token_event(offset)
            self.sinks = [sink for sink in self.sinks if sink.push(event)]

    def end(self, failure: engine_messages.Failure | None = None) -> None:
        """End the run.

        Parameters
        ----------
        failure
            Why it did not finish; ``None`` when it did.
        """
        with self.changed:
            self.phase = Phase.ENDED
            self.failure = failure
            self.release_sinks()
            self.changed.notify_all()

    def progress(
        self, started: bool, offset: int, stopping: threading.Event
    ) -> Progress:
        """Wait until there is something for a follower.

        Parameters
        ----------
        started
            Whether it has had the ``start`` event.
        offset
            Offset of its next token.
        stopping
            Ends the wait.

        Returns
        -------
        Progress
            How far the run is.

        Raises
        ------
        http_messages.Dropped
            When the engine stops.
        """
        with self.changed:
            while self.nothing_new(started, offset):
                if stopping.is_set():
                    raise http_messages.Dropped
                self.changed.wait()
            ended = self.phase is Phase.ENDED
            return Progress(self.start, self.length, ended)

    def nothing_new(self, started: bool, offset: int) -> bool:
        """Tell whether a follower must wait; call it under ``changed``.

        Parameters
        ----------
        started
            Whether it has had the ``start`` event.
        offset
            Offset of its next token.

        Returns
        -------
        bool
            Whether there is nothing for it yet.
        """
        if self.phase is Phase.ENDED:
            return False
        if not started and self.start is not None:
            return False
        return self.length <= offset

    def attach(self, sink: engine_sinks.Sink, offset: int) -> bool:
        """Let each new token go to a sink at once.

        Parameters
        ----------
        sink
            Where it goes.
        offset
            Offset of the sink's first token.

        Returns
        -------
        bool
            Whether that is the next token; otherwise nothing changed.
        """
        with self.changed:
            if self.phase is not Phase.DECODE or self.length != offset:
                return False
            self.sinks.append(sink)
            return True

    def detach(self, sink: engine_sinks.Sink) -> None:
        """Stop giving tokens to a sink.

        Parameters
        ----------
        sink
            The sink; may be detached already.
        """
        with self.changed:
            if sink in self.sinks:
                self.sinks.remove(sink)

    def wake(self) -> None:
        """Let every follower look around, after a change of switches."""
        with self.changed:
            self.release_sinks()
            self.changed.notify_all()

    def release_sinks(self) -> None:
        """Give the sinks back; call it under ``changed``."""
        for sink in self.sinks:
            sink.released.set()
        self.sinks.clear()

    def token_event(self, offset: int) -> bytes:
        """Encode a ``token`` event.

        Parameters
        ----------
        offset
            The token's place in the answer.

        Returns
        -------
        bytes
            The event.
        """
        token = self.tokens.token(offset)
        data = engine_messages.Token(self.request.run_id, offset, token)
        return b"id: %d\n" % offset + event("token", data)

    def last_event(self) -> bytes:
        """Encode the event that ends the stream.

        Returns
        -------
        bytes
            ``done`` or ``error``.
        """
        if self.failure is not None:
            return event("error", self.failure)
        return event(
            "done", engine_messages.Done(self.request.run_id, self.length)
        )


def event(
    name: str,
    data: engine_messages.Start
    | engine_messages.Token
    | engine_messages.Done
    | engine_messages.Failure,
) -> bytes:
    """Encode one server-sent event without an id.

    Parameters
    ----------
    name
        Its name.
    data
        Its data.

    Returns
    -------
    bytes
        The event.
    """
    encoded = msgspec.json.encode(data)
    return b"event: %s\ndata: %s\n\n" % (name.encode(), encoded)


def refusal(
    request: engine_messages.RunRequest, state: engine_messages.ModelState
) -> engine_messages.OtherVersion | engine_messages.NoAdapter | None:
    """Tell why what is loaded can't serve a run.

    Parameters
    ----------
    request
        The run.
    state
        State of its model.

    Returns
    -------
    OtherVersion, NoAdapter or None
        ``None`` when it can be served.
    """
    if state.version is None:
        return engine_messages.OtherVersion(None)
    if request.version not in (None, state.version):
        return engine_messages.OtherVersion(state.version)
    if request.adapter not in (None, *state.adapters):
        return engine_messages.NoAdapter(state.adapters)
    return None
