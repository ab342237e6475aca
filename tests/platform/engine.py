"""Stand-in for an engine whose model weights can be changed."""

from __future__ import annotations

import json
import threading

from briarseam.testing import http_messages
from tests.platform import worker as workers

REPORT_PATH = ("briarseam", "report")
ORDER_PATH = ("briarseam", "order")


class Engine(workers.Worker):
    """Engine that executes orders to load weights, one at a time.

    Parameters
    ----------
    id
        Name of the engine.
    model
        Name of its model.
    drain_s
        Time until its runs end; an order that lets them finish waits for
        it.
    load_s
        Time to load weights.
    born
        Start time, as for :class:`worker.Worker`.
    """

    def __init__(
        self,
        id: str,
        model: str,
        drain_s: float,
        load_s: float,
        born: int | None = None,
    ) -> None:
        super().__init__(id, born=born)
        self.model = model
        self.drain_s = drain_s
        self.load_s = load_s
        self.version = 1
        self.busy = False

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one request."""
        if not self.is_addressed(request):
            return http_messages.Response(421)
        if request.path == REPORT_PATH:
            return self.report()
        if request.path == ORDER_PATH:
            return self.order(json.loads(request.body))
        return super().answer(request)

    def report(self) -> http_messages.Response:
        """Report the weights and whether an order is in progress."""
        with self.lock:
            return http_messages.json_response(
                200,
                {
                    "models": [{"name": self.model, "version": self.version}],
                    "busy": self.busy,
                    "seq": len(self.orders),
                    **self.start_fields(),
                },
            )

    def order(self, body: dict) -> http_messages.Response:
        """Accept an order unless one is in progress or its count differs."""
        with self.lock:
            if self.busy or body["expected"] != len(self.orders):
                return http_messages.json_response(409, {})
            self.orders.append(body)
            self.busy = True
        drain_s = self.drain_s if body["swapMode"] == "queue" else 0.0
        timer = threading.Timer(
            drain_s + self.load_s, self.finish_load, (body["version"],)
        )
        timer.daemon = True
        timer.start()
        return http_messages.json_response(202, {})

    def finish_load(self, version: int) -> None:
        """Switch to the new weights."""
        with self.lock:
            self.version = version
            self.busy = False
