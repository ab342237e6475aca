"""Sending tokens straight from the thread that makes them."""

from __future__ import annotations

import threading

from briarseam.testing import http_messages


class Sink:
    """One caller's connection while it keeps up with its run.

    With many streams, a thread woken for each token costs far more than
    the token; so the thread that makes the tokens sends them itself, and
    the connection's own thread sleeps until it is needed.

    Parameters
    ----------
    output
        The connection.

    Attributes
    ----------
    released
        Set when the connection's own thread must go on.
    count
        Tokens given to it.
    rest
        Bytes of the last one that did not fit into the socket.
    failed
        Whether the connection is lost.
    """

    def __init__(self, output: http_messages.Output) -> None:
        self.output = output
        self.released = threading.Event()
        self.count = 0
        self.rest = b""
        self.failed = False

    def push(self, event: bytes) -> bool:
        """Send one event without waiting.

        Parameters
        ----------
        event
            The event.

        Returns
        -------
        bool
            Whether all of it went; otherwise the sink is released.
        """
        framed = self.output.frame(event)
        self.count += 1
        try:
            sent = self.output.send_now(framed)
        except OSError:
            self.failed = True
            self.released.set()
            return False
        self.rest = framed[sent:]
        if self.rest:
            self.released.set()
            return False
        return True
