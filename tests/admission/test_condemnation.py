from __future__ import annotations

import itertools

import pytest

from briarseam.admission import condemnation
from briarseam.admission import condemnation_records as records
from briarseam.admission import evidence
from briarseam.configuration import teams
from tests.admission import crashes

KEY = b"shared"
TEAMS = teams.Teams(
    (
        teams.Team("rumoi", (b"r",), ("organisations/north",)),
        teams.Team("wakkanai", (b"w",), ("organisations/south",)),
    )
)
crashes.names = itertools.count()


def cleared(*groups: str, organisation: str = "north") -> evidence.Cleared:
    return evidence.Cleared(
        crashes.CASE.fingerprint, organisation, groups, "", 1_000_000
    )


@pytest.mark.parametrize(
    "prompt",
    [
        evidence.identify_prompt("south", "draft", b"prompt"),
        evidence.identify_prompt("north", "other", b"prompt"),
        evidence.identify_prompt("northd", "raft", b"prompt"),
        crashes.OTHER,
    ],
    ids=["organisation", "model", "parts run together", "prompt"],
)
def test_prompts_of_others_are_other_cases(prompt):
    """One organisation's crash refuses another organisation's prompt."""
    assert prompt.fingerprint != crashes.CASE.fingerprint


def test_two_lost_endpoints_condemn_for_a_term(evidence_set, clock):
    """A prompt takes down a third engine, or is refused for ever."""
    evidence_set.merge(crashes.lost("engine-0"))
    assert isinstance(
        evidence_set.standing(crashes.CASE.fingerprint), condemnation.Suspect
    )
    evidence_set.merge(crashes.lost("engine-1"))
    standing = evidence_set.standing(crashes.CASE.fingerprint)
    assert isinstance(standing, condemnation.Condemned)
    clock.ms = standing.expires_at_ms
    assert (
        evidence_set.standing(crashes.CASE.fingerprint) == condemnation.Clear()
    )


def test_runs_lost_with_one_endpoint_count_once(evidence_set):
    """A popular prompt is condemned for one engine's death."""
    for _ in range(3):
        evidence_set.merge(crashes.lost("engine-0", "first-run"))
    assert isinstance(
        evidence_set.standing(crashes.CASE.fingerprint), condemnation.Suspect
    )


def test_items_may_come_in_any_order_and_twice(clock):
    """Agents disagree for good on whether a prompt is condemned."""
    first = crashes.lost("engine-0", "a")
    second = crashes.lost("engine-1", "b")
    items = (first, cleared("a"), second, second)
    for order in itertools.permutations(items):
        evidence_set = condemnation.EvidenceSet(clock)
        for item in order:
            evidence_set.merge(item)
        assert evidence_set.standing(
            crashes.CASE.fingerprint
        ) == condemnation.Suspect(("b",))


def test_what_is_old_is_forgotten(evidence_set, clock):
    evidence_set.merge(crashes.lost("engine-0"))
    clock.ms += condemnation.FORGET_MS + 1
    evidence_set.forget_old()
    assert evidence_set.losses == {}


def test_record_is_read_back(evidence_set):
    item = crashes.lost("engine-0")
    assert records.decode(records.encode([item], KEY), KEY, TEAMS) == [item]


def lift(author: str, organisation: str) -> bytes:
    item = cleared("a", organisation=organisation)
    return records.encode_lift(item, author, TEAMS)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\x00", id="no record"),
        pytest.param(records.encode([], b"guessed"), id="wrong key"),
        pytest.param(lift("wakkanai", "north"), id="another team's"),
    ],
)
def test_record_that_nobody_vouches_for_is_refused(data):
    """Whoever can write to the log lifts or spreads condemnations."""
    with pytest.raises(records.RecordError):
        records.decode(data, KEY, TEAMS)


def test_team_lifts_for_its_own_organisation():
    assert records.decode(lift("rumoi", "north"), KEY, TEAMS)
