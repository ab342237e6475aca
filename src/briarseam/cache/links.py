"""The link to one store: its budget and its observed rate."""

from __future__ import annotations

import dataclasses
import threading
import typing

BURST_S = 0.25
UNKNOWN_RATE = 1e9
SLOWER_GAIN = 0.6
FASTER_GAIN = 0.3
RECOVERY_DOUBLING_S = 30.0
MAX_IDLE_S = 1800.0
MIN_ELAPSED_S = 1e-4
MIN_AGE_S = 0.05
LATENCY_S = 0.002
ABORTED_FRACTION = 0.25


@dataclasses.dataclass
class Transfer:
    """One active transfer.

    Attributes
    ----------
    size
        Bytes.
    started_at
        Start time, by the link's clock.
    transfer_seconds_before
        Value of the link's ``transfer_seconds`` at the start.
    """

    size: int
    started_at: float
    transfer_seconds_before: float


@dataclasses.dataclass(frozen=True, slots=True)
class TransferEstimate:
    """Expected start and rate of a transfer.

    Attributes
    ----------
    start_delay_s
        Seconds until its first byte.
    rate
        Bytes per second after that.
    """

    start_delay_s: float
    rate: float

    def duration_s(self, size: int) -> float:
        """Return the seconds until ``size`` bytes are transferred."""
        return self.start_delay_s + size / self.rate


