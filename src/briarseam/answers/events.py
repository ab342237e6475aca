"""The events of a caller's stream, and the replay of a kept answer."""

from __future__ import annotations

import typing

import msgspec

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import replays
from briarseam.endpoints import engine
from briarseam.endpoints import sse


def begin_event(answer_id: str, reused_tokens: int) -> bytes:
    """Return the event that names the answer id and what was reused."""
    named = {"answer_id": answer_id, "reused_tokens": reused_tokens}
    return sse.render(sse.Event("answer", render_json(named)))


def token_event(piece: engine.Token) -> bytes:
    """Return the event of one token."""
    return sse.render(
        sse.Event(
            "token", render_json({"token": piece.token}), str(piece.offset)
        )
    )


def done_event(piece: engine.Done) -> bytes:
    """Return the last event of a whole answer."""
    return sse.render(sse.Event("done", render_json({"tokens": piece.tokens})))


def error_event(given: verdict.Verdict) -> bytes:
    """Return the last event of an answer that cannot be finished."""
    return sse.render(
        sse.Event(
            "error",
            render_json(
                {
                    "reason": given.reason.value,
                    "detail": given.detail,
                    "ran": verdict.ran_word(given),
                    "retry_after_s": given.retry_after_s,
                }
            ),
        )
    )


def render_json(value: typing.Any) -> str:
    """Return compact JSON on one line."""
    return msgspec.json.encode(value).decode()


def replayed_events(
    replayed: messages.Replayed,
) -> typing.Iterator[bytes]:
    """Yield the events of an answer whose text was kept.

    Raises
    ------
    verdict.RefusalError
        When only a part of it was kept.
    """
    body = replays.whole_body(replayed, "prompt")
    tokens = body.decode().split()
    yield begin_event(replayed.answer_id, 0)
    for offset, token in enumerate(tokens):
        yield token_event(engine.Token("", offset, token))
    yield done_event(engine.Done("", len(tokens)))
