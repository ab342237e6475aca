"""Handling of peers' replies to heartbeats."""

from __future__ import annotations

import threading
import typing

if typing.TYPE_CHECKING:
    from briarseam.membership import freshness as freshnesses
    from briarseam.membership import messages
    from briarseam.membership import table as tables


class ReplyHandler:
    """Applies replies, each with the time its heartbeat was sent at.

    Parameters
    ----------
    table
        The cell's other agents.
    freshness
        Freshness of the local agent's view.
    """

    def __init__(
        self, table: tables.Table, freshness: freshnesses.Freshness
    ) -> None:
        self.table = table
        self.freshness = freshness
        self.heartbeats_answered = 0
        self.heartbeats_failed = 0
        self.lock = threading.Lock()

    def apply_about(self, about: messages.About, sent_at: float) -> None:
        """Apply the reply to an introduction sent at ``sent_at``."""
        self.table.apply_about(about, sent_at)
        self.freshness.record_reply(sent_at)

    def apply_alive(self, name: str, incarnation: int, sent_at: float) -> None:
        """Apply the reply to a heartbeat sent at ``sent_at``."""
        with self.table.lock:
            record = self.table.records.get(name)
            if record is not None and record.incarnation == incarnation:
                self.table.record_contact(record, sent_at)
        self.freshness.record_reply(sent_at)

    def apply_superseded(self) -> None:
        """Apply a reply that a later incarnation of this instance is live."""
        self.freshness.record_superseded()

    def apply_peers(self, answer: messages.Peers) -> None:
        """Apply a peer's list of live agents."""
        for about in answer.members:
            self.table.apply_peer_report(about)

    def count_heartbeat(self, answered: bool) -> None:
        """Count a heartbeat as answered or failed."""
        with self.lock:
            if answered:
                self.heartbeats_answered += 1
            else:
                self.heartbeats_failed += 1
