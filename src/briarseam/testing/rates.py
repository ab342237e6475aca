"""Limits of a service: calls a second and bytes a second."""

from __future__ import annotations

import threading
import time

BURST_S = 0.25
"""Calls that a call limit lets through at once, as seconds of its rate."""

TRANSFER_BYTES = 65536
"""Bytes a transfer takes from a link at a time, so that many share it."""


class CallLimit:
    """A token bucket over calls; the rate is given with each call."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.allowance = 0.0
        self.filled_at = 0.0

    def wait_s(self, per_s: float) -> float:
        """Ask for one call.

        Parameters
        ----------
        per_s
            Calls a second; 0 sets no limit.

        Returns
        -------
        float
            0 when the call may go on, else seconds until one may.
        """
        if not per_s:
            return 0
        with self.lock:
            now = time.monotonic()
            burst = max(1.0, per_s * BURST_S)
            gained = (now - self.filled_at) * per_s
            self.allowance = min(burst, self.allowance + gained)
            self.filled_at = now
            if self.allowance < 1:
                return (1 - self.allowance) / per_s
            self.allowance -= 1
            return 0


class Link:
    """A link whose bytes a second are shared by all transfers over it.

    Attributes
    ----------
    moved
        Bytes so far.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.free_at = 0.0
        self.moved = 0

    def transfer(
        self, size: int, bytes_per_s: float, stopping: threading.Event
    ) -> None:
        """Wait as long as bytes take on the link.

        Parameters
        ----------
        size
            Bytes to move.
        bytes_per_s
            The link's rate; 0 sets no limit.
        stopping
            Ends the wait early.
        """
        with self.lock:
            self.moved += size
        if not bytes_per_s:
            return
        while size > 0 and not stopping.is_set():
            part = min(size, TRANSFER_BYTES)
            done_at = self.reserve(part / bytes_per_s)
            stopping.wait(max(0.0, done_at - time.monotonic()))
            size -= part

    def reserve(self, seconds: float) -> float:
        """Take the link's next free stretch.

        Parameters
        ----------
        seconds
            Length of the stretch.

        Returns
        -------
        float
            Monotonic time at which it ends.
        """
        with self.lock:
            start = max(self.free_at, time.monotonic())
            self.free_at = start + seconds
            return self.free_at
