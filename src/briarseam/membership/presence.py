"""Reports of an entry process to its agent."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam.membership import messages
from briarseam.wire import connection as connections

if typing.TYPE_CHECKING:
    from briarseam.wire import client as clients

INTERVAL_S = 1.0
CALL_TIMEOUT_S = 1.0
DEFAULT_LINGER_S = 8.0
log = structlog.get_logger("briarseam.membership")


class Presence:
    """Reports an entry to its agent until closed.

    Parameters
    ----------
    client
        Client of the agent.
    address
        ``ip:port`` where callers reach the entry.
    interval_s
        Seconds between reports.
    """

    def __init__(
        self,
        client: clients.Client,
        address: str,
        interval_s: float = INTERVAL_S,
    ) -> None:
        self.client = client
        self.address = address
        self.interval_s = interval_s
        self.state = messages.EntryState.SERVING
        self.published = False
        self.linger_s = DEFAULT_LINGER_S
        self.lock = threading.Lock()
        self.stopping = threading.Event()

    def start(self) -> None:
        """Start reporting."""
        threading.Thread(target=self.run, name="presence", daemon=True).start()

    def run(self) -> None:
        """Report at each interval until closed."""
        while not self.stopping.is_set():
            self.report()
            self.stopping.wait(self.interval_s)

    def report(self) -> None:
        """Report the current state to the agent, and store its reply."""
        # One report at a time: a "serving" that arrives after a later
        # "leaving" would direct callers to an entry about to exit.
        with self.lock:
            state = self.state
            try:
                reply = self.client.call(
                    messages.EntryHere(self.address, state), CALL_TIMEOUT_S
                )
            except connections.WireError as error:
                log.debug("agent_away", detail=str(error))
                return
            if isinstance(reply, messages.EntryNoted):
                self.linger_s = reply.linger_s
                self.published = reply.told and state is not (
                    messages.EntryState.SERVING
                )

    def leave(self) -> None:
        """Report that the entry must no longer be in lookups."""
        self.state = messages.EntryState.LEAVING
        self.report()

    def leaving_published(self) -> bool:
        """Return whether all agents know that the entry is leaving.

        Reports again until they do.
        """
        if not self.published:
            self.report()
        return self.published

    def close(self) -> None:
        """Report that the entry is gone, and stop reporting."""
        self.stopping.set()
        self.state = messages.EntryState.GONE
        self.report()
