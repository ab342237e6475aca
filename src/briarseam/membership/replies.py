"""Taking in what peers answer to heartbeats."""

from __future__ import annotations

import threading
import typing

if typing.TYPE_CHECKING:
    from briarseam.membership import freshness as freshnesses
    from briarseam.membership import messages
    from briarseam.membership import table as tables


class ReplyHandler:
    """Takes in answers, each with when its heartbeat was sent.

    Parameters
    ----------
    table
        The cell's other agents.
    freshness
        Whether this agent's view is recent.
    """

    def __init__(
        self, table: tables.Table, freshness: freshnesses.Freshness
    ) -> None:
        self.table = table
        self.freshness = freshness
        self.heartbeats_answered = 0
        self.heartbeats_failed = 0
        self.lock = threading.Lock()

    def take_about(self, about: messages.About, sent_at: float) -> None:
        """Take in a peer's answer to an introduction sent at ``sent_at``."""
        self.table.take_about(about, sent_at)
        self.freshness.note_answer(sent_at)

    def take_alive(self, name: str, incarnation: int, sent_at: float) -> None:
        """Take in a peer's answer to a heartbeat sent at ``sent_at``."""
        with self.table.lock:
            found = self.table.records.get(name)
            if found is not None and found.incarnation == incarnation:
                self.table.note_heard(found, sent_at)
        self.freshness.note_answer(sent_at)

    def take_superseded(self) -> None:
        """Take in that a peer hears a later start of this instance."""
        self.freshness.note_superseded()

    def take_peers(self, answer: messages.Peers) -> None:
        """Take in whom a peer hears."""
        for about in answer.members:
            self.table.take_hearsay(about)

    def count_beat(self, answered: bool) -> None:
        """Count a heartbeat by whether it was answered."""
        with self.lock:
            if answered:
                self.heartbeats_answered += 1
            else:
                self.heartbeats_failed += 1
