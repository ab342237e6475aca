from __future__ import annotations

import dataclasses

import hypothesis
from hypothesis import strategies as st
import msgpack
import pytest
from tests.configuration import helpers

from briarseam.configuration import fold as folds
from briarseam.configuration import records
from briarseam.configuration import snapshots
from briarseam.configuration import teams as team_types

PATHS = ("models/draft", "models/answer", "services/portal")
TEAMS = team_types.Teams(
    (
        team_types.Team("drafts", (b"drafts' key",), ("models",)),
        team_types.Team("portal", (b"portal's key",), ("services",)),
    )
)


def apply_all(datas, fold=None, teams=TEAMS):
    fold = fold or folds.Fold()
    return fold, [fold.apply(fold.offset + 1, data, teams) for data in datas]


def encode(change, teams=TEAMS):
    return records.encode(change, teams.sign)


changes = st.builds(
    records.Change,
    id=st.sampled_from([f"id-{number}" for number in range(6)]),
    author=st.sampled_from(["drafts", "portal"]),
    operator=st.just(""),
    base=st.integers(0, 3),
    expects=st.dictionaries(st.sampled_from(PATHS), st.integers(0, 4)),
    sets=st.dictionaries(
        st.sampled_from(PATHS), st.none() | st.integers(0, 3)
    ),
)


@hypothesis.settings(max_examples=150, deadline=None)
@hypothesis.given(
    st.lists(changes, max_size=12),
    st.lists(st.integers(0, 11), max_size=8),
    st.integers(0, 20),
    st.data(),
)
def test_all_readers_of_the_same_records_hold_the_same_tree(
    drawn, duplicated, cut, data
):
    # Guards against agents that hold different trees, so that an answer
    # depends on the agent.  Changes conflict, records are appended twice,
    # and an agent starts from a snapshot at any offset.
    encoded = [
        encode(
            dataclasses.replace(
                change, expects={p: 0 for p in change.sets} | change.expects
            )
        )
        for change in drawn
    ]
    datas = data.draw(
        st.permutations(
            encoded + [encoded[i] for i in duplicated if i < len(encoded)]
        )
    )
    fold, verdicts = apply_all(datas)
    early, _ = apply_all(datas[:cut])
    state = snapshots.pack_state(early)
    late = snapshots.unpack_state(state, early.offset, early.digest)
    late, tail = apply_all(datas[cut:], late)
    assert late.entries == fold.entries
    assert late.digest == fold.digest
    assert tail == verdicts[cut:]
    accepted = [v.offset for v in verdicts if isinstance(v, folds.Accepted)]
    ids = [
        records.decode_body(records.open_envelope(datas[offset - 1])).id
        for offset in accepted
    ]
    assert len(ids) == len(set(ids))
    assert {e.revision for e in fold.entries.values()} <= set(accepted)


def test_lower_offset_of_two_conflicting_changes_wins():
    # Two operators change a path from the same revision.  The second change
    # is rejected with the winning revision, and sets none of its other
    # paths.
    first = encode(helpers.change({"models/draft": 1}))
    second = encode(helpers.change({"models/other": 2, "models/draft": 2}))
    fold, verdicts = apply_all([first, second])
    assert verdicts[1] == folds.Rejected(
        2, folds.RejectReason.CONFLICT, "models/draft", 1
    )
    assert fold.values() == {"models/draft": 1}


def test_replayed_record_does_not_restore_a_deleted_path():
    # Guards against a writer with access to the log alone that appends an
    # accepted record again after its path was deleted, within the window of
    # remembered ids or after it.
    create = encode(helpers.change({"models/draft": 1}))
    delete = encode(
        helpers.change({"models/draft": None}, {"models/draft": 1}, base=1)
    )
    fold, verdicts = apply_all([create, delete, create])
    assert verdicts[2] == folds.Duplicate(3, 1)
    apply_all([b"noise"] * (folds.REPLAY_WINDOW + 1), fold)
    assert not fold.known_ids
    _, verdicts = apply_all([create], fold)
    assert verdicts[0].reason == folds.RejectReason.STALE
    assert fold.entries == {}


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(b"\xc1", id="not-msgpack"),
        pytest.param(msgpack.packb([1, 2, 3, 4]), id="wrong-types"),
        pytest.param(
            msgpack.packb([99, "drafts", b"", b""]), id="unknown-version"
        ),
        pytest.param(
            msgpack.packb([1, "nobody", b"", b""]), id="unknown-team"
        ),
        pytest.param(
            encode(
                helpers.change({"models/draft": 1}),
                team_types.Teams(
                    (team_types.Team("drafts", (b"guess",), ("models",)),)
                ),
            ),
            id="other-key",
        ),
    ],
)
def test_forged_record_has_no_effect(data):
    # Guards against a writer with access to the log alone that changes the
    # configuration, or stops the agents by a record of an unknown version.
    fold, verdicts = apply_all([data])
    assert verdicts[0].reason == folds.RejectReason.NOT_AUTHENTIC
    assert fold.stopped is None
    assert fold.entries == {}


def test_authentic_record_of_unknown_version_stops_the_fold():
    # A newer release publishes a record that this one can't apply.  Skipping
    # it would leave the agent with a different tree.
    unsigned = records.Envelope(2, "drafts", b"body", b"")
    proof = TEAMS.sign("drafts", unsigned.signed_bytes())
    data = msgpack.packb([2, "drafts", b"body", proof])
    change = encode(helpers.change({"models/draft": 1}))
    fold, verdicts = apply_all([change, data, change])
    assert verdicts[1:] == [folds.StoppedUnknownVersion(2, 2)] * 2
    assert fold.offset == 1


def test_team_sets_only_its_own_paths(teams):
    fold, verdicts = apply_all(
        [
            encode(helpers.change({"services/x": 1}), teams),
            encode(helpers.change({"models/x": 1}), teams),
        ],
        teams=teams,
    )
    assert verdicts[0].reason == folds.RejectReason.NOT_OWNED
    assert verdicts[0].path == "services/x"
    assert fold.values() == {"models/x": 1}
