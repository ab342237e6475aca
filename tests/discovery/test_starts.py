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
def test_id_names_one_start_whatever_the_name_is(start):
    assert starts.parse(start.id) == start


def test_starts_of_one_endpoint_have_different_ids():
    """An endpoint crashes and starts again under its name.

    Known by its name alone it would pass for the start before, with its
    weights and the prompts that it had read.
    """
    assert starts.Start("a", 5).id != starts.Start("a", 6).id


@pytest.fixture
def newest():
    return starts.NewestStarts()


def test_news_of_a_start_that_is_over_is_of_none(newest):
    assert newest.current(starts.Start("a", 6)) == starts.Start("a", 6)
    assert newest.current(starts.Start("a", 5)) is None
    assert newest.current(starts.Start("a", 6)) == starts.Start("a", 6)


def test_news_without_a_time_of_birth_is_of_the_newest_start(newest):
    """An entry comes from a writer that does not know of births.

    Taken for another start it would have all forgotten that is known of an
    endpoint that never was away.
    """
    assert newest.current(starts.Start("a")) == starts.Start("a")
    newest.current(starts.Start("a", 6))
    assert newest.current(starts.Start("a")) == starts.Start("a", 6)


def test_names_of_long_ago_are_forgotten_first(newest, monkeypatch):
    """Endpoints are replaced all day; an instance that lives for weeks
    would fill its memory with their names.
    """
    monkeypatch.setattr(starts, "MOST_NAMES", 2)
    for start in (
        starts.Start("old", 5),
        starts.Start("live", 5),
        starts.Start("old", 5),
        starts.Start("new", 5),
    ):
        newest.current(start)
    assert set(newest.born_ms) == {"old", "new"}
