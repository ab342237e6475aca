"""Waiting for the signal that ends a daemon."""

from __future__ import annotations

import signal
import threading
import types
import typing

from briarseam import clocks

# How late a signal may be noticed that another thread got.
CHECK_S = 0.25


class StopSignals:
    """Which of the signals to stop have come.

    Attributes
    ----------
    first
        Set by the first: stop when nothing is in flight.
    second
        Set by the second: stop now.
    first_s
        When the first was taken in, by the boot clock; 0 before it.
    """

    def __init__(self) -> None:
        self.first = threading.Event()
        self.second = threading.Event()
        self.first_s = 0.0

    def wait(self) -> None:
        """Wait for the first of them, in the main thread.

        Handlers run in the main thread only.  The kernel hands a signal to
        another thread when the main one has just got one, as when SIGTERM
        follows SIGHUP at once, and a main thread that waits without a limit
        is not woken then: the process would not stop.
        """
        while not self.first.wait(CHECK_S):
            pass

    def note(self, number: int, frame: types.FrameType | None) -> None:
        """Take in a signal."""
        del number, frame
        if self.first.is_set():
            self.second.set()
        else:
            self.first_s = clocks.boot_clock()
        self.first.set()


def watch() -> StopSignals:
    """Return what SIGTERM and SIGINT set from now on."""
    signals = StopSignals()
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
