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


def fold_history(
    history: list[records.LeaseRecord], start: int = 1
) -> fold.Fold:
    state = fold.Fold(start)
    for offset, record in enumerate(history, start=1):
        if offset >= start:
            state.apply(offset, record)
    return state


def test_offset_of_the_acquiring_record_is_the_fencing_number():
    state = fold_history([renew("x", 9), acquire("a", 1)])
    assert state.leases[NAME].fence == 2
    assert state.leases[NAME].holder == "a"


def test_second_of_two_racing_acquires_is_void():
    """Two agents see a lease expire and append at the same time."""
    state = fold_history([acquire("a", 0), acquire("b", 0)])
    assert state.leases[NAME].holder == "a"


def test_acquire_is_void_when_the_holder_renewed_in_between():
    """Guards against two holders after a slow renewal.

    The renewal arrives just before the record of a successor that has not
    read it.
    """
    state = fold_history([acquire("a", 0), renew("a", 1), acquire("b", 1)])
    assert state.leases[NAME].holder == "a"


def test_former_holder_cannot_renew_or_release():
    """A frozen holder resumes, then renews and releases a lost lease."""
    history = [acquire("a", 0), acquire("b", 1), renew("a", 1)]
    state = fold_history([*history, release("a", 1)])
    assert state.leases[NAME].holder == "b"
    assert not state.leases[NAME].released


def test_renewal_counts_if_the_acquiring_record_is_unknown():
    """Guards against a second holder beside a live one.

    The acquiring record was removed from the log before the reader started.
    If renewals were void without it, the reader would acquire the lease.
    """
    state = fold_history(
        [acquire("a", 0), renew("a", 1), renew("a", 1)], start=2
    )
    assert state.leases[NAME].holder == "a"
    assert not state.leases[NAME].certain


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
    """A late reader that is certain agrees with one that read all records."""
    complete = fold_history(history).leases.get(NAME)
    late = fold_history(history, start).leases.get(NAME)
    if late is not None and late.certain:
        assert late == complete


@hypothesis.settings(deadline=None)
@hypothesis.given(HISTORIES)
def test_fencing_numbers_of_a_lease_never_decrease(history):
    state = fold.Fold()
    highest = 0
    for offset, record in enumerate(history, start=1):
        state.apply(offset, record)
        lease = state.leases.get(NAME)
        if lease is not None:
            assert lease.fence >= highest
            highest = lease.fence
