"""Requests in flight, and whether a process still takes more."""

from __future__ import annotations

import enum
import threading
import time

POLL_S = 0.01


class Stage(enum.IntEnum):
    """How far a process is on its way to its end; it never goes back.

    Attributes
    ----------
    SERVING
        Requests are read and answered.
    LEAVING
        The same, and callers are asked not to keep their connections.
    REFUSING
        Requests are read and refused as not run.
    CLOSED
        No request is read any more.
    """

    SERVING = 0
    LEAVING = 1
    REFUSING = 2
    CLOSED = 3


class InFlight:
    """Counts requests and says what becomes of the next one.

    Guard: a stop that looks whether a request is in flight, and then ends,
    loses those that come in between.  It shows as a request that an endpoint
    runs while its caller's connection is closed without an answer.  Here the
    look and the next stage are one step; a request counts before its first
    byte is read, so none can be read and not be seen.

    Attributes
    ----------
    count
        Requests in flight.
    stage
        What becomes of the next one.
    """

    def __init__(self) -> None:
        self.count = 0
        self.stage = Stage.SERVING
        self.lock = threading.Lock()

    @property
    def leaving(self) -> bool:
        """Whether callers are asked not to keep their connections."""
        return self.stage >= Stage.LEAVING

    @property
    def refusing(self) -> bool:
        """Whether requests are refused."""
        return self.stage >= Stage.REFUSING

    def enter(self) -> bool:
        """Count a request in, unless none is read any more."""
        with self.lock:
            if self.stage is Stage.CLOSED:
                return False
            self.count += 1
            return True

    def leave(self) -> None:
        """Count a request out."""
        with self.lock:
            self.count -= 1

    def move_to(self, stage: Stage) -> None:
        """Reach a stage, whatever is in flight."""
        with self.lock:
            self.stage = max(self.stage, stage)

    def refuse_if_idle(self) -> bool:
        """Refuse requests from now on if none is in flight; tell whether."""
        with self.lock:
            if self.count:
                return False
            self.stage = max(self.stage, Stage.REFUSING)
            return True

    def close(self, wait_s: float) -> bool:
        """Read no request any more, once those in flight have ended.

        Parameters
        ----------
        wait_s
            Longest wait for them, in seconds.

        Returns
        -------
        bool
            Whether none was in flight.
        """
        end_s = time.monotonic() + wait_s
        while True:
            with self.lock:
                if self.stage is Stage.CLOSED:
                    return not self.count
                idle = not self.count
                if idle or time.monotonic() >= end_s:
                    self.stage = Stage.CLOSED
                    return idle
            time.sleep(POLL_S)
