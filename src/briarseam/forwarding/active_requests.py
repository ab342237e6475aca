"""The requests that are being forwarded, and their end with the process."""

from __future__ import annotations

import contextlib
import threading
import typing

import structlog

from briarseam import clocks
from briarseam.forwarding import supervision

if typing.TYPE_CHECKING:
    from briarseam.forwarding import request_context

log = structlog.get_logger("briarseam.forwarding")


class ActiveRequests:
    """Knows all requests under way, and ends them when the process ends.

    Attributes
    ----------
    contexts
        The requests, by identity.
    ending_all
        Whether each is ended at once.
    """

    def __init__(self) -> None:
        self.contexts: dict[int, request_context.Context] = {}
        self.ending_all = False
        self.lock = threading.Lock()

    @contextlib.contextmanager
    def tracking(
        self, context: request_context.Context
    ) -> typing.Iterator[None]:
        """Hold a request until it has its answer."""
        with self.lock:
            self.contexts[id(context)] = context
            ending_all = self.ending_all
        if ending_all:
            context.watch.end(supervision.Ending.CUT_OFF)
        try:
            yield
        finally:
            with self.lock:
                del self.contexts[id(context)]

    def cut_off(self) -> None:
        """End all requests, since the process ends.

        Guard: a request that the process takes with it has neither an answer
        nor a verdict; its caller sees a closed connection and can't tell
        whether it may ask again.  Ended here, it is told; only a stream that
        has begun is broken off.
        """
        with self.lock:
            self.ending_all = True
            cut_off = list(self.contexts.values())
        for context in cut_off:
            log.warning(
                "request_cut_off",
                request=context.call.id,
                route=context.route.name,
                steps=context.steps,
                events_sent=context.progress.events_sent,
                age_ms=round((clocks.boot_clock() - context.arrived_s) * 1000),
                time_left_ms=round(context.watch.remaining_s() * 1000),
            )
            context.watch.end(supervision.Ending.CUT_OFF)