class Link:
    """Token bucket and observed rate of one store's link.

    A transfer may make the bucket negative, and later ones wait until it is
    refilled, so in any period of ``t`` seconds the link carries at most
    ``limit * (t + BURST_S)`` bytes plus one transfer.

    ``transfer_seconds`` is the integral over time of the number of active
    transfers; over the duration of a transfer it gives the mean number of
    transfers that shared the link.

    Parameters
    ----------
    clock
        Monotonic seconds.
    limit
        Budget in bytes per second; 0 for no limit.
    """

    def __init__(
        self, clock: typing.Callable[[], float], limit: float = 0.0
    ) -> None:
        self.clock = clock
        self.limit = limit
        self.lock = threading.Lock()
        self.tokens = limit * BURST_S
        self.refilled_at = clock()
        self.observed_rate: float | None = None
        self.observed_at = clock()
        self.best_rate = 0.0
        self.active: list[Transfer] = []
        self.transfer_seconds = 0.0
        self.integrated_at = clock()
        self.total_bytes = 0

    def configure(self, limit: float) -> None:
        """Set the budget, in bytes per second."""
        with self.lock:
            if limit != self.limit:
                self.refill()
                self.limit = limit
                self.tokens = min(self.tokens, limit * BURST_S)

    def refill(self) -> None:
        """Add the tokens for the time since the last call."""
        now = self.clock()
        earned = (now - self.refilled_at) * self.limit
        self.tokens = min(self.tokens + earned, self.limit * BURST_S)
        self.refilled_at = now

    def wait_s(self) -> float:
        """Return the seconds until the bucket is no longer negative."""
        if self.limit <= 0:
            return 0.0
        self.refill()
        return max(-self.tokens, 0.0) / self.limit

    def reserve(self, size: int, max_wait_s: float) -> float | None:
        """Take ``size`` bytes of budget, even if the bucket becomes negative.

        Parameters
        ----------
        size
            Bytes.
        max_wait_s
            Maximum useful wait, in seconds.

        Returns
        -------
        float or None
            Seconds to wait before the transfer; ``None`` if that is longer
            than ``max_wait_s``, in which case no budget is taken.
        """
        with self.lock:
            wait_s = self.wait_s()
            if wait_s > max_wait_s:
                return None
            if self.limit > 0:
                self.tokens -= size
            return wait_s

    def reserve_idle(self, size: int) -> bool:
        """Take budget only if no import needs it; return whether it did.

        Exports have lower priority than imports: they require the bucket
        to contain the entire transfer or to be nearly full.
        """
        with self.lock:
            if self.limit <= 0:
                return True
            self.refill()
            if self.tokens < min(size, self.limit * BURST_S * 0.99):
                return False
            self.tokens -= size
            return True

    def begin(self, size: int) -> Transfer:
        """Record the start of a transfer."""
        with self.lock:
            self.integrate()
            transfer = Transfer(size, self.clock(), self.transfer_seconds)
            self.active.append(transfer)
            return transfer

    def end(
        self, transfer: Transfer, moved_bytes: int, aborted: bool = False
    ) -> None:
        """Record the end of a transfer.

        Parameters
        ----------
        transfer
            From :meth:`begin`.
        moved_bytes
            Bytes that were transferred.
        aborted
            Whether the transfer was abandoned.  The number of bytes is then
            unknown, and ``ABORTED_FRACTION`` of the size is assumed.
        """
        with self.lock:
            self.integrate()
            self.active.remove(transfer)
            self.total_bytes += moved_bytes
            elapsed = max(self.clock() - transfer.started_at, MIN_ELAPSED_S)
            concurrency = (
                self.transfer_seconds - transfer.transfer_seconds_before
            ) / elapsed
            size = transfer.size * ABORTED_FRACTION if aborted else moved_bytes
            sample = size * max(concurrency, 1.0) / elapsed
            current_rate = self.recovered_rate(transfer.started_at)
            if size and not (aborted and sample > current_rate):
                self.add_sample(sample, current_rate, aborted)

    def integrate(self) -> None:
        """Advance the integral of active transfers to the current time."""
        now = self.clock()
        self.transfer_seconds += len(self.active) * (now - self.integrated_at)
        self.integrated_at = now

    def add_sample(
        self, sample: float, current_rate: float, aborted: bool
    ) -> None:
        """Add one sample of the total rate of the link.

        Rates are averaged by their logarithms: the rate of a link may fall
        to a thousandth, and an arithmetic mean would stay near the old
        rate.
        """
        gain = SLOWER_GAIN if sample < current_rate else FASTER_GAIN
        if self.observed_rate is None or aborted:
            gain = 1.0
        self.observed_rate = current_rate ** (1.0 - gain) * sample**gain
        self.observed_at = self.clock()
        self.best_rate = max(self.best_rate, sample)

    def recovered_rate(self, at: float) -> float:
        """Return the observed rate, raised while there are no samples.

        Guard: a link that was slow once would be predicted slow for ever,
        since nothing is imported over it that would give new samples.  The
        estimate doubles every ``RECOVERY_DOUBLING_S`` seconds without a
        sample, up to the budget or, without one, the best observed rate.
        """
        if self.observed_rate is None:
            return self.limit or UNKNOWN_RATE
        ceiling = self.limit or self.best_rate
        idle_s = min(max(at - self.observed_at, 0.0), MAX_IDLE_S)
        return min(
            self.observed_rate * 2 ** (idle_s / RECOVERY_DOUBLING_S), ceiling
        )

    def rate(self) -> float:
        """Return the expected bytes per second.

        An overdue transfer limits the rate before it has ended, so the
        first transfer on a link that slows down reveals it.
        """
        now = self.clock()
        oldest = self.active[0] if self.active else None
        rate = self.recovered_rate(oldest.started_at if oldest else now)
        if oldest is not None:
            age_s = now - oldest.started_at
            if age_s > MIN_AGE_S:
                bound = oldest.size * len(self.active) / age_s
                rate = min(rate, bound)
        return max(rate, 1.0)

    def estimate(self) -> TransferEstimate:
        """Return the estimate for a transfer that is requested now."""
        with self.lock:
            rate = self.rate()
            waiting = sum(transfer.size for transfer in self.active)
            start_delay_s = self.wait_s() + LATENCY_S + waiting / rate
            return TransferEstimate(start_delay_s, rate)

    def predict_duration_s(self, size: int) -> float:
        """Return the predicted seconds for a transfer requested now."""
        return self.estimate().duration_s(size)
