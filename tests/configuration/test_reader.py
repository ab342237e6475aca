from __future__ import annotations

import dataclasses
import math

import pytest
from tests.configuration import helpers

from briarseam.configuration import fold as folds
from briarseam.configuration import messages
from briarseam.configuration import peers
from briarseam.configuration import records
from briarseam.configuration import snapshots
from briarseam.configuration import state as states
from briarseam.configuration import teams as team_types
from briarseam.testing import log_service
from briarseam.testing import waiting

NAMES = ("a", "b", "c", "d", "e")
MODEL = {"version": "1"}
EVERYONE = dataclasses.replace(helpers.FAST, all_agents_read=True)
NO_SNAPSHOTS = dataclasses.replace(
    helpers.FAST,
    snapshots=dataclasses.replace(helpers.FAST.snapshots, check_s=600.0),
)


def wait_for_offset(cluster, offset):
    waiting.until(lambda: cluster.offsets() == {offset}, what=f"{offset}")


def start(cluster, names=NAMES):
    for name in names:
        cluster.add(name)
    waiting.until(
        lambda: all(a.reader.ready() for a in cluster.agents.values())
    )


def set_model(cluster, name="m", **fields):
    return cluster.append(
        helpers.change({f"models/{name}": MODEL | fields}, base=0)
    )


def test_change_reaches_agents_that_do_not_read_the_log(cluster):
    # Two agents of the cell read the log and the others poll those two: a
    # change is in force at all agents with few reads of the log.
    start(cluster)
    reads = {n: a.reader.counters.log_reads for n, a in cluster.agents.items()}
    for number in range(5):
        wait_for_offset(cluster, set_model(cluster, f"m{number}"))
    readers_now = peers.ranked(NAMES)[:2]
    for name, agent in cluster.agents.items():
        assert len(agent.reader.view().models) == 5
        if name not in readers_now:
            assert agent.reader.counters.log_reads - reads[name] <= 1


def test_agents_follow_the_log_when_its_readers_are_lost(cluster):
    # Both agents that read the log are killed while the member list still
    # contains them: the others must not wait for their removal.
    start(cluster)
    wait_for_offset(cluster, set_model(cluster, "first"))
    for name in peers.ranked(NAMES)[:2]:
        agent = cluster.agents[name]
        agent.reader.stopping.set()
        agent.server.stop()
    for name in peers.ranked(NAMES)[:2]:
        cluster.agents[name].reader.thread.join()
    offset = set_model(cluster)
    others = [cluster.agents[name] for name in peers.ranked(NAMES)[2:]]
    waiting.until(lambda: {a.reader.offset() for a in others} == {offset})


def test_agent_starts_from_the_highest_peer_while_the_log_is_down(cluster):
    # The log is down when an instance is replaced.  The new one must load
    # the highest state among its peers, although one of them lags behind.
    start(cluster, ["a", "b"])
    set_model(cluster, "one")
    wait_for_offset(cluster, 1)
    lagging = cluster.agents["a"]
    lagging.reader.stopping.set()
    lagging.reader.thread.join()
    set_model(cluster, "two")
    ahead = cluster.agents["b"].reader
    waiting.until(lambda: ahead.offset() == 2)
    cluster.log.set(outage=True)
    late = cluster.add("c").reader
    waiting.until(late.ready)
    assert late.offset() == 2
    assert late.view().models.keys() == {"one", "two"}
    assert late.tree.fold.digest == ahead.tree.fold.digest


def test_new_agent_without_log_or_ready_peer_is_not_ready(cluster):
    # All instances are replaced while the log is down, so no agent knows the
    # configuration.  None may serve as if it were empty.
    set_model(cluster)
    cluster.log.set(outage=True)
    fresh = [cluster.add(name).reader for name in "ab"]
    waiting.until(lambda: all(r.counters.peer_reads >= 0 for r in fresh))
    waiting.until(lambda: not fresh[0].load_from_peers())
    assert [r.ready() for r in fresh] == [False, False]
    assert fresh[0].staleness_s() == math.inf
    cluster.log.set(outage=False)
    waiting.until(lambda: all(r.offset() == 1 for r in fresh))


