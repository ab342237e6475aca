"""Bytes and processor time of one request's messages, entry to agent.

Run from the top of the tree::

    PYTHONPATH=src .venv/bin/python bench/wire_cost.py

The codec alone, and whole calls over one loopback connection between a
client and a server of this process; processor time is that of both sides.
Writes bench/results/wire-cost.json.
"""

from __future__ import annotations

import dataclasses
import secrets
import time

import measuring

from briarseam.admission import messages
from briarseam.wire import client
from briarseam.wire import codec
from briarseam.wire import connection
from briarseam.wire import server

PIECES = 8
CODEC_ROUNDS = 5_000
CALL_ROUNDS = 2_000
KEY = b"shared key of the bench"
REPLY_BYTES = 400


@dataclasses.dataclass(frozen=True)
class Row:
    """Cost of one message or of a whole round."""

    what: str
    bytes: int
    cpu_us: measuring.Spread


def admit() -> messages.Admit:
    """Return an ordinary prompt's question."""
    return messages.Admit(
        token_digest=secrets.token_hex(16),
        model="certificate-draft",
        session="kitchen-17",
        chain=tuple(secrets.token_bytes(16) for _ in range(PIECES)),
        prompt_tokens=1000 * PIECES + 300,
        max_tokens=256,
        priority=5,
        deadline_ms=660,
        request=secrets.token_hex(12),
    )


def granted() -> messages.Granted:
    """Return its grant."""
    return messages.Granted(
        run_id=secrets.token_hex(12),
        answer_id=secrets.token_urlsafe(REPLY_BYTES // 2),
        attempt="",
        organisation="storkoekken-kaeden",
        endpoint="draftmodels-17",
        address="10.1.2.3:7111",
        version="2026.11",
        salt=secrets.token_hex(16),
    )


def started() -> messages.RunStarted:
    """Return the report of the first token."""
    return messages.RunStarted(secrets.token_hex(12), 7000, 312.5)


def ended() -> messages.RunEnded:
    """Return the report of the end."""
    return messages.RunEnded(
        secrets.token_hex(12), "", "draftmodels-17", messages.RunResult.DONE
    )


ROUND = (
    (admit(), granted()),
    (started(), messages.Noted()),
    (ended(), messages.Noted()),
)


def codec_us(message: codec.Message) -> float:
    """Return microseconds to encode and decode a message."""
    begun = time.process_time()
    for _ in range(CODEC_ROUNDS):
        codec.decode(codec.encode(message)[codec.LENGTH.size :])
    return 1e6 * (time.process_time() - begun) / CODEC_ROUNDS


def codec_rows() -> list[Row]:
    """Return a row for each message."""
    return [
        Row(
            type(message).__name__,
            len(codec.encode(message)),
            measuring.spread(
                [codec_us(message) for _ in range(measuring.REPEATS)], 1
            ),
        )
        for pair in ROUND
        for message in pair
    ]


def round_us(caller: client.Client) -> float:
    """Return microseconds of both sides for one request's three calls."""
    begun = time.process_time()
    for _ in range(CALL_ROUNDS):
        for asked, _ in ROUND:
            caller.call(asked, 5.0)
    return 1e6 * (time.process_time() - begun) / CALL_ROUNDS


def whole_round() -> Row:
    """Return the row of a request's three calls over loopback."""
    router = server.Router()
    for asked, reply in ROUND:
        router.on(type(asked), lambda peer, request, reply=reply: reply)
    me = connection.Identity("entry", "bench")
    serving = server.Server("127.0.0.1:0", me, KEY, router)
    serving.start()
    caller = client.Client(str(serving.address), me, KEY)
    found = [round_us(caller) for _ in range(measuring.REPEATS)]
    caller.close()
    serving.stop()
    size = sum(len(codec.encode(one)) for pair in ROUND for one in pair)
    return Row("three calls over loopback", size, measuring.spread(found, 1))


def main() -> None:
    """Measure and write."""
    rows = [*codec_rows(), whole_round()]
    for row in rows:
        print(row)
    measuring.write("wire-cost", rows)


if __name__ == "__main__":
    main()
