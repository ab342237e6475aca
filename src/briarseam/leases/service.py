"""Acquires, renews and releases leases, and ends them in time.

A holder counts the ttl from before the append that extends the lease, and
stops a margin early; a successor counts the complete ttl from when it read
the last record.  A record is read after it is appended, so the holder
always stops first, independently of wall clocks.
"""

from __future__ import annotations

import dataclasses
import threading
import typing
import uuid

import structlog

from briarseam import clocks
from briarseam.backing import log as platform_log
from briarseam.leases import fold as folds
from briarseam.leases import outcomes
from briarseam.leases import records

STREAM = "leases"
DEFAULT_TTL_S = 6.0
# The margin covers clock drift and the longest order in transit.
MARGIN_SHARE = 0.25
RENEWALS_PER_TTL = 4
READ_BACK_TIMEOUT_S = 2.0
POLL_MS = 1000
# The follower returns at least once per poll while the log is available.
MAX_READ_LAG_S = 3.0
NOT_READ_RETRY_S = 0.2
log = structlog.get_logger("briarseam.leases")


@dataclasses.dataclass(frozen=True)
class HeldLease:
    """A lease that this process holds until a time on its clock."""

    fence: int
    valid_until_s: float


class Leases:
    """The leases of one process.

    Parameters
    ----------
    client
        Client of the log.
    process_name
        Name of this process; after a restart it is a different holder.
    ttl_s
        Time that a lease lasts without renewal, in seconds; the same for
        all processes of a deployment.
    clock
        Seconds; must advance while this process is frozen.
    stream
        Name of the log's stream.
    """

    def __init__(
        self,
        client: platform_log.LogClient,
        process_name: str,
        ttl_s: float = DEFAULT_TTL_S,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        stream: str = STREAM,
    ) -> None:
        self.client = client
        self.holder = f"{process_name}/{uuid.uuid4().hex[:12]}"
        self.ttl_s = ttl_s
        self.margin_s = ttl_s * MARGIN_SHARE
        self.clock = clock
        self.stream = stream
        self.fold = folds.Fold()
        self.changed = threading.Condition()
        self.sent_s: dict[str, float] = {}
        self.held_leases: dict[str, HeldLease] = {}
        self.expires_s: dict[str, float] = {}
        self.caught_up_s = float("-inf")
        self.no_acquire_until_s = float("-inf")
        self.newer_release = False
        self.stopping = threading.Event()
        self.appends = 0
        self.follower = platform_log.Follower(
            client, stream, 0, self.apply_batch, POLL_MS
        )
        self.renewer = threading.Thread(
            target=self.renew_until_stopped, name="leases-renew", daemon=True
        )

    def start(self) -> None:
        """Start following the stream and renewing leases."""
        self.follower.start()
        self.renewer.start()

    def stop(self) -> None:
        """Release all leases and stop."""
        self.stopping.set()
        self.release(*self.held())
        self.follower.stop()

    def holds(self, name: str) -> int | None:
        """Return the fencing number if this process holds the lease.

        Call it immediately before each order.  A process that is frozen
        between this check and its order still sends it after the lease has
        expired; that order carries the old fencing number, see ``orders``.
        """
        with self.changed:
            lease = self.held_leases.get(name)
        if lease is None or self.clock() >= lease.valid_until_s:
            return None
        return lease.fence

    def held(self) -> tuple[str, ...]:
        """Return the names of all leases that this process holds."""
        with self.changed:
            names = tuple(self.held_leases)
        return tuple(name for name in names if self.holds(name) is not None)

    def holder_of(self, name: str) -> str:
        """Return the holder of a lease, or ``""`` if free or unknown."""
        with self.changed:
            lease = self.fold.leases.get(name)
            if lease is None or lease.released:
                return ""
            if self.clock() >= self.expires_s.get(name, 0.0):
                return ""
            return lease.holder

    def acquire(self, name: str, basis: int = 0) -> outcomes.Outcome:
        """Acquire a lease if it is free; waits until the log confirms it.

        Parameters
        ----------
        name
            The lease.
        basis
            Offset of the configuration that the holder will use.
        """
        fence = self.holds(name)
        if fence is not None:
            return outcomes.Held(fence)
        return self.reacquire(name, basis)

    def reacquire(self, name: str, basis: int = 0) -> outcomes.Outcome:
        """Acquire a lease, even if held, under a new fencing number.

        Orders in transit under the old number are then refused by endpoints
        that check fencing numbers.
        """
        with self.changed:
            blocked = self.check_acquire(name, basis)
            if blocked is not None:
                return blocked
            request = records.Acquire(
                record_id=uuid.uuid4().hex,
                holder=self.holder,
                name=name,
                ttl_ms=round(self.ttl_s * 1000),
                seen=self.fold.through,
                basis=basis,
            )
            self.sent_s[request.record_id] = self.clock()
        failed = self.append(request)
        if failed is not None:
            return failed
        fence = self.holds(name)
        if fence is not None and fence > request.seen:
            return outcomes.Held(fence)
        with self.changed:
            return self.check_acquire(name, basis) or outcomes.NotHeld("", 0.0)

    def check_acquire(self, name: str, basis: int) -> outcomes.Outcome | None:
        """Return why the lease can't be acquired now, else ``None``."""
        now_s = self.clock()
        if self.newer_release:
            return outcomes.LogUnavailable(
                "a newer release writes the lease stream", self.ttl_s
            )
        if now_s - self.caught_up_s > MAX_READ_LAG_S:
            return outcomes.LogUnavailable(
                "the lease stream has not been read recently", NOT_READ_RETRY_S
            )
        if now_s < self.no_acquire_until_s:
            return outcomes.NotHeld("", self.no_acquire_until_s - now_s)
        # An instance with an older configuration would undo the orders of
        # one with a newer configuration, and the two would alternate.
        newest = self.fold.bases.get(name, 0)
        if basis < newest:
            return outcomes.Outdated(newest)
        lease = self.fold.leases.get(name)
        if lease is None or lease.released or lease.holder == self.holder:
            return None
        remaining_s = self.expires_s.get(name, 0.0) - now_s
        if remaining_s <= 0:
            return None
        return outcomes.NotHeld(lease.holder, remaining_s)

    def append(
        self, record: records.LeaseRecord
    ) -> outcomes.LogUnavailable | None:
        """Append a record and wait until it is read back.

        A record whose append got no reply may be in the stream now or
        later.  Reading on settles this; the record is never sent again.
        """
        self.appends += 1
        outcome = self.client.append(self.stream, records.encode(record))
        match outcome:
            case platform_log.AppendRefused():
                self.sent_s.pop(record.record_id, None)
                return outcomes.LogUnavailable(
                    outcome.detail, outcome.retry_after_s
                )
            case platform_log.Appended() | platform_log.AppendUnknown():
                with self.changed:
                    read_back = self.changed.wait_for(
                        lambda: record.record_id not in self.sent_s,
                        READ_BACK_TIMEOUT_S,
                    )
        if read_back:
            return None
        return outcomes.LogUnavailable("the append was not read back", 1.0)

    def release(self, *names: str) -> None:
        """Stop using leases immediately and append their release."""
        terms = []
        with self.changed:
            for name in names:
                lease = self.held_leases.pop(name, None)
                if lease is not None:
                    terms.append(records.Term(name, lease.fence))
        if not terms:
            return
        record = records.Release(uuid.uuid4().hex, self.holder, tuple(terms))
        self.appends += 1
        self.client.append(self.stream, records.encode(record))

    def step_down(self, name: str) -> None:
        """Stop using a lease that an endpoint reports as superseded."""
        with self.changed:
            self.held_leases.pop(name, None)
        log.warning("lease_superseded", lease=name)

    def renew_until_stopped(self) -> None:
        """Renew all held leases with one record per period."""
        period_s = self.ttl_s / RENEWALS_PER_TTL
        while not self.stopping.wait(period_s):
            try:
                self.renew()
            except Exception:
                log.exception("renewal_failed")
            self.drop_expired_sends()

    def drop_expired_sends(self) -> None:
        """Drop send times that are too old for a valid lease."""
        with self.changed:
            oldest_s = self.clock() - self.ttl_s
            self.sent_s = {
                record_id: sent_s
                for record_id, sent_s in self.sent_s.items()
                if sent_s > oldest_s
            }

    def renew(self) -> None:
        """Append one renewal for all held leases."""
        with self.changed:
            terms = tuple(
                records.Term(name, lease.fence)
                for name, lease in self.held_leases.items()
                if self.clock() < lease.valid_until_s
            )
            if not terms:
                return
            request = records.Renew(
                record_id=uuid.uuid4().hex,
                holder=self.holder,
                ttl_ms=round(self.ttl_s * 1000),
                terms=terms,
            )
            self.sent_s[request.record_id] = self.clock()
        self.append(request)

    def apply_batch(self, batch: platform_log.Batch) -> None:
        """Apply a batch of records read from the stream."""
        with self.changed:
            now_s = self.clock()
            self.check_continuity(batch)
            for record in batch.records:
                self.apply_record(record, now_s)
            if self.fold.through >= batch.next - 1:
                self.caught_up_s = now_s
            self.changed.notify_all()

    def check_continuity(self, batch: platform_log.Batch) -> None:
        """Reset all state if records were missed.

        Records that were removed unread may have granted leases of this
        process to others.  All state is therefore dropped, and no lease is
        acquired for a ttl.
        """
        missed = batch.first > self.fold.through + 1
        reset = batch.next - 1 < self.fold.through
        if not missed and not reset:
            return
        if self.fold.through:
            log.warning("lease_stream_gap", first=batch.first)
            self.no_acquire_until_s = self.clock() + self.ttl_s
        self.fold = folds.Fold(batch.first)
        self.held_leases.clear()
        self.follower.after = self.fold.through

    def apply_record(self, entry: platform_log.Record, now_s: float) -> None:
        """Apply one record and update the held leases."""
        try:
            record = records.decode(entry.data)
        except records.NewerRecordError as error:
            self.stop_for_newer_release(str(error))
            self.fold.skip(entry.offset)
            return
        except records.RecordError:
            self.fold.skip(entry.offset)
            return
        extended = self.fold.apply(entry.offset, record)
        for lease in extended:
            self.expires_s[lease.name] = now_s + lease.ttl_ms / 1000
        sent_s = self.sent_s.pop(record.record_id, None)
        renewal = isinstance(record, records.Renew)
        for name in records.names(record):
            self.update_held(name, extended, sent_s, renewal)

    def update_held(
        self,
        name: str,
        extended: tuple[folds.Lease, ...],
        sent_s: float | None,
        renewal: bool,
    ) -> None:
        """Extend or drop a lease of this process after a record."""
        lease = self.fold.leases.get(name)
        if lease is None or lease.holder != self.holder or lease.released:
            if self.held_leases.pop(name, None) is not None:
                log.warning("lease_lost", lease=name)
            return
        if sent_s is None or lease not in extended or not lease.certain:
            return
        # A renewal that was in transit while the lease was released must
        # not restore it: another process may have acquired it already.
        held = self.held_leases.get(name)
        if renewal and (held is None or held.fence != lease.fence):
            return
        valid_until_s = sent_s + self.ttl_s - self.margin_s
        self.held_leases[name] = HeldLease(lease.fence, valid_until_s)

    def stop_for_newer_release(self, detail: str) -> None:
        """Drop all leases once the stream has a record of a later release.

        A later release may grant leases by rules unknown to this one.  This
        process gives no more orders but keeps serving until it is upgraded.
        """
        if not self.newer_release:
            log.error("lease_stream_newer", detail=detail)
        self.newer_release = True
        self.held_leases.clear()
