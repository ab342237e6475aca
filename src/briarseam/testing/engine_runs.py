"""The runs of a stand-in engine: what each was asked and how far it is."""

from __future__ import annotations

import collections.abc
import enum
import threading

import msgspec

from briarseam.cache import pieces
from briarseam.testing import answers
from briarseam.testing import engine_cache
from briarseam.testing import engine_messages
from briarseam.testing import http_messages


class Phase(enum.Enum):
    """How far a run is."""

    QUEUED = "queued"
    PREFILL = "prefill"
    DECODE = "decode"
    ENDED = "ended"


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
        Guards phase, length, start and failure; notified when one changes.
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
            self.changed.notify_all()
            return self.length >= self.request.max_tokens

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
            self.changed.notify_all()

    def stream(
        self, offset: int, stopping: threading.Event
    ) -> collections.abc.Iterator[list[bytes]]:
        """Follow the run.

        Parameters
        ----------
        offset
            First token wanted; those of ``prior`` are never given.
        stopping
            Cuts the stream.

        Yields
        ------
        list[bytes]
            Server-sent events that were ready at once.

        Raises
        ------
        http_messages.Dropped
            When the engine stops.
        """
        offset = max(offset, len(self.request.prior))
        started = False
        while True:
            with self.changed:
                while self.nothing_new(started, offset):
                    if stopping.is_set():
                        raise http_messages.Dropped
                    self.changed.wait()
                length = self.length
                ended = self.phase is Phase.ENDED
            ready = []
            if not started and self.start is not None:
                ready.append(event("start", self.start))
                started = True
            ready.extend(self.token_event(i) for i in range(offset, length))
            offset = max(offset, length)
            if ended:
                ready.append(self.last_event())
            yield ready
            if ended:
                return

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
