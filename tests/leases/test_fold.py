from __future__ import annotations

import hypothesis
from hypothesis import strategies

from briarseam.leases import fold
from briarseam.leases import records

NAME = "models/draft"


def acquire(holder: str, seen: int) -> records.Acquire:
    return records.Acquire("id", holder, NAME, 1000, seen)


def renew(holder: str, fence: int) -> records.Renew:
    return records.Renew("id", holder, 1000, (records.Term(NAME, fence),))


def release(holder: str, fence: int) -> records.Release:
    return records.Release("id", holder, (records.Term(NAME, fence),))


def folded(history: list[records.LeaseRecord], start: int = 1) -> fold.Fold:
    table = fold.Fold(start)
    for offset, record in enumerate(history, start=1):
        if offset >= start:
            table.apply(offset, record)
    return table


def test_offset_of_the_acquiring_record_is_the_fencing_number():
    table = folded([renew("x", 9), acquire("a", 1)])
    assert table.leases[NAME].fence == 2
    assert table.leases[NAME].holder == "a"


def test_second_of_two_racing_acquires_is_void():
    """Two agents see a lease run out and append at the same moment."""
    table = folded([acquire("a", 0), acquire("b", 0)])
    assert table.leases[NAME].holder == "a"


def test_acquire_is_void_when_the_holder_renewed_in_between():
    """A slow renewal arrives just before a successor's record.

    The successor had not read it, so both would hold the lease.
    """
    table = folded([acquire("a", 0), renew("a", 1), acquire("b", 1)])
    assert table.leases[NAME].holder == "a"


def test_old_holder_cannot_renew_or_release_after_its_successor():
    """A frozen holder wakes and renews, then gives back, what it lost."""
    history = [acquire("a", 0), acquire("b", 1), renew("a", 1)]
    table = folded([*history, release("a", 1)])
    assert table.leases[NAME].holder == "b"
    assert not table.leases[NAME].released


def test_reader_that_begins_late_counts_renewals_it_cannot_judge():
    """The acquiring record aged out of the log before a new agent began.

    Were the live holder's renewals void to it, it would acquire beside it.
    """
    table = folded([acquire("a", 0), renew("a", 1), renew("a", 1)], start=2)
    assert table.leases[NAME].holder == "a"
    assert not table.leases[NAME].certain


HOLDERS = strategies.sampled_from("abc")
OFFSETS = strategies.integers(min_value=0, max_value=12)
FENCES = strategies.integers(min_value=1, max_value=12)
HISTORIES = strategies.lists(
    strategies.one_of(
        strategies.builds(acquire, HOLDERS, OFFSETS),
        strategies.builds(renew, HOLDERS, FENCES),
        strategies.builds(release, HOLDERS, FENCES),
    ),
    max_size=12,
)


@hypothesis.settings(deadline=None)
@hypothesis.given(HISTORIES, strategies.integers(1, 12))
def test_readers_that_are_certain_agree(history, start):
    """A reader that began late never differs from one that knows all."""
    whole = folded(history).leases.get(NAME)
    late = folded(history, start).leases.get(NAME)
    if late is not None and late.certain:
        assert late == whole


@hypothesis.settings(deadline=None)
@hypothesis.given(HISTORIES)
def test_fencing_numbers_of_a_lease_only_grow(history):
    table = fold.Fold()
    highest = 0
    for offset, record in enumerate(history, start=1):
        table.apply(offset, record)
        lease = table.leases.get(NAME)
        if lease is not None:
            assert lease.fence >= highest
            highest = lease.fence
