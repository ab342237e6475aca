"""A thread that does one task at a fixed interval until stopped."""

from __future__ import annotations

import threading
import typing

import structlog

log = structlog.get_logger("briarseam.repeating")


class Repeater:
    """Does a task in a thread of its own, with a pause before each time.

    Parameters
    ----------
    name
        Of the thread.
    task
        What to do.
    interval_s
        Pause between two times, in seconds.
    first_s
        Pause before the first time, in seconds; as between two unless
        given.

    Attributes
    ----------
    stopping
        Set once no further task begins.
    """

    def __init__(
        self,
        name: str,
        task: typing.Callable[[], object],
        interval_s: float,
        first_s: float | None = None,
    ) -> None:
        self.name = name
        self.task = task
        self.interval_s = interval_s
        self.first_s = interval_s if first_s is None else first_s
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run, name=name, daemon=True)

    def start(self) -> None:
        """Begin."""
        self.thread.start()

    def stop(self) -> None:
        """Stop after the task under way."""
        self.stopping.set()

    def run(self) -> None:
        """Do the task until stopped."""
        pause_s = self.first_s
        while not self.stopping.wait(pause_s):
            pause_s = self.interval_s
            try:
                self.task()
            except Exception:
                # A fault of ours must not end the thread: a rollout, say,
                # would stand still until the process ends.
                log.exception("task_failed", what=self.name)
