"""The agent's part of the log stream ``condemnations``."""

from __future__ import annotations

import dataclasses
import threading
import time
import typing

import structlog

from briarseam.admission import condemnation
from briarseam.admission import condemnation_records as records
from briarseam.admission import evidence
from briarseam.backing import log as platform_log

if typing.TYPE_CHECKING:
    from briarseam.configuration import teams as teams_module

MAX_ITEMS = 500
MAX_PENDING = 10_000
RETRY_S = 0.5
# A fresh agent waits so long for the log while it is away.
READY_S = 2.0
# The first read of a busy machine took over 2 s; ten are never needed.
READY_AT_MOST_S = 10.0
CHECK_S = 0.05
BATCH_S = 0.02
FORGET_EVERY_S = 60.0
# What heartbeats repeat: the log may be down for long.
GOSSIP_MS = 600_000
GOSSIP_ITEMS = 64
log = structlog.get_logger("briarseam.admission")


@dataclasses.dataclass
class LogClock:
    """The log's clock, as this agent knows it from records it read."""

    skew_ms: int | None = None

    def now_ms(self) -> int:
        """Return the time in ms since the epoch."""
        return time.time_ns() // 1_000_000 + (self.skew_ms or 0)

    def observe(self, time_ms: int) -> None:
        """Learn from a record that was appended just now."""
        skew_ms = time_ms - time.time_ns() // 1_000_000
        # A record that is read late looks old; the largest is the truest.
        if self.skew_ms is None or skew_ms > self.skew_ms:
            self.skew_ms = skew_ms


class CondemnationLog:
    """Reads the stream into the evidence set and appends local evidence.

    Parameters
    ----------
    client
        The log.
    key
        The system's shared key.
    teams
        Whose lifts count.
    evidence_set
        What is known.
    clock
        The log's clock.
    """

    def __init__(
        self,
        client: platform_log.LogClient,
        key: bytes,
        teams: teams_module.Teams,
        evidence_set: condemnation.EvidenceSet,
        clock: LogClock,
    ) -> None:
        self.client = client
        self.key = key
        self.teams = teams
        self.evidence_set = evidence_set
        self.clock = clock
        self.pending: list[evidence.Item] = []
        self.changed = threading.Condition()
        self.stopping = threading.Event()
        self.caught_up = threading.Event()
        self.started_at = time.monotonic()
        self.follower = platform_log.Follower(
            client, records.STREAM, 0, self.take
        )

    def start(self) -> None:
        """Begin following and appending."""
        self.follower.start()
        for target in (self.append_on, self.forget_on):
            threading.Thread(
                target=target, name="condemnations", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop after what is under way."""
        self.follower.stop()
        self.stopping.set()
        with self.changed:
            self.changed.notify_all()

    def wait_ready(self) -> None:
        """Wait for the first read, not long if the log is away.

        A fresh agent knows of no condemnation; a prompt that comes in its
        first moments would take down a third endpoint.  While the log is
        down, peers' heartbeats tell what they know.  A log that is only
        slow to answer is waited for longer, as all agents may be fresh.
        """
        while not self.caught_up.wait(CHECK_S):
            waited_s = time.monotonic() - self.started_at
            if not self.follower.available and waited_s >= READY_S:
                return
            if waited_s >= READY_AT_MOST_S:
                return

    def take(self, batch: platform_log.Batch) -> None:
        """Fold a batch in."""
        for record in batch.records:
            if self.caught_up.is_set():
                self.clock.observe(record.time_ms)
            try:
                items = records.decode(record.data, self.key, self.teams)
            except records.RecordError as error:
                log.warning(
                    "condemnation_record_ignored",
                    offset=record.offset,
                    detail=str(error),
                )
                continue
            for index, item in enumerate(items):
                self.merge(item)
                self.evidence_set.note_order(item, (record.offset, index))
        with self.changed:
            self.changed.notify_all()
        if not batch.records or batch.records[-1].offset >= batch.next - 1:
            self.caught_up.set()

    def merge(self, item: evidence.Item) -> None:
        """Take an item in; a line for what changes a prompt's standing."""
        if not self.evidence_set.merge(item):
            return
        match item:
            case evidence.EndpointLost(fingerprint=fingerprint):
                standing = type(
                    self.evidence_set.standing(fingerprint)
                ).__name__
                log.warning(
                    "endpoint_lost_with_prompt",
                    prompt=fingerprint,
                    organisation=item.organisation,
                    endpoint=item.endpoint,
                    standing=standing.lower(),
                )
            case evidence.Cleared(operator=operator) if operator:
                log.warning(
                    "condemnation_lifted",
                    prompt=item.fingerprint,
                    operator=operator,
                )

    def record(self, item: evidence.Item) -> None:
        """Take in what was found here, and have it appended."""
        self.merge(item)
        with self.changed:
            if len(self.pending) < MAX_PENDING:
                self.pending.append(item)
            self.changed.notify_all()

    def wait_in_log(self, trial: evidence.Trial, timeout_s: float) -> bool:
        """Wait until a trial that was noted is read back from the log.

        Not while the log is known to be away: what it lacks is in the
        memories of this agent and its peers only.

        Returns
        -------
        bool
            ``False`` when the log should hold the trial and does not yet.
        """
        with self.changed:
            self.changed.wait_for(
                lambda: (
                    self.evidence_set.is_ordered(trial.group)
                    or not self.follower.available
                ),
                timeout_s,
            )
        return (
            self.evidence_set.is_ordered(trial.group)
            or not self.follower.available
        )

    def append_on(self) -> None:
        """Append what is pending until stopped."""
        while not self.stopping.is_set():
            with self.changed:
                self.changed.wait_for(
                    lambda: self.pending or self.stopping.is_set()
                )
            # Runs that were lost with one endpoint are told of within
            # moments, and go into one record.
            self.stopping.wait(BATCH_S)
            with self.changed:
                items = self.pending[:MAX_ITEMS]
            if items and not self.append(items):
                self.stopping.wait(RETRY_S)

    def append(self, items: list[evidence.Item]) -> bool:
        """Append items; tell whether they are in the log.

        One that took effect with its answer lost is appended again: items
        are known by their names, so doubles change nothing.
        """
        data = records.encode(items, self.key)
        outcome = self.client.append(records.STREAM, data)
        if not isinstance(outcome, platform_log.Appended):
            return False
        with self.changed:
            del self.pending[: len(items)]
        return True

    def forget_on(self) -> None:
        """Drop what is old, until stopped."""
        while not self.stopping.wait(FORGET_EVERY_S):
            self.evidence_set.forget_old()

    def provide(self) -> bytes:
        """Return this agent's section of a heartbeat."""
        since_ms = self.clock.now_ms() - GOSSIP_MS
        return records.encode_items(
            self.evidence_set.recent(since_ms, GOSSIP_ITEMS)
        )

    def consume(self, member: str, data: bytes) -> None:
        """Take in another agent's section."""
        del member
        for item in records.decode_items(data):
            self.merge(item)
