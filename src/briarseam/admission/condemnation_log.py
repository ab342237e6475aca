"""The agent's reader and writer of the log stream ``condemnations``."""

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

MAX_RECORD_ITEMS = 500
MAX_PENDING = 10_000
RETRY_S = 0.5
# A new agent waits this long for a log that is unavailable.
UNAVAILABLE_WAIT_S = 2.0
# The first read can take over 2 s on a busy machine.
MAX_READY_WAIT_S = 10.0
POLL_S = 0.05
BATCH_DELAY_S = 0.02
EXPIRY_INTERVAL_S = 60.0
# Heartbeats repeat recent items, as the log may be unavailable for long.
GOSSIP_AGE_MS = 600_000
MAX_GOSSIP_ITEMS = 64
log = structlog.get_logger("briarseam.admission")


@dataclasses.dataclass
class LogClock:
    """The log's clock, estimated from the records that this agent reads."""

    skew_ms: int | None = None

    def now_ms(self) -> int:
        """Return the time in ms since the epoch."""
        return time.time_ns() // 1_000_000 + (self.skew_ms or 0)

    def observe(self, time_ms: int) -> None:
        """Update the skew from the time of a record that was just appended."""
        skew_ms = time_ms - time.time_ns() // 1_000_000
        # Reading a record late makes the skew too small, so the largest one
        # is the most accurate.
        if self.skew_ms is None or skew_ms > self.skew_ms:
            self.skew_ms = skew_ms


class CondemnationLog:
    """Reads the stream into the evidence set and appends local evidence.

    Parameters
    ----------
    client
        Client of the log.
    key
        The system's shared key.
    teams
        Teams whose lifts are accepted.
    evidence_set
        Evidence that this agent has.
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
            client, records.STREAM, 0, self.apply_batch
        )

    def start(self) -> None:
        """Start the reader and the background threads."""
        self.follower.start()
        for target in (self.run_appends, self.run_expiry):
            threading.Thread(
                target=target, name="condemnations", daemon=True
            ).start()

    def stop(self) -> None:
        """Stop the reader and the threads after their current work."""
        self.follower.stop()
        self.stopping.set()
        with self.changed:
            self.changed.notify_all()

    def wait_ready(self) -> None:
        """Wait for the first read, but not long for an unavailable log.

        A new agent knows of no condemnation, so a condemned prompt that
        arrives right after the start would take down a third endpoint.
        While the log is unavailable, heartbeats carry the evidence of peers.
        A log that is merely slow is waited for longer, as all agents may be
        new.
        """
        while not self.caught_up.wait(POLL_S):
            waited_s = time.monotonic() - self.started_at
            if not self.follower.available and waited_s >= UNAVAILABLE_WAIT_S:
                return
            if waited_s >= MAX_READY_WAIT_S:
                return

    def apply_batch(self, batch: platform_log.Batch) -> None:
        """Merge the records of a batch."""
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
                self.evidence_set.record_position(item, (record.offset, index))
        with self.changed:
            self.changed.notify_all()
        if not batch.records or batch.records[-1].offset >= batch.next - 1:
            self.caught_up.set()

    def merge(self, item: evidence.Item) -> None:
        """Merge an item, and log it if it changes a prompt's standing."""
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
        """Merge local evidence and queue it to be appended."""
        self.merge(item)
        with self.changed:
            if len(self.pending) < MAX_PENDING:
                self.pending.append(item)
            self.changed.notify_all()

    def wait_in_log(self, trial: evidence.Trial, timeout_s: float) -> bool:
        """Wait until a recorded trial is read back from the log.

        Does not wait while the log is known to be unavailable: then only
        this agent and its peers have the evidence.

        Returns
        -------
        bool
            ``False`` if the log is available but the trial is not read back
            in time.
        """
        with self.changed:
            self.changed.wait_for(
                lambda: (
                    self.evidence_set.is_in_log(trial.group)
                    or not self.follower.available
                ),
                timeout_s,
            )
        return (
            self.evidence_set.is_in_log(trial.group)
            or not self.follower.available
        )

    def run_appends(self) -> None:
        """Append pending items until stopped."""
        while not self.stopping.is_set():
            with self.changed:
                self.changed.wait_for(
                    lambda: self.pending or self.stopping.is_set()
                )
            # The runs that were lost with one endpoint are reported within
            # moments of each other; the delay puts them into one record.
            self.stopping.wait(BATCH_DELAY_S)
            with self.changed:
                items = self.pending[:MAX_RECORD_ITEMS]
            if items and not self.append(items):
                self.stopping.wait(RETRY_S)

    def append(self, items: list[evidence.Item]) -> bool:
        """Append items and return whether they are known to be in the log.

        Items whose append succeeded but whose reply was lost are appended
        again.  Items are identified by name, so duplicates have no effect.
        """
        data = records.encode(items, self.key)
        outcome = self.client.append(records.STREAM, data)
        if not isinstance(outcome, platform_log.Appended):
            return False
        with self.changed:
            del self.pending[: len(items)]
        return True

    def run_expiry(self) -> None:
        """Forget expired evidence periodically until stopped."""
        while not self.stopping.wait(EXPIRY_INTERVAL_S):
            self.evidence_set.forget_expired()

    def provide(self) -> bytes:
        """Return this agent's section of a heartbeat."""
        since_ms = self.clock.now_ms() - GOSSIP_AGE_MS
        return records.encode_items(
            self.evidence_set.recent_items(since_ms, MAX_GOSSIP_ITEMS)
        )

    def consume(self, member: str, data: bytes) -> None:
        """Merge the section of another agent's heartbeat."""
        del member
        for item in records.decode_items(data):
            self.merge(item)
