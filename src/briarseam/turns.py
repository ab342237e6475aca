"""Turns of threads that work on large requests.

Threads that read large bodies, or parse large heads, would take the
interpreter from those that serve ordinary requests: each of these waits for
all others whenever it goes on.  So only one of them works at a time, and the
turn is given up while its client is waited for.
"""

from __future__ import annotations

import contextlib
import threading
import typing

# Smaller heads are parsed, and smaller bodies read, without a turn.
MIN_HEAD_BYTES = 4096
MIN_BODY_BYTES = 65536

LARGE_REQUESTS = threading.Lock()
NO_TURN = contextlib.nullcontext()


def of_head(size: int) -> typing.ContextManager[typing.Any]:
    """Return the turn for work on a head of so many bytes."""
    return LARGE_REQUESTS if size >= MIN_HEAD_BYTES else NO_TURN
