from __future__ import annotations

import pytest

from briarseam.discovery import starts


@pytest.mark.parametrize(
    "start",
    [
        starts.Start("a"),
        starts.Start("a", 5),
        starts.Start("a@5"),
        starts.Start("a@5", 6),
        starts.Start("a@"),
        starts.Start("@"),
        starts.Start("a@\N{SUPERSCRIPT TWO}"),
    ],
)
def test_id_is_parsed_to_the_same_start(start):
    assert starts.parse(start.id) == start


def test_starts_of_one_endpoint_have_different_ids():
    """Guards against an endpoint that is mistaken for its former start.

    An endpoint that crashes and restarts under its name has other weights,
    and its cache is empty.
    """
    assert starts.Start("a", 5).id != starts.Start("a", 6).id


@pytest.fixture
def newest():
    return starts.NewestStarts()


def test_update_of_an_earlier_start_is_ignored(newest):
    assert newest.resolve(starts.Start("a", 6)) == starts.Start("a", 6)
    assert newest.resolve(starts.Start("a", 5)) is None
    assert newest.resolve(starts.Start("a", 6)) == starts.Start("a", 6)


def test_update_without_a_start_time_is_of_the_newest_start(newest):
    """Guards against lost state of an endpoint that did not restart.

    Its entry may come from a writer that does not report start times.  If
    that counted as another start, all state of the endpoint would be
    dropped.
    """
    assert newest.resolve(starts.Start("a")) == starts.Start("a")
    newest.resolve(starts.Start("a", 6))
    assert newest.resolve(starts.Start("a")) == starts.Start("a", 6)


def test_least_recently_updated_names_are_dropped(newest, monkeypatch):
    """Guards against unbounded memory in an instance that runs for weeks.

    Endpoints are replaced all day, each time under a new name.
    """
    monkeypatch.setattr(starts, "MAX_NAMES", 2)
    for start in (
        starts.Start("old", 5),
        starts.Start("live", 5),
        starts.Start("old", 5),
        starts.Start("new", 5),
    ):
        newest.resolve(start)
    assert set(newest.born_ms) == {"old", "new"}


def test_id_with_thousands_of_digits_is_a_name():
    """Python refuses to convert numbers of so many digits."""
    text = "a@" + "9" * 5000
    assert starts.parse(text) == starts.Start(text)


NOW_MS = 1_700_000_000_000


@pytest.mark.parametrize(
    "odd_ms", [NOW_MS * 1000, 2**53, NOW_MS + 30 * 24 * 3600 * 1000]
)
def test_start_far_in_the_future_does_not_hide_later_ones(odd_ms):
    """Guards against an endpoint that is out for ever after one odd entry."""
    newest = starts.NewestStarts(lambda: NOW_MS / 1000)
    sound = starts.Start("a", NOW_MS)
    assert newest.resolve(starts.Start("a", odd_ms)).born_ms == odd_ms
    assert newest.resolve(sound) == sound
    assert newest.resolve(starts.Start("a", odd_ms)) is None
    assert newest.resolve(starts.Start("a", NOW_MS - 1)) is None
    assert newest.resolve(starts.Start("a")) == sound


def test_starts_are_in_order_where_the_own_clock_is_behind():
    """Guards against a wrong clock of this machine that changes the order."""
    newest = starts.NewestStarts(lambda: 0.0)
    newest.resolve(starts.Start("a", NOW_MS))
    assert newest.resolve(starts.Start("a", NOW_MS - 1)) is None
    later = starts.Start("a", NOW_MS + 1)
    assert newest.resolve(later) == later
