"""What endpoints' answers said of their rate limits, for other instances."""

from __future__ import annotations

import collections.abc
import dataclasses
import typing

import msgspec

# What an answer said is published this long; the next answer renews it.
PUBLISH_S = 3.0
# Ages of others' reports are known to about a heartbeat.  In doubt a limit
# holds.
AGE_ERROR_S = 0.5
MS = 1000.0

PerSecond = typing.Annotated[float, msgspec.Meta(ge=0)]
Milliseconds = typing.Annotated[float, msgspec.Meta(ge=0)]
# An endpoint's id, its limit if it names one, and the age of that answer.
Row = tuple[str, PerSecond | None, Milliseconds]


@dataclasses.dataclass(frozen=True)
class Heard:
    """What an endpoint's last answer said.

    Attributes
    ----------
    per_s
        Its limit; ``None`` if it named none.
    at_s
        When the answer came, or when its request was sent if it named none.
    heard_s
        When this instance learned of it.
    """

    per_s: float | None
    at_s: float
    heard_s: float


class HeardLimits:
    """The last answer of each endpoint; not thread-safe."""

    def __init__(self) -> None:
        self.by_endpoint: dict[str, Heard] = {}

    def add(self, endpoint_id: str, heard: Heard) -> None:
        """Add an answer, unless a newer one is known."""
        known = self.by_endpoint.get(endpoint_id)
        if known is None or heard.at_s >= known.at_s:
            self.by_endpoint[endpoint_id] = heard

    def rows(self, now_s: float) -> list[Row]:
        """Return what was heard lately, to be published."""
        return [
            (endpoint_id, heard.per_s, max(0.0, now_s - heard.at_s) * MS)
            for endpoint_id, heard in self.by_endpoint.items()
            if now_s < heard.heard_s + PUBLISH_S
        ]

    def keep_only(self, endpoint_ids: collections.abc.Container[str]) -> None:
        """Drop all other endpoints."""
        for endpoint_id in list(self.by_endpoint):
            if endpoint_id not in endpoint_ids:
                del self.by_endpoint[endpoint_id]


def from_row(row: Row, now_s: float) -> Heard:
    """Return what another instance has heard."""
    _endpoint_id, per_s, age_ms = row
    at_s = now_s - age_ms / MS
    if per_s is None:
        at_s -= AGE_ERROR_S
    return Heard(per_s, at_s, now_s)
