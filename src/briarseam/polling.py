"""A thread that asks the same thing again and again until stopped."""

from __future__ import annotations

import threading
import typing

import structlog

log = structlog.get_logger("briarseam.polling")


class Poller:
    """Polls until stopped, and tells once when that begins or ceases to fail.

    Parameters
    ----------
    name
        Of the thread, and of what is polled in log lines.
    poll
        Asks once; returns the pause to the next time, in seconds.
    failure
        What it raises when it got no proper answer.
    retry_s
        Pause after a failure.
    on_failure
        Called with each failure, before the pause.

    Attributes
    ----------
    available
        Whether the last poll succeeded.
    stopping
        Set once it should stop; the answer of a poll that is under way
        then must not be used.
    """

    def __init__(
        self,
        name: str,
        poll: typing.Callable[[], float],
        failure: type[Exception],
        retry_s: float,
        on_failure: typing.Callable[[Exception], None] = lambda error: None,
    ) -> None:
        self.name = name
        self.poll = poll
        self.failure = failure
        self.retry_s = retry_s
        self.on_failure = on_failure
        self.available = True
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, name=name, daemon=True)

    def start(self) -> None:
        """Begin polling."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the poll under way."""
        self.stopping.set()

    def run(self) -> None:
        """Poll until stopped."""
        while not self.stopping.is_set():
            try:
                pause_s = self.step()
            except Exception:
                # A fault of ours must not end the thread: what it follows
                # would never be looked at again.
                log.exception("poll_failed", what=self.name)
                pause_s = self.retry_s
            self.stopping.wait(pause_s)

    def step(self) -> float:
        """Poll once; return the pause to the next time."""
        try:
            pause_s = self.poll()
        except self.failure as error:
            self.on_failure(error)
            if self.available:
                log.warning("poll_failing", what=self.name, detail=str(error))
            self.available = False
            return self.retry_s
        if not self.available:
            log.warning("poll_regained", what=self.name)
        self.available = True
        return pause_s
