"""Software versions that the endpoints of each service run, or ran lately."""

from __future__ import annotations

import threading
import typing

from briarseam import clocks

if typing.TYPE_CHECKING:
    from briarseam.discovery import model

# Callers take a stream up within such a time of its first event.
LOOKBACK_S = 60.0
# A long poll of the entries, the pause after it and one more read.
CONFIRM_WAIT_S = 2.5


class EntryReads(typing.Protocol):
    """Reads of the endpoints' entries at the store.

    Attributes
    ----------
    continuous_since_s
        Since when each entry that was written was read.
    """

    continuous_since_s: float

    def await_complete(self, until_s: float, timeout_s: float) -> bool:
        """Wait for all entries until a time; return whether they are read."""


class SoftwareHistory:
    """When each software version of a service was last seen; thread-safe.

    Parameters
    ----------
    endpoints
        Returns all endpoints that have an entry.
    reads
        Reads of the entries; by the same clock.
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self,
        endpoints: typing.Callable[[], list[model.Endpoint]],
        reads: EntryReads,
        clock: typing.Callable[[], float] = clocks.boot_clock,
    ) -> None:
        self.endpoints = endpoints
        self.reads = reads
        self.clock = clock
        self.seen_s: dict[str, dict[str | None, float]] = {}
        self.since_s: dict[str, float] = {}
        # Newest entries of the starts that may be running.
        self.running: dict[str, model.Endpoint] = {}
        self.lock = threading.Lock()

    def record_entry(self, endpoint: model.Endpoint) -> None:
        """Record the version that an endpoint's entry names."""
        now_s = self.clock()
        with self.lock:
            self.since_s.setdefault(endpoint.service, now_s)
            former = self.running.get(endpoint.id, endpoint)
            self.running[endpoint.id] = endpoint
            self.record_seen(former, now_s)
            self.record_seen(endpoint, now_s)

    def record_gone(self, ids: frozenset[str]) -> None:
        """Record that starts have ended.

        An outage of the store may have kept their entries from being written
        for as long as streams are taken up.
        """
        now_s = self.clock()
        with self.lock:
            for endpoint_id in ids & self.running.keys():
                self.record_seen(self.running.pop(endpoint_id), now_s)

    def keep_only(self, ids: frozenset[str]) -> None:
        """Record that all starts but these have ended."""
        with self.lock:
            gone = self.running.keys() - ids
        self.record_gone(frozenset(gone))

    def record_seen(self, endpoint: model.Endpoint, now_s: float) -> None:
        """Record that an endpoint was running; requires the lock."""
        versions = self.seen_s.setdefault(endpoint.service, {})
        versions[endpoint.software] = now_s

    def most_versions(self) -> int:
        """Return the most versions that endpoints of one service run."""
        by_service: dict[str, set[str | None]] = {}
        for endpoint in self.endpoints():
            versions = by_service.setdefault(endpoint.service, set())
            versions.add(endpoint.software)
        return max(map(len, by_service.values()), default=0)

    def is_complete(self, service: str, at_s: float | None = None) -> bool:
        """Return whether all entries of a service within the time were read.

        Parameters
        ----------
        service
            The service.
        at_s
            When the time ends; now, if it is not given.
        """
        with self.lock:
            since_s = self.since_s.get(service, float("inf"))
        since_s = max(since_s, self.reads.continuous_since_s)
        return since_s <= self.oldest_s(at_s)

    def oldest_s(self, at_s: float | None) -> float:
        """Return when the time that counts begins."""
        return (self.clock() if at_s is None else at_s) - LOOKBACK_S

    def await_read(self, until_s: float, time_left_s: float | None) -> bool:
        """Wait for all entries until a time; return whether they are read."""
        wait_s = CONFIRM_WAIT_S
        if time_left_s is not None:
            wait_s = max(0.0, min(wait_s, time_left_s))
        return self.reads.await_complete(until_s, wait_s)

    def only_version(
        self, service: str, at_s: float | None = None
    ) -> str | None:
        """Return the only version seen within the time, if there is one.

        Parameters
        ----------
        service
            The service.
        at_s
            When the time ends; now, if it is not given.
        """
        oldest_s = self.oldest_s(at_s)
        with self.lock:
            versions = {
                version
                for version, seen_s in self.seen_s.get(service, {}).items()
                if seen_s >= oldest_s
            }
            versions.update(
                one.software
                for one in self.running.values()
                if one.service == service
            )
        versions.update(
            one.software for one in self.endpoints() if one.service == service
        )
        return versions.pop() if len(versions) == 1 else None
