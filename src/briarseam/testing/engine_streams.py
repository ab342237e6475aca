"""The streams in which a stand-in engine gives its runs' answers."""

from __future__ import annotations

import collections.abc

from briarseam.testing import engine_switches
from briarseam.testing import http_messages

TOKEN_START = b"id: "


def joined(
    batches: collections.abc.Iterator[list[bytes]],
    switches: collections.abc.Callable[[], engine_switches.Switches],
) -> collections.abc.Iterator[bytes]:
    """Join events into pieces to send, cut as the switches say.

    Parameters
    ----------
    batches
        Events that were ready at once; the last one ends with ``done`` or
        ``error`` unless the engine stopped.
    switches
        Returns the present switches.

    Yields
    ------
    bytes
        The pieces.

    Raises
    ------
    http_messages.Dropped
        When the stream is cut.
    """
    sent = 0
    for batch in batches:
        limit = switches().truncate_after
        for count, event in enumerate(batch, 1):
            sent += event.startswith(TOKEN_START)
            if limit and sent >= limit:
                yield b"".join(batch[:count])
                raise http_messages.Dropped
        yield b"".join(batch)
