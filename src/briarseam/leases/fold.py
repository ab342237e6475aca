"""The pure fold of the lease stream: who holds what, by offsets alone.

No clock enters here, so every reader of the same records comes to the same
holders.  Time is the service's part: it decides when a lease that is not
renewed may be asked for again.
"""

from __future__ import annotations

import dataclasses

from briarseam.leases import records


@dataclasses.dataclass(frozen=True)
class Lease:
    """The present term of a lease.

    Attributes
    ----------
    name, holder, fence
        Who holds it under which fencing number.
    ttl_ms
        How long the last record keeps it, in ms.
    released
        Whether the holder gave it back.
    certain
        False when the record that decides it had vanished from the log
        before this reader began.
    """

    name: str
    holder: str
    fence: int
    ttl_ms: int
    released: bool = False
    certain: bool = True


class Fold:
    """Folds records in order of offset.

    Parameters
    ----------
    start
        Offset of the first record that will be read; records before it
        are unknown to this reader.

    Attributes
    ----------
    through
        Offset of the last record folded in.
    leases
        Present terms by name.
    touched
        Offset of the last record about each lease, valid or not.
    bases
        Newest configuration that a holder of each lease went by.
    """

    def __init__(self, start: int = 1) -> None:
        self.start = start
        self.through = start - 1
        self.leases: dict[str, Lease] = {}
        self.touched: dict[str, int] = {}
        self.bases: dict[str, int] = {}

    def apply(
        self, offset: int, record: records.LeaseRecord
    ) -> tuple[Lease, ...]:
        """Fold one record in.

        Parameters
        ----------
        offset
            Its offset, above all before it.
        record
            The record.

        Returns
        -------
        tuple of Lease
            The leases it keeps for a ttl from now; empty when it is void.
        """
        match record:
            case records.Acquire():
                kept = self.take_acquire(offset, record)
            case records.Renew():
                kept = tuple(
                    lease
                    for term in record.terms
                    if (lease := self.take_renewal(record, term))
                )
            case records.Release():
                for term in record.terms:
                    self.take_release(record, term)
                kept = ()
        for name in records.names(record):
            self.touched[name] = offset
        self.through = offset
        return kept

    def skip(self, offset: int) -> None:
        """Pass over a malformed record."""
        self.through = offset

    def take_acquire(
        self, offset: int, record: records.Acquire
    ) -> tuple[Lease, ...]:
        """Grant a lease unless somebody came in between.

        Two instances that both saw the lease run out append at once; the
        second one's ``seen`` lies before the first one's record, which
        voids it for every reader alike.
        """
        if record.seen >= offset:
            return ()
        if self.touched.get(record.name, 0) > record.seen:
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

    def take_renewal(
        self, record: records.Renew, term: records.Term
    ) -> Lease | None:
        """Keep a lease if its present holder asks under its number."""
        known = self.leases.get(term.name)
        renewed = Lease(
            name=term.name,
            holder=record.holder,
            fence=term.fence,
            ttl_ms=record.ttl_ms,
        )
        if self.doubtful(known, term.fence):
            renewed = dataclasses.replace(renewed, certain=False)
        elif known is None or not is_holder(known, record.holder, term):
            return None
        self.leases[term.name] = renewed
        return renewed

    def take_release(
        self, record: records.Release, term: records.Term
    ) -> None:
        """Free a lease if its present holder gives it back."""
        known = self.leases.get(term.name)
        if known is None or not known.certain:
            return
        if is_holder(known, record.holder, term):
            self.leases[term.name] = dataclasses.replace(known, released=True)

    def doubtful(self, known: Lease | None, fence: int) -> bool:
        """Tell whether a renewal rests on records that are unknown here.

        A reader that begins after the acquiring record has vanished would
        take a live holder's renewals for void and acquire beside it; so
        it counts them, at the cost of waiting for a ttl more.
        """
        if known is None:
            return fence < self.start
        return not known.certain


def is_holder(lease: Lease, holder: str, term: records.Term) -> bool:
    """Tell whether ``holder`` has the lease under the term's number."""
    return (
        lease.holder == holder
        and lease.fence == term.fence
        and not lease.released
    )
