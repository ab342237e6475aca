"""The days of trouble that the script derives, and the ones that are kept."""

from __future__ import annotations

import itertools
import pathlib
import tomllib

from bench import derive_days
import pytest

KEPT = pathlib.Path(__file__).parents[2] / "deploy" / "days"

#: The last kept day of pairs; the other days of pairs are derived when needed.
LAST_KEPT_OF_PAIRS = 10


def entries(day):
    found = day.get("plan", []) + day.get("faults", [])
    return sorted(found, key=lambda entry: entry["at"])


def days(listed):
    return [tomllib.loads(text) for _, text in listed]


def test_every_kind_comes_once_on_its_own():
    # A kind that no day brings is met for the first time by the users.
    brought = [
        entry["kind"]
        for day in days(derive_days.days_alone())
        for entry in entries(day)
    ]
    assert sorted(brought) == sorted(
        trouble.kind for trouble in derive_days.TROUBLES
    )


def test_every_pair_of_kinds_comes_once():
    # Each day lists its pairs one after the other.
    brought = [
        frozenset(entry["kind"] for entry in listed[at : at + 2])
        for listed in map(entries, days(derive_days.days_of_pairs()))
        for at in range(0, len(listed), 2)
    ]
    kinds = [trouble.kind for trouble in derive_days.TROUBLES]
    wanted = [frozenset(pair) for pair in itertools.combinations(kinds, 2)]
    assert len(brought) == len(wanted)
    assert set(brought) == set(wanted)


def test_kept_days_are_the_derived_ones():
    # A day that was edited by hand would be lost when they are derived anew.
    derived = itertools.chain(
        derive_days.days_alone(),
        itertools.islice(derive_days.days_of_pairs(), LAST_KEPT_OF_PAIRS),
    )
    for name, text in derived:
        assert (KEPT / f"{name}.toml").read_text() == text


@pytest.mark.parametrize("name", sorted(p.stem for p in KEPT.glob("*.toml")))
def test_kept_day_names_nothing_of_one_site(name):
    # A day that names a zone or service of one site is left out elsewhere.
    day = tomllib.loads((KEPT / f"{name}.toml").read_text())
    assert day["name"] == name
    assert "traffic" not in day
    named = [
        entry[field]
        for entry in entries(day)
        for field in ("service", "zone", "to_zone", "class")
        if field in entry
    ]
    assert all(word.startswith("@") for word in named)


def test_readme_lists_every_kept_day():
    listed = (KEPT / "README.md").read_text()
    for path in KEPT.glob("*.toml"):
        stem = path.stem.rstrip("0123456789").rstrip("-")
        assert f"`{path.stem}`" in listed or f"`{stem}-N`" in listed


#: Kinds that strike endpoints.  Where an entry names no service the bench
#: picks one, and a store of prompts has no endpoints to strike.
STRIKE_ENDPOINTS = {
    "answer_lost",
    "garble",
    "release",
    "replace_with_reuse",
    "scale_in",
    "scale_out",
    "srv_crash",
    "srv_cut",
    "srv_grey",
    "srv_slow",
}


@pytest.mark.parametrize("name", sorted(p.stem for p in KEPT.glob("*.toml")))
def test_kept_day_says_whose_endpoints_are_struck(name):
    # The day plays without a word while some of its troubles strike nothing.
    day = tomllib.loads((KEPT / f"{name}.toml").read_text())
    struck = [
        entry
        for entry in entries(day)
        if entry["kind"] in STRIKE_ENDPOINTS
        or (entry["kind"] == "node_cut" and "servers" in entry.get("how", ""))
    ]
    assert all("service" in entry for entry in struck)
