"""Waiting for the signal that ends a daemon."""

from __future__ import annotations

import signal
import threading
import types


def stop_on_signals() -> threading.Event:
    """Return an event that SIGTERM and SIGINT set."""
    event = threading.Event()

    def note(number: int, frame: types.FrameType | None) -> None:
        del number, frame
        event.set()

    signal.signal(signal.SIGTERM, note)
    signal.signal(signal.SIGINT, note)
    return event
