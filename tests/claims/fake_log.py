"""In-memory log whose appends fail as a test specifies."""

from __future__ import annotations

import collections
import enum
import threading
import time

from briarseam.backing import log as platform_log


class Fate(enum.Enum):
    KEPT = "kept"
    ANSWER_LOST = "answer-lost"
    NEVER_ARRIVED = "never-arrived"
    LATE = "late"
    DOUBLED = "doubled"
    REFUSED = "refused"
    THROTTLED = "throttled"


class FakeLog:
    """Replaces ``LogClient`` for any number of readers."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.records: list[platform_log.Record] = []
        self.first = 1
        self.fates: collections.deque[Fate] = collections.deque()
        self.late: list[bytes] = []
        self.unreadable = False
        self.held = threading.Event()
        self.held.set()
        self.clock_ms = 1_000_000_000_000
        self.appended = 0

    def keep(self, data: bytes) -> int:
        with self.changed:
            offset = self.first + len(self.records)
            self.records.append(
                platform_log.Record(offset, self.clock_ms, data)
            )
            self.changed.notify_all()
            return offset

    def append(self, stream: str, data: bytes) -> platform_log.AppendOutcome:
        self.appended += 1
        fate = self.fates.popleft() if self.fates else Fate.KEPT
        match fate:
            case Fate.REFUSED:
                return platform_log.AppendRefused("refused", 0.5)
            case Fate.THROTTLED:
                return platform_log.AppendRefused("throttled", 0.01, True)
            case Fate.NEVER_ARRIVED:
                return platform_log.AppendUnknown("cut")
            case Fate.LATE:
                self.late.append(data)
                return platform_log.AppendUnknown("slow")
            case Fate.DOUBLED:
                self.keep(data)
        offset = self.keep(data)
        if fate is Fate.ANSWER_LOST:
            return platform_log.AppendUnknown("answer lost")
        return platform_log.Appended(offset)

    def arrive(self) -> None:
        """Apply the late appends."""
        late, self.late = self.late, []
        for data in late:
            self.keep(data)

    def expire(self, count: int) -> None:
        """Drop the oldest records, as retention does."""
        with self.changed:
            del self.records[:count]
            self.first += count

    def read(
        self, stream: str, after: int, wait_ms: int = 0, limit: int = 1000
    ) -> platform_log.Batch:
        self.held.wait()
        deadline_s = time.monotonic() + wait_ms / 1000
        with self.changed:
            while self.first + len(self.records) <= after + 1:
                if self.unreadable or time.monotonic() >= deadline_s:
                    break
                self.changed.wait(0.05)
            if self.unreadable:
                raise platform_log.LogUnavailableError("outage")
            start = max(0, after + 1 - self.first)
            return platform_log.Batch(
                self.first,
                self.first + len(self.records),
                tuple(self.records[start : start + limit]),
            )
