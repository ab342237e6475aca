"""Events of a caller's stream, and the replay of a stored answer."""

from __future__ import annotations

import typing

import msgspec

from briarseam import verdict
from briarseam.admission import messages
from briarseam.answers import replays
from briarseam.endpoints import engine
from briarseam.endpoints import sse


def begin_event(answer_id: str, reused_tokens: int) -> bytes:
    """Return the event with the answer id and number of reused tokens."""
    fields = {"answer_id": answer_id, "reused_tokens": reused_tokens}
    return sse.render(sse.Event("answer", render_json(fields)))


def token_event(piece: engine.Token) -> bytes:
    """Return the event of one token."""
    return sse.render(
        sse.Event(
            "token", render_json({"token": piece.token}), str(piece.offset)
        )
    )


def done_event(piece: engine.Done) -> bytes:
    """Return the last event of a complete answer."""
    return sse.render(sse.Event("done", render_json({"tokens": piece.tokens})))


def error_event(final_verdict: verdict.Verdict) -> bytes:
    """Return the last event of an answer that cannot be completed."""
    return sse.render(
        sse.Event(
            "error",
            render_json(
                {
                    "reason": final_verdict.reason.value,
                    "detail": final_verdict.detail,
                    "ran": verdict.ran_word(final_verdict),
                    "retry_after_s": final_verdict.retry_after_s,
                }
            ),
        )
    )


def render_json(value: typing.Any) -> str:
    """Return compact JSON in one line."""
    return msgspec.json.encode(value).decode()


def replayed_events(
    replayed: messages.Replayed,
) -> typing.Iterator[bytes]:
    """Yield the events of an answer whose text is stored.

    Raises
    ------
    verdict.RefusalError
        If only a part of the text is stored.
    """
    body = replays.complete_body(replayed, "prompt")
    tokens = body.decode().split()
    yield begin_event(replayed.answer_id, 0)
    for offset, token in enumerate(tokens):
        yield token_event(engine.Token("", offset, token))
    yield done_event(engine.Done("", len(tokens)))
