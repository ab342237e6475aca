"""Chooses the instances of other cells that get a work notice."""

from __future__ import annotations

import dataclasses
import random
import typing

from briarseam import clocks
from briarseam.metrics import instruments
from briarseam.placement import urgency

if typing.TYPE_CHECKING:
    import collections.abc

# Rate at which one instance sends notices, in addition to its load reports.
# If all cells are of similar size, an instance receives as many.
MAX_DATAGRAMS_PER_S = 250.0
# Notices to all recipients that may be sent in immediate succession.
BURST_NOTICES = 3
# Maximum number of datagrams of a burst, whatever the number of recipients.
MAX_BURST = 250


@dataclasses.dataclass(frozen=True)
class Counters:
    """Counters of work notices.

    Attributes
    ----------
    sent
        Datagrams with a notice sent.
    skipped
        Recipients that got no notice, to stay within the budget.
    received
        Notices received and counted as load.
    dropped
        Notices received that were duplicates, late, or not wanted.
    """

    sent: instruments.Counter = dataclasses.field(
        default_factory=instruments.Counter
    )
    skipped: instruments.Counter = dataclasses.field(
        default_factory=instruments.Counter
    )
    received: instruments.Counter = dataclasses.field(
        default_factory=instruments.Counter
    )
    dropped: instruments.Counter = dataclasses.field(
        default_factory=instruments.Counter
    )


class Recipients:
    """The recipients of each notice, within a budget.

    All instances of other cells, while the budget allows; otherwise a random
    subset, chosen anew for each notice, so that none is left out regularly.

    Parameters
    ----------
    addresses
        Returns the addresses of the instances of other cells.
    clock
        Seconds.
    chooser
        Source of random choices.
    """

    def __init__(
        self,
        addresses: typing.Callable[[], collections.abc.Sequence[str]],
        clock: typing.Callable[[], float] = clocks.boot_clock,
        chooser: random.Random | None = None,
    ) -> None:
        self.addresses = addresses
        self.random = chooser or random.Random()
        self.bucket = urgency.TokenBucket(MAX_DATAGRAMS_PER_S, clock)

    def take(self, cell_size: int) -> tuple[list[str], int]:
        """Return the recipients of a notice that is sent now.

        Parameters
        ----------
        cell_size
            Number of instances of the local cell.  If the other cells have
            fewer in all, each of these gets notices from more senders, so
            that the budget of each sender is reduced in proportion.

        Returns
        -------
        list of str, int
            Addresses, and the number of recipients that are left out.
        """
        addresses = list(self.addresses())
        if not addresses:
            return [], 0
        cost = max(cell_size / len(addresses), 1.0)
        burst = min(BURST_NOTICES * len(addresses) * cost, MAX_BURST)
        affordable = int(self.bucket.available(burst) / cost)
        count = min(len(addresses), affordable)
        self.bucket.take(count * cost)
        if count == len(addresses):
            return addresses, 0
        return (
            self.random.sample(addresses, count),
            len(addresses) - count,
        )
