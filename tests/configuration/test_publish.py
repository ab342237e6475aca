from __future__ import annotations

import pytest
from tests.configuration import helpers

from briarseam.configuration import fold as folds
from briarseam.configuration import publish
from briarseam.testing import waiting


def test_conflicting_change_is_rejected_with_the_winning_revision(cluster):
    first = cluster.publisher()
    second = cluster.publisher()
    assert first.apply(helpers.change({"models/a": {"version": "1"}})) == (
        folds.Accepted(1)
    )
    assert second.apply(helpers.change({"models/a": {"version": "2"}})) == (
        folds.Rejected(2, folds.RejectReason.CONFLICT, "models/a", 1)
    )


def test_append_whose_answer_is_lost_is_settled_by_reading_the_log(cluster):
    # Guards against a second record of a change that took effect although
    # the log's answer was lost.
    cluster.log.set(lose_answers=1)
    outcome = cluster.publisher().apply(helpers.change({"models/a": {}}))
    assert outcome == folds.Accepted(1)
    assert cluster.log.stream("configuration").next_offset == 2


def test_append_that_does_not_arrive_is_voided(cluster, monkeypatch):
    # The request does not reach the log.  If it arrives after the operator
    # received "not applied", it must have no effect.
    publisher = cluster.publisher(void_after_s=0.1)
    lost = []
    append = publisher.client.append

    def lose_first(stream, data):
        if lost:
            return append(stream, data)
        lost.append(data)
        return publish.logs.AppendUnknown("timed out")

    monkeypatch.setattr(publisher.client, "append", lose_first)
    outcome = publisher.apply(helpers.change({"models/a": {}}))
    assert isinstance(outcome, publish.NotAppended)
    append("configuration", lost[0])
    agent = cluster.add("a")
    waiting.until(lambda: agent.reader.offset() == 2)
    assert agent.reader.tree.fold.entries == {}


@pytest.mark.parametrize("down", ["outage", "gone"])
def test_change_is_not_accepted_while_the_log_is_down(cluster, down):
    publisher = cluster.publisher(settle_s=0.6, void_after_s=0.2)
    if down == "gone":
        cluster.log.stop()
    else:
        cluster.log.set(outage=True)
    outcome = publisher.apply(helpers.change({"models/a": {}}))
    kind = publish.NotAppended if down == "gone" else publish.Unknown
    assert isinstance(outcome, kind)


def test_accepted_change_is_reported_regardless_of_value_types(cluster):
    # Guards against "not applied" for a change in force: a declared sequence
    # is read back from the log with a different Python type.
    change = helpers.change({"models/a": {"names": ("x", "y")}})
    assert cluster.publisher().apply(change) == folds.Accepted(1)
