"""The requests that are being forwarded, and their end with the process."""

from __future__ import annotations

import contextlib
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.forwarding import supervision

if typing.TYPE_CHECKING:
    from briarseam.forwarding import work as works

log = structlog.get_logger("briarseam.forwarding")


class UnderWay:
    """Knows all requests under way, and ends them when the process ends.

    Attributes
    ----------
    works
        The requests, by identity.
    cutting
        Whether each is ended at once.
    """

    def __init__(self) -> None:
        self.works: dict[int, works.Work] = {}
        self.cutting = False
        self.lock = threading.Lock()

    @contextlib.contextmanager
    def holding(self, work: works.Work) -> typing.Iterator[None]:
        """Hold a request until it has its answer."""
        with self.lock:
            self.works[id(work)] = work
            cutting = self.cutting
        if cutting:
            work.watch.end(supervision.Ending.CUT_OFF)
        try:
            yield
        finally:
            with self.lock:
                del self.works[id(work)]

    def cut_off(self) -> None:
        """End all requests, since the process ends.

        Guard: a request that the process takes with it has neither an answer
        nor a verdict; its caller sees a closed connection and can't tell
        whether it may ask again.  Ended here, it is told; only a stream that
        has begun is broken off.
        """
        with self.lock:
            self.cutting = True
            cut_off = list(self.works.values())
        for work in cut_off:
            log.warning(
                "request_cut_off",
                request=work.call.id,
                route=work.route.name,
                steps=work.steps,
                events_sent=work.progress.events_sent,
                age_ms=round((clocks.boot_clock() - work.arrived_s) * 1000),
                time_left_ms=round(work.watch.left_s() * 1000),
            )
            work.watch.end(supervision.Ending.CUT_OFF)
