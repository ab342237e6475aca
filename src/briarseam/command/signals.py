"""Waiting for the signal that ends a daemon."""

from __future__ import annotations

import os
import select
import signal
import types
import typing

from briarseam import clocks

READ_BYTES = 64


class StopSignals:
    """Which of the signals to stop have come.

    Guard: a handler runs in the main thread, wherever that is.  One that
    took a lock which the waiting main thread holds for a moment, as
    `threading.Event` does, would wait for itself for good; it shows as a
    process that serves on after SIGTERM until it is killed, with all that it
    serves.  The handler only sets plain values, and the interpreter itself
    wakes the main thread through a pipe, whichever thread the kernel gave
    the signal to.

    Attributes
    ----------
    first_s
        When the first came, by the boot clock; `None` before it.
    hurried
        Whether an operator asked again, by SIGINT: stop now.
    """

    def __init__(self) -> None:
        self.first_s: float | None = None
        self.hurried = False
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)

    def wait(self) -> float:
        """Wait for the first of them, in the main thread.

        Returns
        -------
        float
            When it came, by the boot clock.
        """
        while self.first_s is None:
            select.select([self.reader], [], [])
            os.read(self.reader, READ_BYTES)
        return self.first_s

    def note(self, number: int, frame: types.FrameType | None) -> None:
        """Take in a signal."""
        del frame
        if self.first_s is None:
            self.first_s = clocks.boot_clock()
        elif number == signal.SIGINT:
            # A supervisor may repeat SIGTERM, which asks for nothing new.
            self.hurried = True


def watch() -> StopSignals:
    """Return what SIGTERM and SIGINT set from now on."""
    signals = StopSignals()
    signal.set_wakeup_fd(signals.writer, warn_on_full_buffer=False)
    signal.signal(signal.SIGTERM, signals.note)
    signal.signal(signal.SIGINT, signals.note)
    return signals


def on_reload(reload: typing.Callable[[], None]) -> None:
    """Call ``reload`` for each SIGHUP from now on.

    Its default would end the process, and with it all that is under way.
    """

    def note(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        reload()

    signal.signal(signal.SIGHUP, note)