def test_agent_does_not_return_to_an_earlier_offset(cluster):
    # Guards against a change in force that is reverted by a peer with an
    # older state, or by a log that was restored without its last records.
    start(cluster, ["a"])
    set_model(cluster)
    set_model(cluster, "second")
    reader = cluster.agents["a"].reader
    waiting.until(lambda: reader.offset() == 2)
    older = folds.Fold()
    older.offset = 1
    assert not reader.tree.replace(older)
    stream = cluster.log.stream(records.STREAM)
    with stream.changed:
        stream.records.clear()
        stream.next_offset = 1
    waiting.until(lambda: reader.counters.history_lost > 0)
    assert reader.offset() == 2
    assert reader.view().models.keys() == {"m", "second"}
    assert reader.log_age_s() >= 0


def test_new_agent_starts_from_a_snapshot_when_records_are_removed(cluster):
    # The log's retention removes the first changes.  A new instance must
    # read them from a snapshot and the others from the tail of the log.
    cluster.add(
        "a",
        options=dataclasses.replace(
            helpers.FAST,
            snapshots=dataclasses.replace(
                helpers.FAST.snapshots, every_records=2
            ),
        ),
    )
    for number in range(4):
        set_model(cluster, f"m{number}")
    first = cluster.agents["a"].reader
    waiting.until(
        lambda: (
            first.snapshotter.latest
            and first.snapshotter.latest.through >= 3
            and first.offset() == 4
        )
    )
    stream = cluster.log.stream(records.STREAM)
    with stream.changed:
        del stream.records[:3]
    cluster.remove("a")
    late = cluster.add("b").reader
    waiting.until(late.ready)
    assert late.offset() == 4
    assert len(late.view().models) == 4
    assert late.tree.fold.digest == first.tree.fold.digest


@pytest.mark.parametrize("damage", ["forged", "half-written"])
def test_incomplete_or_forged_snapshot_is_ignored(
    cluster, damage, monkeypatch
):
    # A writer fails between two chunks, or a writer with access to the log
    # alone forges a snapshot.
    set_model(cluster)
    fold = folds.Fold()
    fold.put("models/evil", 9, MODEL)
    fold.offset = 9
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 8)
    chunks = snapshots.make_chunks(fold)
    key = snapshots.derive_key(helpers.KEY)
    if damage == "half-written":
        chunks = chunks[:-1]
    else:
        key = b"guess"
    for chunk in chunks:
        cluster.client().append(
            snapshots.STREAM, snapshots.encode_chunk(chunk, key)
        )
    reader = cluster.add("a").reader
    waiting.until(reader.ready)
    assert reader.offset() == 1
    assert reader.view().models.keys() == {"m"}


def test_digest_mismatch_is_counted_and_the_local_fold_is_kept(cluster):
    # One instance has different keys of the teams in its settings, so it
    # rejects as forged a change that all others accept.  Operators must be
    # able to detect this.
    start(cluster, ["a", "b"])
    others = team_types.Teams(
        (team_types.Team("drafts", (b"other",), ("models",)),)
    )
    mismatched = cluster.agents["a"].reader
    mismatched.tree.teams = others
    set_model(cluster)
    wait_for_offset(cluster, 1)
    both = [agent.reader for agent in cluster.agents.values()]
    for one in both:
        waiting.until(
            lambda one=one: (
                [one.follow_peer(name, 0) for name in "ab"]
                and one.counters.digest_mismatches == 1
            )
        )
    assert mismatched.view().models.keys() == set()
    assert cluster.agents["b"].reader.view().models.keys() == {"m"}


def test_log_outage_alone_does_not_make_agents_stale(cluster):
    # During a long outage of the log nothing can be published, and agents
    # that reach one another must keep serving; an isolated agent must not.
    start(cluster, ["a", "b", "c"])
    cluster.log.set(outage=True)
    one = cluster.agents["a"].reader
    waiting.until(lambda: one.log_age_s() > 1.0)
    waiting.until(lambda: one.staleness_s() < 0.5)
    for name in "bc":
        cluster.remove(name)
    waiting.until(lambda: one.staleness_s() > 1.0)


