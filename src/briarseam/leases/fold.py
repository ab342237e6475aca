"""Fold of the lease stream: determines holders from records alone.

It uses no clock, so that all readers of the same records agree on the
holders.  The service decides by time when a lease that is not renewed may
be acquired by another process.
"""

from __future__ import annotations

import dataclasses

from briarseam.leases import records


@dataclasses.dataclass(frozen=True)
class Lease:
    """The current term of a lease.

    Attributes
    ----------
    name, holder, fence
        The lease, its holder and its fencing number.
    ttl_ms
        Time that the last record extends the lease by, in ms.
    released
        Whether the holder released it.
    certain
        False if records that decide it had been removed from the log before
        this reader started.
    """

    name: str
    holder: str
    fence: int
    ttl_ms: int
    released: bool = False
    certain: bool = True


class Fold:
    """Folds records in the order of their offsets.

    Parameters
    ----------
    start
        Offset of the first record to be read; earlier records are unknown
        to this reader.

    Attributes
    ----------
    through
        Offset of the last record applied.
    leases
        Current terms by name.
    last_offsets
        Offset of the last record of each lease, valid or void.
    bases
        Offset of the newest configuration used by a holder of each lease.
    """

    def __init__(self, start: int = 1) -> None:
        self.start = start
        self.through = start - 1
        self.leases: dict[str, Lease] = {}
        self.last_offsets: dict[str, int] = {}
        self.bases: dict[str, int] = {}

    def apply(
        self, offset: int, record: records.LeaseRecord
    ) -> tuple[Lease, ...]:
        """Apply one record.

        Parameters
        ----------
        offset
            Its offset; greater than all offsets before.
        record
            The record.

        Returns
        -------
        tuple of Lease
            The leases that it extends by a ttl; empty if it is void.
        """
        match record:
            case records.Acquire():
                extended = self.apply_acquire(offset, record)
            case records.Renew():
                extended = tuple(
                    lease
                    for term in record.terms
                    if (lease := self.apply_renewal(record, term))
                )
            case records.Release():
                for term in record.terms:
                    self.apply_release(record, term)
                extended = ()
        for name in records.names(record):
            self.last_offsets[name] = offset
        self.through = offset
        return extended

    def skip(self, offset: int) -> None:
        """Skip a malformed record."""
        self.through = offset

    def apply_acquire(
        self, offset: int, record: records.Acquire
    ) -> tuple[Lease, ...]:
        """Grant a lease unless another record of it came in between.

        If two instances see the lease expire and both append, the ``seen``
        of the second lies before the record of the first, so every reader
        treats the second record as void.
        """
        if record.seen >= offset:
            return ()
        if self.last_offsets.get(record.name, 0) > record.seen:
            return ()
        lease = Lease(
            name=record.name,
            holder=record.holder,
            fence=offset,
            ttl_ms=record.ttl_ms,
            certain=record.seen >= self.start - 1,
        )
        self.leases[record.name] = lease
        basis = max(record.basis, self.bases.get(record.name, 0))
        self.bases[record.name] = basis
        return (lease,)

    def apply_renewal(
        self, record: records.Renew, term: records.Term
    ) -> Lease | None:
        """Extend a lease if its current holder renews its fencing number."""
        known = self.leases.get(term.name)
        renewed = Lease(
            name=term.name,
            holder=record.holder,
            fence=term.fence,
            ttl_ms=record.ttl_ms,
        )
        if self.is_uncertain(known, term.fence):
            renewed = dataclasses.replace(renewed, certain=False)
        elif known is None or not is_holder(known, record.holder, term):
            return None
        self.leases[term.name] = renewed
        return renewed

    def apply_release(
        self, record: records.Release, term: records.Term
    ) -> None:
        """Release a lease if the record is of its current holder."""
        known = self.leases.get(term.name)
        if known is None or not known.certain:
            return
        if is_holder(known, record.holder, term):
            self.leases[term.name] = dataclasses.replace(known, released=True)

    def is_uncertain(self, known: Lease | None, fence: int) -> bool:
        """Return whether a renewal depends on records unknown to the reader.

        A reader that starts after the acquiring record was removed would
        treat the renewals of a live holder as void, and acquire the lease
        as well.  Renewals therefore count without it, at the cost of
        another ttl of waiting.
        """
        if known is None:
            return fence < self.start
        return not known.certain


def is_holder(lease: Lease, holder: str, term: records.Term) -> bool:
    """Return whether ``holder`` holds the lease under the term's fence."""
    return (
        lease.holder == holder
        and lease.fence == term.fence
        and not lease.released
    )
