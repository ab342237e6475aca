"""What is known about one endpoint."""

from __future__ import annotations

import dataclasses
import functools

from briarseam.discovery import starts


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One start of one endpoint.

    Attributes
    ----------
    id
        Unique over all starts of all endpoints, as in
        :class:`briarseam.discovery.starts.Start`.
    service
        Name of its service.
    address
        ``ip:port``.
    zone
        Availability zone.
    slots
        Requests that it works on at once.
    leaving
        Whether it will be gone soon and takes no new work.
    versions
        Weight version by model, as last announced.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool = False
    versions: dict[str, int] = dataclasses.field(
        default_factory=dict, hash=False
    )

    @functools.cached_property
    def start(self) -> starts.Start:
        """The start that this is."""
        return starts.parse(self.id)