def test_late_answer_does_not_prove_that_a_resumed_agent_is_current(cluster):
    # An agent is frozen during a query.  When it resumes, the answer in its
    # socket is old, so the age must count from the sending of the query.
    reader = cluster.add("a").reader
    waiting.until(reader.ready)
    reader.stopping.set()
    reader.thread.join()
    reader.proof_at = reader.peer_contact_at = -math.inf
    answer = messages.Records(
        True, reader.offset(), reader.tree.fold.digest, 0, True
    )
    sent_at = states.now_s() - 60
    reader.apply_reply(answer, sent_at, reader.offset())
    assert reader.staleness_s() >= 60


def test_peer_whose_heartbeat_carries_a_higher_offset_is_polled(cluster):
    # An agent's replica of the log lags and returns no new records, while
    # the heartbeat of another agent carries a higher offset.
    start(cluster, ["b"])
    with log_service.LogService() as lagging:
        late = cluster.add("a", lagging.address, EVERYONE).reader
        waiting.until(late.ready)
        offset = set_model(cluster)
        waiting.until(lambda: cluster.agents["b"].reader.offset() == offset)
        late.record_peer_offset("b", offset)
        waiting.until(lambda: late.offset() == offset)


def test_fold_does_not_skip_records_removed_by_retention(cluster):
    # An agent is disconnected for longer than the log's retention, and no
    # snapshot covers the records that it missed.  Skipping them would give
    # it a tree that differs from all others.
    agent = cluster.add("a", options=NO_SNAPSHOTS).reader
    set_model(cluster, "one")
    waiting.until(lambda: agent.offset() == 1)
    agent.client.address, address = "127.0.0.1:1", agent.client.address
    waiting.until(lambda: agent.log_age_s() > 0.5)
    set_model(cluster, "two")
    set_model(cluster, "three")
    stream = cluster.log.stream(records.STREAM)
    with stream.changed:
        del stream.records[:2]
    agent.client.address = address
    waiting.until(lambda: agent.counters.history_lost > 0)
    assert agent.view().models.keys() == {"one"}
    waiting.until(lambda: agent.staleness_s() > 1.0)
    fresh = cluster.add("b", options=NO_SNAPSHOTS).reader
    waiting.until(lambda: fresh.counters.history_lost > 0)
    assert fresh.offset() in (0, 1)


def test_duplicate_or_late_answer_has_no_effect(cluster):
    reader = cluster.add("a").reader
    data = []
    for name in ("one", "two"):
        set_model(cluster, name)
    waiting.until(lambda: reader.offset() == 2)
    data = list(reader.tree.recent)
    digest = reader.tree.fold.digest
    reader.tree.extend(1, data)
    reader.tree.extend(2, data[1:])
    reader.tree.extend(9, data)
    assert reader.tree.fold.digest == digest
    assert reader.offset() == 2


def test_agent_without_a_tree_returns_no_state(cluster):
    cluster.log.set(outage=True)
    empty_name = cluster.add("a").name
    reader = cluster.add("b").reader
    with pytest.raises(peers.PeerError):
        reader.peers.fetch_state(cluster.members()[empty_name])


def test_agent_alone_in_its_cell_starts_from_another_cell(cluster):
    # All agents of a small cell are replaced while the log is down, and only
    # agents of other cells hold the configuration.
    start(cluster, ["a"])
    set_model(cluster)
    wait_for_offset(cluster, 1)
    cluster.log.set(outage=True)
    other_members = cluster.members()
    cluster.other_cell_members = lambda: other_members
    remote = cluster.agents.pop("a")
    fresh = cluster.add("b").reader
    waiting.until(fresh.ready)
    assert fresh.offset() == 1
    remote.stop()


def test_frozen_reader_costs_each_follower_only_one_timeout(cluster):
    # One of the two agents that read the log is frozen but still listed as
    # live for some seconds.  Agents that poll it must switch to the other
    # one, or each change would reach them with the delay of a timeout.
    start(cluster)
    wait_for_offset(cluster, set_model(cluster, "first"))
    follower = cluster.agents[peers.ranked(NAMES)[-1]].reader
    frozen = follower.reading_peers()[0]
    cluster.agents[frozen].server.router.handlers[messages.FetchRecords] = (
        lambda *_: waiting.until(lambda: False, 5)
    )
    waiting.until(lambda: follower.reading_peers()[-1] == frozen)
