"""Holding leases: acquire, renew, give back, and know when to stop.

A holder counts a lease from before the append that keeps it and stops a
margin early; a successor counts the whole ttl from when it read the last
record.  Reading comes after appending, so the holder always stops first,
whatever any wall clock says.
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
# Clock drift and the longest order on its way fit into the margin.
MARGIN_SHARE = 0.25
RENEWALS_PER_TTL = 4
SETTLE_S = 2.0
POLL_MS = 1000
# The follower returns at least once a poll while the log answers.
CURRENT_S = 3.0
NOT_READ_RETRY_S = 0.2
log = structlog.get_logger("briarseam.leases")


@dataclasses.dataclass(frozen=True)
class Tenure:
    """A lease that is ours until a time on our clock."""

    fence: int
    until_s: float


class Leases:
    """The leases of one process.

    Parameters
    ----------
    client
        The log.
    me
        Name of this process; a restart makes another holder of it.
    ttl_s
        How long a lease lasts without renewal, in seconds; the same for
        all processes of a deployment.
    clock
        Seconds; must go on while this process is frozen.
    stream
        Stream on the log.
    """

    def __init__(
        self,
        client: platform_log.LogClient,
        me: str,
        ttl_s: float = DEFAULT_TTL_S,
        clock: typing.Callable[[], float] = clocks.boot_clock,
        stream: str = STREAM,
    ) -> None:
        self.client = client
        self.holder = f"{me}/{uuid.uuid4().hex[:12]}"
        self.ttl_s = ttl_s
        self.margin_s = ttl_s * MARGIN_SHARE
        self.clock = clock
        self.stream = stream
        self.fold = folds.Fold()
        self.changed = threading.Condition()
        self.sent_s: dict[str, float] = {}
        self.tenures: dict[str, Tenure] = {}
        self.busy_until_s: dict[str, float] = {}
        self.current_s = float("-inf")
        self.quiet_until_s = float("-inf")
        self.newer_release = False
        self.stopping = threading.Event()
        self.appends = 0
        self.follower = platform_log.Follower(
            client, stream, 0, self.take_batch, POLL_MS
        )
        self.renewer = threading.Thread(
            target=self.renew_until_stopped, name="leases-renew", daemon=True
        )

    def start(self) -> None:
        """Begin following the stream and renewing."""
        self.follower.start()
        self.renewer.start()

    def stop(self) -> None:
        """Give all leases back and stop."""
        self.stopping.set()
        self.release(*self.held())
        self.follower.stop()

    def holds(self, name: str) -> int | None:
        """Return the fencing number if the lease is ours right now.

        Ask right before each order.  A process that is frozen between
        this check and its order still sends it after the lease has run
        out; that order carries the old number, see ``orders``.
        """
        with self.changed:
            tenure = self.tenures.get(name)
        if tenure is None or self.clock() >= tenure.until_s:
            return None
        return tenure.fence

    def held(self) -> tuple[str, ...]:
        """Return the names of all leases that are ours right now."""
        with self.changed:
            names = tuple(self.tenures)
        return tuple(name for name in names if self.holds(name) is not None)

    def holder_of(self, name: str) -> str:
        """Return who holds a lease as far as the log tells, or ``""``."""
        with self.changed:
            lease = self.fold.leases.get(name)
            if lease is None or lease.released:
                return ""
            if self.clock() >= self.busy_until_s.get(name, 0.0):
                return ""
            return lease.holder

    def acquire(self, name: str, basis: int = 0) -> outcomes.Outcome:
        """Take a lease if it is free; waits for the log's answer.

        Parameters
        ----------
        name
            The lease.
        basis
            Offset of the configuration that its holder will go by.
        """
        fence = self.holds(name)
        if fence is not None:
            return outcomes.Held(fence)
        return self.reacquire(name, basis)

    def reacquire(self, name: str, basis: int = 0) -> outcomes.Outcome:
        """Take a lease, also one of ours, under a new fencing number.

        Whatever was ordered under the old number and is still on its way
        is refused afterwards, where numbers are checked.
        """
        with self.changed:
            refusal = self.why_not(name, basis)
            if refusal is not None:
                return refusal
            request = records.Acquire(
                record_id=uuid.uuid4().hex,
                holder=self.holder,
                name=name,
                ttl_ms=round(self.ttl_s * 1000),
                seen=self.fold.through,
                basis=basis,
            )
            self.sent_s[request.record_id] = self.clock()
        refused = self.append(request)
        if refused is not None:
            return refused
        fence = self.holds(name)
        if fence is not None and fence > request.seen:
            return outcomes.Held(fence)
        with self.changed:
            return self.why_not(name, basis) or outcomes.NotHeld("", 0.0)

    def why_not(self, name: str, basis: int) -> outcomes.Outcome | None:
        """Return why the lease cannot be asked for now, if so."""
        now_s = self.clock()
        if self.newer_release:
            return outcomes.LogUnavailable(
                "a newer release writes the lease stream", self.ttl_s
            )
        if now_s - self.current_s > CURRENT_S:
            return outcomes.LogUnavailable(
                "the lease stream is not read", NOT_READ_RETRY_S
            )
        if now_s < self.quiet_until_s:
            return outcomes.NotHeld("", self.quiet_until_s - now_s)
        # An instance that lags behind the configuration would undo what
        # another has just done, and the two would alternate for ever.
        newest = self.fold.bases.get(name, 0)
        if basis < newest:
            return outcomes.Outdated(newest)
        lease = self.fold.leases.get(name)
        if lease is None or lease.released or lease.holder == self.holder:
            return None
        left_s = self.busy_until_s.get(name, 0.0) - now_s
        if left_s <= 0:
            return None
        return outcomes.NotHeld(lease.holder, left_s)

    def append(
        self, record: records.LeaseRecord
    ) -> outcomes.LogUnavailable | None:
        """Append a record and wait until it was read back.

        An append whose answer was lost may be in the stream now or later;
        it is settled by reading on, never by sending it again.
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
                        SETTLE_S,
                    )
        if read_back:
            return None
        return outcomes.LogUnavailable("the append was not read back", 1.0)

    def release(self, *names: str) -> None:
        """Stop using leases at once and tell the others."""
        terms = []
        with self.changed:
            for name in names:
                tenure = self.tenures.pop(name, None)
                if tenure is not None:
                    terms.append(records.Term(name, tenure.fence))
        if not terms:
            return
        record = records.Release(uuid.uuid4().hex, self.holder, tuple(terms))
        self.appends += 1
        self.client.append(self.stream, records.encode(record))

    def step_down(self, name: str) -> None:
        """Stop using a lease that an endpoint says is superseded."""
        with self.changed:
            self.tenures.pop(name, None)
        log.warning("lease_superseded", lease=name)

    def renew_until_stopped(self) -> None:
        """Keep all held leases with one record a period."""
        period_s = self.ttl_s / RENEWALS_PER_TTL
        while not self.stopping.wait(period_s):
            try:
                self.renew()
            except Exception:
                log.exception("renewal_failed")
            self.forget_old_attempts()

    def forget_old_attempts(self) -> None:
        """Forget attempts that are too old to give a tenure."""
        with self.changed:
            oldest_s = self.clock() - self.ttl_s
            self.sent_s = {
                record_id: sent_s
                for record_id, sent_s in self.sent_s.items()
                if sent_s > oldest_s
            }

    def renew(self) -> None:
        """Append one renewal of all that is held."""
        with self.changed:
            terms = tuple(
                records.Term(name, tenure.fence)
                for name, tenure in self.tenures.items()
                if self.clock() < tenure.until_s
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

    def take_batch(self, batch: platform_log.Batch) -> None:
        """Fold in what was read."""
        with self.changed:
            now_s = self.clock()
            self.check_continuity(batch)
            for record in batch.records:
                self.take_record(record, now_s)
            if self.fold.through >= batch.next - 1:
                self.current_s = now_s
            self.changed.notify_all()

    def check_continuity(self, batch: platform_log.Batch) -> None:
        """Begin anew where records were missed.

        Records that vanished unread may have given our leases to others,
        so nothing that was held or known stays, and a ttl passes before
        anything is asked for.
        """
        missed = batch.first > self.fold.through + 1
        reset = batch.next - 1 < self.fold.through
        if not missed and not reset:
            return
        if self.fold.through:
            log.warning("lease_stream_gap", first=batch.first)
            self.quiet_until_s = self.clock() + self.ttl_s
        self.fold = folds.Fold(batch.first)
        self.tenures.clear()
        self.follower.after = self.fold.through

    def take_record(self, entry: platform_log.Record, now_s: float) -> None:
        """Fold one record in and draw what follows for us."""
        try:
            record = records.decode(entry.data)
        except records.NewerRecordError as error:
            self.stop_for_newer_release(str(error))
            self.fold.skip(entry.offset)
            return
        except records.RecordError:
            self.fold.skip(entry.offset)
            return
        kept = self.fold.apply(entry.offset, record)
        for lease in kept:
            self.busy_until_s[lease.name] = now_s + lease.ttl_ms / 1000
        sent_s = self.sent_s.pop(record.record_id, None)
        renewal = isinstance(record, records.Renew)
        for name in records.names(record):
            self.update_tenure(name, kept, sent_s, renewal)

    def update_tenure(
        self,
        name: str,
        kept: tuple[folds.Lease, ...],
        sent_s: float | None,
        renewal: bool,
    ) -> None:
        """Extend or end our tenure of one lease after a record."""
        lease = self.fold.leases.get(name)
        if lease is None or lease.holder != self.holder or lease.released:
            if self.tenures.pop(name, None) is not None:
                log.warning("lease_lost", lease=name)
            return
        if sent_s is None or lease not in kept or not lease.certain:
            return
        # A renewal that was under way while the lease was given back must
        # not bring it to life here: others may have it already.
        tenure = self.tenures.get(name)
        if renewal and (tenure is None or tenure.fence != lease.fence):
            return
        until_s = sent_s + self.ttl_s - self.margin_s
        self.tenures[name] = Tenure(lease.fence, until_s)

    def stop_for_newer_release(self, detail: str) -> None:
        """Give up leases when the stream cannot be judged any more.

        A later release may have granted a lease by rules unknown here;
        orders stop, serving goes on, until this instance is replaced.
        """
        if not self.newer_release:
            log.error("lease_stream_newer", detail=detail)
        self.newer_release = True
        self.tenures.clear()
