"""Waiting for the signal that ends a daemon."""

from __future__ import annotations

import signal
import threading
import types
import typing


class StopSignals:
    """Which of the signals to stop have come.

    Attributes
    ----------
    first
        Set by the first: stop when nothing is in flight.
    second
        Set by the second: stop now.
    """

    def __init__(self) -> None:
        self.first = threading.Event()
        self.second = threading.Event()

    def note(self, number: int, frame: types.FrameType | None) -> None:
        """Take in a signal."""
        del number, frame
        if self.first.is_set():
            self.second.set()
        self.first.set()


def watch() -> StopSignals:
    """Return what SIGTERM and SIGINT set from now on."""
    signals = StopSignals()
    signal.signal(signal.SIGTERM, signals.note)
    signal.signal(signal.SIGINT, signals.note)
    return signals


def stop_on_signals() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set."""
    return watch().first


def on_reload(reload: typing.Callable[[], None]) -> None:
    """Call ``reload`` for each SIGHUP from now on.

    Its default would end the process, and with it all that is under way.
    """

    def note(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        reload()

    signal.signal(signal.SIGHUP, note)
