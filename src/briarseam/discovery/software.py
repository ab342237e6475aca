"""Software versions that the endpoints of each service run, or ran lately."""

from __future__ import annotations

import threading
import typing

from briarseam import clocks

if typing.TYPE_CHECKING:
    from briarseam.discovery import model

# Callers take a stream up within such a time of its first event.
LOOKBACK_S = 60.0


class SoftwareHistory:
    """When each software version of a service was last seen; thread-safe.

    Parameters
    ----------
    endpoints
        Returns all endpoints that have an entry.
    clock
        Seconds.
    """

    def __init__(
        self,
        endpoints: typing.Callable[[], list[model.Endpoint]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.endpoints = endpoints
        self.clock = clock
        self.seen_s: dict[str, dict[str | None, float]] = {}
        self.since_s: dict[str, float] = {}
        self.lock = threading.Lock()

    def record_entry(self, endpoint: model.Endpoint) -> None:
        """Record the version that an endpoint's entry names."""
        now_s = self.clock()
        with self.lock:
            self.since_s.setdefault(endpoint.service, now_s)
            versions = self.seen_s.setdefault(endpoint.service, {})
            versions[endpoint.software] = now_s

    def most_versions(self) -> int:
        """Return the most versions that endpoints of one service run."""
        by_service: dict[str, set[str | None]] = {}
        for endpoint in self.endpoints():
            versions = by_service.setdefault(endpoint.service, set())
            versions.add(endpoint.software)
        return max(map(len, by_service.values()), default=0)

    def is_complete(self, service: str) -> bool:
        """Return whether a service was observed for the whole time."""
        with self.lock:
            since_s = self.since_s.get(service, float("inf"))
        return since_s <= self.clock() - LOOKBACK_S

    def only_version(self, service: str) -> str | None:
        """Return the only version seen within the time, if there is one."""
        oldest_s = self.clock() - LOOKBACK_S
        with self.lock:
            versions = {
                version
                for version, seen_s in self.seen_s.get(service, {}).items()
                if seen_s >= oldest_s
            }
        versions.update(
            one.software for one in self.endpoints() if one.service == service
        )
        return versions.pop() if len(versions) == 1 else None
