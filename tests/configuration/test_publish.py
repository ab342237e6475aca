from __future__ import annotations

import pytest
from tests.configuration import helpers

from briarseam.configuration import fold as folds
from briarseam.configuration import publish
from briarseam.testing import waiting


def test_of_two_racing_operators_one_is_told_what_won(cluster):
    first = cluster.publisher()
    second = cluster.publisher()
    assert first.apply(helpers.change({"models/a": {"version": "1"}})) == (
        folds.Accepted(1)
    )
    assert second.apply(helpers.change({"models/a": {"version": "2"}})) == (
        folds.Rejected(2, folds.RejectReason.CONFLICT, "models/a", 1)
    )


def test_an_append_whose_answer_is_lost_is_settled_by_reading(cluster):
    # The operator's change takes effect but the log's answer never comes.
    # Sent again blindly it would stand in the log twice.
    cluster.log.set(lose_answers=1)
    outcome = cluster.publisher().apply(helpers.change({"models/a": {}}))
    assert outcome == folds.Accepted(1)
    assert cluster.log.stream("configuration").next_offset == 2


def test_an_append_that_never_arrives_is_made_void(cluster, monkeypatch):
    # The request is lost on its way: nothing shows in the log.  Should it
    # arrive after the operator was told "not applied", it must do nothing.
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
def test_a_change_while_the_log_is_down_is_never_called_accepted(
    cluster, down
):
    publisher = cluster.publisher(settle_s=0.6, void_after_s=0.2)
    if down == "gone":
        cluster.log.stop()
    else:
        cluster.log.set(outage=True)
    outcome = publisher.apply(helpers.change({"models/a": {}}))
    kind = publish.NotAppended if down == "gone" else publish.Unknown
    assert isinstance(outcome, kind)


def test_an_accepted_change_is_told_so_whatever_its_values_are(cluster):
    # A declared list came back from the log in another Python type than it
    # had before.  The operator read "not applied" for a change in force.
    change = helpers.change({"models/a": {"names": ("x", "y")}})
    assert cluster.publisher().apply(change) == folds.Accepted(1)
