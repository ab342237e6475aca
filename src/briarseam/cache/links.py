"""The link to one store: its budget, and the rate seen on it."""

from __future__ import annotations

import dataclasses
import threading
import typing

BURST_S = 0.25
UNKNOWN_RATE = 1e9
SLOWER_GAIN = 0.6
FASTER_GAIN = 0.3
RELAX_S = 30.0
MAX_IDLE_S = 1800.0
MIN_ELAPSED_S = 1e-4
MIN_AGE_S = 0.05
LATENCY_S = 0.002
CUT_PART = 0.25


@dataclasses.dataclass
class Transfer:
    """One transfer under way.

    Attributes
    ----------
    size
        Bytes.
    began
        Start, by the link's clock.
    area_before
        The link's integral of transfers under way at the start.
    """

    size: int
    began: float
    area_before: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What a transfer must expect.

    Attributes
    ----------
    begins_s
        Seconds until its first byte.
    rate
        Bytes per second from then on.
    """

    begins_s: float
    rate: float

    def after_s(self, size: int) -> float:
        """Return the seconds until ``size`` bytes are through."""
        return self.begins_s + size / self.rate


class Link:
    """Token bucket and observed rate of one store's link.

    A transfer may go into debt; later ones wait until it is paid, so over
    any time ``t`` at most ``limit * (t + BURST_S)`` plus one transfer goes
    over the link.

    Parameters
    ----------
    clock
        Monotonic seconds.
    limit
        Budget in bytes per second; 0 means none.
    """

    def __init__(
        self, clock: typing.Callable[[], float], limit: float = 0.0
    ) -> None:
        self.clock = clock
        self.limit = limit
        self.lock = threading.Lock()
        self.tokens = limit * BURST_S
        self.filled_at = clock()
        self.observed: float | None = None
        self.observed_at = clock()
        self.best = 0.0
        self.active: list[Transfer] = []
        self.area = 0.0
        self.area_at = clock()
        self.bytes = 0

    def configure(self, limit: float) -> None:
        """Set the budget, in bytes per second."""
        with self.lock:
            if limit != self.limit:
                self.fill()
                self.limit = limit
                self.tokens = min(self.tokens, limit * BURST_S)

    def fill(self) -> None:
        """Add the tokens earned since the last call."""
        now = self.clock()
        earned = (now - self.filled_at) * self.limit
        self.tokens = min(self.tokens + earned, self.limit * BURST_S)
        self.filled_at = now

    def wait_s(self) -> float:
        """Return seconds until the debt is paid."""
        if self.limit <= 0:
            return 0.0
        self.fill()
        return max(-self.tokens, 0.0) / self.limit

    def reserve(self, size: int, max_wait_s: float) -> float | None:
        """Take ``size`` bytes of budget, going into debt if need be.

        Parameters
        ----------
        size
            Bytes.
        max_wait_s
            Longest wait that is of use.

        Returns
        -------
        float or None
            Seconds to wait before the transfer; ``None`` when that would
            be too long, and nothing is taken.
        """
        with self.lock:
            wait_s = self.wait_s()
            if wait_s > max_wait_s:
                return None
            if self.limit > 0:
                self.tokens -= size
            return wait_s

    def reserve_idle(self, size: int) -> bool:
        """Take budget only when nobody else wants it.

        Exports wait behind imports: they need the bucket to hold the
        whole transfer, or to be full.
        """
        with self.lock:
            if self.limit <= 0:
                return True
            self.fill()
            if self.tokens < min(size, self.limit * BURST_S * 0.99):
                return False
            self.tokens -= size
            return True

    def begin(self, size: int) -> Transfer:
        """Note the start of a transfer."""
        with self.lock:
            self.integrate()
            transfer = Transfer(size, self.clock(), self.area)
            self.active.append(transfer)
            return transfer

    def end(self, transfer: Transfer, moved: int, cut: bool = False) -> None:
        """Note the end of a transfer.

        Parameters
        ----------
        transfer
            From :meth:`begin`.
        moved
            Bytes that came.
        cut
            It was given up; how much came by then nobody knows, and it is
            taken for a quarter.
        """
        with self.lock:
            self.integrate()
            self.active.remove(transfer)
            self.bytes += moved
            elapsed = max(self.clock() - transfer.began, MIN_ELAPSED_S)
            sharing = (self.area - transfer.area_before) / elapsed
            size = transfer.size * CUT_PART if cut else moved
            sample = size * max(sharing, 1.0) / elapsed
            known = self.relaxed(transfer.began)
            if size and not (cut and sample > known):
                self.learn(sample, known, cut)

    def integrate(self) -> None:
        """Bring the integral of transfers under way up to now."""
        now = self.clock()
        self.area += len(self.active) * (now - self.area_at)
        self.area_at = now

    def learn(self, sample: float, known: float, cut: bool) -> None:
        """Take in one sample of the link's whole rate.

        Rates are averaged by their logarithms: a link may fall to a
        thousandth, and a plain average would stay near the old rate.
        """
        gain = SLOWER_GAIN if sample < known else FASTER_GAIN
        if self.observed is None or cut:
            gain = 1.0
        self.observed = known ** (1.0 - gain) * sample**gain
        self.observed_at = self.clock()
        self.best = max(self.best, sample)

    def relaxed(self, at: float) -> float:
        """Return the observed rate, trusted less as it grows old.

        Guard: a link that was slow once would be predicted slow for ever,
        since nothing is imported over it that could show otherwise.  The
        estimate doubles every ``RELAX_S`` idle seconds without a sample,
        up to the budget or, without one, the best rate seen.
        """
        if self.observed is None:
            return self.limit or UNKNOWN_RATE
        ceiling = self.limit or self.best
        idle_s = min(max(at - self.observed_at, 0.0), MAX_IDLE_S)
        return min(self.observed * 2 ** (idle_s / RELAX_S), ceiling)

    def rate(self) -> float:
        """Return the bytes per second to count on now.

        A transfer that is overdue bounds the rate before it has ended, so
        a link that slows down is noticed by the first transfer on it.
        """
        now = self.clock()
        oldest = self.active[0] if self.active else None
        rate = self.relaxed(oldest.began if oldest else now)
        if oldest is not None:
            age_s = now - oldest.began
            if age_s > MIN_AGE_S:
                bound = oldest.size * len(self.active) / age_s
                rate = min(rate, bound)
        return max(rate, 1.0)

    def outlook(self) -> Outlook:
        """Return what a transfer that is asked for now must expect."""
        with self.lock:
            rate = self.rate()
            waiting = sum(transfer.size for transfer in self.active)
            begins_s = self.wait_s() + LATENCY_S + waiting / rate
            return Outlook(begins_s, rate)

    def predict_s(self, size: int) -> float:
        """Return the predicted seconds for a transfer asked for now."""
        return self.outlook().after_s(size)
