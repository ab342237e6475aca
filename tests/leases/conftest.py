from __future__ import annotations

import dataclasses

import pytest

from briarseam.backing import log as platform_log
from briarseam.leases import service

TTL_S = 8.0


@dataclasses.dataclass
class ManualClock:
    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


class MemoryLog:
    """A log that delivers records to its readers at once, unless paused."""

    def __init__(self) -> None:
        self.entries: list[bytes] = []
        self.first = 1
        self.readers: list[service.Leases] = []
        self.paused: set[str] = set()
        self.lose_reply = False
        self.before_append = lambda: None
        self.unavailable = False

    def append(self, stream, data) -> platform_log.AppendOutcome:
        if self.unavailable:
            return platform_log.AppendRefused("unavailable", 1.0)
        self.before_append()
        self.entries.append(data)
        self.deliver()
        if self.lose_reply:
            return platform_log.AppendUnknown("reply lost")
        return platform_log.Appended(len(self.entries))

    def read(self, after: int) -> platform_log.Batch:
        start = max(after + 1, self.first)
        return platform_log.Batch(
            self.first,
            len(self.entries) + 1,
            tuple(
                platform_log.Record(offset, 0, self.entries[offset - 1])
                for offset in range(start, len(self.entries) + 1)
            ),
        )

    def deliver(self) -> None:
        if self.unavailable:
            return
        for reader in self.readers:
            if reader.holder.split("/")[0] not in self.paused:
                reader.apply_batch(self.read(reader.fold.through))

    def join(self, name: str, clock: ManualClock) -> service.Leases:
        leases = service.Leases(self, name, TTL_S, clock)
        self.readers.append(leases)
        self.deliver()
        return leases


@pytest.fixture
def log() -> MemoryLog:
    return MemoryLog()


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock()
