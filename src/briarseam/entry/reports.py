"""Queue of reports to the agent, which are retried while it is unavailable.

Only reports that stay true however late they arrive may be queued: the final
result of an attempt, or that it is never going to be sent.
"""

from __future__ import annotations

import collections
import dataclasses
import threading
import typing

from briarseam.wire import connection

if typing.TYPE_CHECKING:
    from briarseam.admission import messages
    from briarseam.wire import client as wire_client
    from briarseam.wire import codec

MAX_PENDING = 10_000
TIMEOUT_S = 2.0
RETRY_S = 0.25
STOP_JOIN_S = 3.0


class ReportQueue:
    """Sends reports to the agent, in order, each until it is acknowledged.

    Parameters
    ----------
    client
        Connections to the agent.
    max_body_bytes
        Maximum size of an answer stored for a replay; a longer one is
        truncated.
    """

    def __init__(
        self, client: wire_client.Client, max_body_bytes: int
    ) -> None:
        self.client = client
        self.max_body_bytes = max_body_bytes
        self.pending: collections.deque[codec.Message] = collections.deque(
            maxlen=MAX_PENDING
        )
        self.changed = threading.Condition()
        self.stopping = False
        self.thread = threading.Thread(
            target=self.run, name="reports", daemon=True
        )

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def stop(self, flush_s: float) -> None:
        """Wait up to ``flush_s`` seconds for an empty queue, then stop."""
        with self.changed:
            self.changed.wait_for(lambda: not self.pending, flush_s)
            self.stopping = True
            self.changed.notify_all()
        if self.thread.is_alive():
            self.thread.join(STOP_JOIN_S)

    def add_end(self, run: messages.RunEnded) -> None:
        """Queue the report of an attempt's result, without blocking."""
        if len(run.body) > self.max_body_bytes:
            stored_body = run.body[: self.max_body_bytes]
            run = dataclasses.replace(run, body=stored_body, whole=False)
        self.add(run)

    def add(self, message: codec.Message) -> None:
        """Queue a report, without blocking."""
        with self.changed:
            self.pending.append(message)
            self.changed.notify_all()

    def run(self) -> None:
        """Send queued reports until stopped."""
        while True:
            with self.changed:
                self.changed.wait_for(lambda: self.pending or self.stopping)
                if self.stopping:
                    return
                message = self.pending[0]
            if self.send(message):
                with self.changed:
                    if self.pending and self.pending[0] is message:
                        self.pending.popleft()
                    self.changed.notify_all()
                continue
            with self.changed:
                self.changed.wait_for(lambda: self.stopping, RETRY_S)

    def send(self, message: codec.Message) -> bool:
        """Send a report once; return whether the agent answered."""
        try:
            self.client.call(message, TIMEOUT_S)
        except connection.WireError:
            return False
        return True
