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

    Guard: a handler runs in the main thread, wherever that is, in another
    handler too.  One that took a lock which the main thread holds for a
    moment, as `threading.Event` does, would wait for itself for good; it
    shows as a process that serves on after SIGTERM until it is killed, with
    all that it serves.  Handlers only set plain values, and the interpreter
    itself wakes the main thread through a pipe, whichever thread the kernel
    gave the signal to.

    Attributes
    ----------
    first_s
        When the first came, by the boot clock; `None` before it.
    hurried
        Whether an operator asked again, by SIGINT: stop now.
    reload
        What SIGHUP asks for.
    reload_asked
        Whether it has come since the last reload.
    """

    def __init__(self) -> None:
        self.first_s: float | None = None
        self.hurried = False
        self.reload: typing.Callable[[], None] = lambda: None
        self.reload_asked = False
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        os.set_blocking(self.writer, False)

    def wait(self) -> float:
        """Wait for the first of them, in the main thread; reload meanwhile.

        Returns
        -------
        float
            When it came, by the boot clock.
        """
        while self.first_s is None:
            select.select([self.reader], [], [])
            os.read(self.reader, READ_BYTES)
            if self.reload_asked:
                self.reload_asked = False
                self.reload()
        return self.first_s

    def note(self, number: int, frame: types.FrameType | None) -> None:
        """Take in a signal."""
        del frame
        if self.first_s is None:
            self.first_s = clocks.boot_clock()
        elif number == signal.SIGINT:
            # A supervisor may repeat SIGTERM, which asks for nothing new.
            self.hurried = True

    def note_reload(self, number: int, frame: types.FrameType | None) -> None:
        """Take in SIGHUP."""
        del number, frame
        self.reload_asked = True

    def on_reload(self, reload: typing.Callable[[], None]) -> None:
        """Call ``reload`` from :meth:`wait` after each SIGHUP.

        Its default would end the process, and with it all that is under way.
        """
        self.reload = reload
        signal.signal(signal.SIGHUP, self.note_reload)


def watch() -> StopSignals:
    """Return what SIGTERM and SIGINT set from now on."""
    signals = StopSignals()
    signal.set_wakeup_fd(signals.writer, warn_on_full_buffer=False)
    signal.signal(signal.SIGTERM, signals.note)
    signal.signal(signal.SIGINT, signals.note)
    return signals
