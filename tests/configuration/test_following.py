from __future__ import annotations

import pytest

from briarseam.backing import instances
from briarseam.configuration import following

LIST = (
    instances.Instance("a", "agent", "127.0.0.1:1", "one"),
    instances.Instance("b", "agent", "127.0.0.1:2", "two"),
    instances.Instance("entry-a", "entry", "127.0.0.1:3", "one"),
    instances.Instance("entry-b", "entry", "127.0.0.1:4", "two"),
    instances.Instance(
        "gone",
        "agent",
        "127.0.0.1:5",
        "two",
        instances.ListedState.LEAVING,
    ),
)


class InstanceSource:
    def __init__(self, rows):
        self.rows = rows

    def read(self):
        if self.rows is None:
            raise instances.InstanceListUnavailableError("unavailable")
        return instances.Listing(self.rows, 0)


@pytest.fixture
def tracker(monkeypatch):
    """A tracker whose entries report one cell each or are unreachable."""
    cells = {
        "127.0.0.1:3": following.AgentStatus("a", 7, "alive", 0.0),
        "127.0.0.1:4": following.AgentStatus("b", 6, "alive", 0.0),
    }

    def fetch_status(self, address):
        if address not in cells:
            raise following.StatusUnavailableError(address)
        return following.Status((cells[address],))

    monkeypatch.setattr(
        following.PropagationTracker, "fetch_status", fetch_status
    )

    def make(rows=LIST):
        return following.PropagationTracker(
            ["127.0.0.1:3"], InstanceSource(rows), "token"
        )

    make.cells = cells
    return make


def test_agents_of_other_cells_are_tracked(tracker):
    # Guards against a report that a change is in force everywhere when only
    # one zone was covered: an entry reports its own cell only.
    propagation = tracker().follow(7, timeout_s=0)
    assert propagation.reached == ("a",)
    assert [agent.name for agent in propagation.stragglers] == ["b"]
    assert not propagation.done()
    assert tracker().follow(6, timeout_s=0).done()


def test_listed_agent_that_no_entry_reports_is_unseen(tracker):
    del tracker.cells["127.0.0.1:4"]
    propagation = tracker().follow(7, timeout_s=0)
    assert propagation.unseen == ("b",)
    assert not propagation.done()


@pytest.mark.parametrize("rows", [None, ()], ids=["unavailable", "empty"])
def test_only_the_cells_of_the_entries_are_covered_without_instance_list(
    tracker, rows
):
    propagation = tracker(rows).follow(7, timeout_s=0)
    assert propagation.reached == ("a",)
    assert not propagation.listed
