"""Applies what the answers to requests tell of their endpoints."""

from __future__ import annotations

import typing

from briarseam.discovery import announcements
from briarseam.discovery import starts

if typing.TYPE_CHECKING:
    from briarseam.compose import node_metrics
    from briarseam.discovery import start_updates
    from briarseam.eligibility import service as eligibilities


class AnnouncementRecorder:
    """Passes on what answers tell, and counts it.

    Parameters
    ----------
    eligibility
        Decides which endpoints may get requests.
    leaving
        Starts that are leaving, published to peers.
    counters
        Count answers by what they tell.
    """

    def __init__(
        self,
        eligibility: eligibilities.Eligibility,
        leaving: start_updates.StartUpdates,
        counters: node_metrics.AnnouncementCounters,
    ) -> None:
        self.eligibility = eligibility
        self.leaving = leaving
        self.counters = counters

    def record(
        self,
        endpoint_id: str,
        announced: announcements.Announcements,
        sent_s: float,
    ) -> None:
        """Record what one answer tells.

        Parameters
        ----------
        endpoint_id
            The start that answered.
        announced
            What its answer tells.
        sent_s
            When the request was sent, by the boot clock.
        """
        if announced != announcements.NONE:
            self.count(announced)
        self.eligibility.record_answer(endpoint_id, announced, sent_s)
        if announced.leaving:
            self.leaving.record(starts.parse(endpoint_id))

    def count(self, announced: announcements.Announcements) -> None:
        """Count an answer by what it tells."""
        if announced.rate_limit != announcements.NO_RATE_LIMIT:
            self.counters.rate_limit.add()
        if announced.rejection_limit != announcements.NO_RATE_LIMIT:
            self.counters.rejection_limit.add()
        if announced.leaving:
            self.counters.leaving.add()
        if announced.backoff_s is not None:
            self.counters.backoff.add()
