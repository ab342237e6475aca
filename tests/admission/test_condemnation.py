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
crashes.run_numbers = itertools.count()


def make_cleared(
    *groups: str, organisation: str = "north"
) -> evidence.Cleared:
    return evidence.Cleared(
        crashes.PROMPT.fingerprint, organisation, groups, "", 1_000_000
    )


@pytest.mark.parametrize(
    "prompt",
    [
        evidence.identify_prompt("south", "draft", b"prompt"),
        evidence.identify_prompt("north", "other", b"prompt"),
        evidence.identify_prompt("northd", "raft", b"prompt"),
        crashes.OTHER_PROMPT,
    ],
    ids=["organisation", "model", "ambiguous concatenation", "prompt"],
)
def test_different_prompts_have_different_fingerprints(prompt):
    """Guards against refusing a prompt for the crashes of another one.

    The other prompt may belong to another organisation or model.
    """
    assert prompt.fingerprint != crashes.PROMPT.fingerprint


def test_two_losses_condemn_until_they_expire(evidence_set, clock):
    """Guards against a third lost engine and against endless refusal."""
    evidence_set.merge(crashes.make_loss("engine-0"))
    assert isinstance(
        evidence_set.standing(crashes.PROMPT.fingerprint), condemnation.Suspect
    )
    evidence_set.merge(crashes.make_loss("engine-1"))
    standing = evidence_set.standing(crashes.PROMPT.fingerprint)
    assert isinstance(standing, condemnation.Condemned)
    clock.ms = standing.expires_at_ms
    assert (
        evidence_set.standing(crashes.PROMPT.fingerprint)
        == condemnation.Clear()
    )


def test_runs_lost_with_one_endpoint_count_once(evidence_set):
    """Guards against condemning a popular prompt for one engine's death."""
    for _ in range(3):
        evidence_set.merge(crashes.make_loss("engine-0", "first-run"))
    assert isinstance(
        evidence_set.standing(crashes.PROMPT.fingerprint), condemnation.Suspect
    )


def test_items_merge_in_any_order_and_repeatedly(clock):
    """Guards against agents that disagree permanently on a condemnation."""
    first = crashes.make_loss("engine-0", "a")
    second = crashes.make_loss("engine-1", "b")
    items = (first, make_cleared("a"), second, second)
    for order in itertools.permutations(items):
        evidence_set = condemnation.EvidenceSet(clock)
        for item in order:
            evidence_set.merge(item)
        assert evidence_set.standing(
            crashes.PROMPT.fingerprint
        ) == condemnation.Suspect(("b",))


def test_expired_items_are_forgotten(evidence_set, clock):
    evidence_set.merge(crashes.make_loss("engine-0"))
    clock.ms += condemnation.RETENTION_MS + 1
    evidence_set.forget_expired()
    assert evidence_set.losses == {}


def test_record_is_decoded_as_it_was_encoded(evidence_set):
    item = crashes.make_loss("engine-0")
    assert records.decode(records.encode([item], KEY), KEY, TEAMS) == [item]


def make_lift(author: str, organisation: str) -> bytes:
    item = make_cleared("a", organisation=organisation)
    return records.encode_lift(item, author, TEAMS)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\x00", id="malformed"),
        pytest.param(records.encode([], b"guessed"), id="wrong key"),
        pytest.param(
            make_lift("wakkanai", "north"), id="organisation of another team"
        ),
    ],
)
def test_record_that_is_not_authentic_is_rejected(data):
    """Guards against forged condemnations and lifts.

    A process that can write to the log need not have the key of the system
    or of the team.
    """
    with pytest.raises(records.RecordError):
        records.decode(data, KEY, TEAMS)


def test_team_lifts_condemnations_of_its_own_organisation():
    assert records.decode(make_lift("rumoi", "north"), KEY, TEAMS)
