"""Model of an endpoint."""

from __future__ import annotations

import dataclasses
import functools

from briarseam.discovery import starts


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """An endpoint, in one of its starts.

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
        Number of requests that it processes concurrently.
    leaving
        Whether it is shutting down and accepts no new requests.
    versions
        Weight version by model, as last announced; 0 if unknown.
    software
        Version of its software; ``None`` while it is not known which one this
        start runs.
    cold_remaining_s
        How long it stays cold after its start, as of its entry, in seconds;
        ``None`` if the entry does not say.
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
    software: str | None = ""
    cold_remaining_s: float | None = dataclasses.field(
        default=None, compare=False
    )

    @functools.cached_property
    def start(self) -> starts.Start:
        """The start that the id identifies."""
        return starts.parse(self.id)
