"""Tracking of active requests, and their end when the process stops."""

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
    """Tracks all active requests, and ends them when the process stops.

    Attributes
    ----------
    contexts
        Context of each request, by its ``id()``.
    ending_all
        Whether new requests are ended immediately.
    """

    def __init__(self) -> None:
        self.contexts: dict[int, request_context.Context] = {}
        self.ending_all = False
        self.lock = threading.Lock()

    @contextlib.contextmanager
    def tracking(
        self, context: request_context.Context
    ) -> typing.Iterator[None]:
        """Track a request until it is answered."""
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
        """End all requests, because the process stops.

        Guard: if the process exits during a request, the caller gets neither
        an answer nor a verdict.  It only sees that the connection closes, so
        it cannot know whether a retry is safe.  A request that is ended
        here gets a verdict; only a stream that has started is truncated.
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
