from __future__ import annotations

import pytest

from briarseam.backing import instances
from briarseam.membership import listing
from briarseam.testing import instance_list
from tests.membership import nodes as helpers


def test_reads_stay_within_the_budget() -> None:
    """Agents read a list of thousands of rows less often, so that the reads
    stay within their budget.
    """
    reader = listing.ListReader(
        helpers.FakeInstanceList(), 2.0, bytes_per_s=1000
    )
    for size, pause_s in ((100, 2.0), (60_000, 60.0)):
        low, high = 1 - listing.JITTER, 1 + listing.JITTER
        assert low * pause_s <= reader.pause_s(size) <= high * pause_s


def test_last_rows_are_kept_in_an_outage() -> None:
    """While the list is unavailable, the rows of the last read are used."""
    source = helpers.FakeInstanceList()
    source.put("a", "127.0.0.1:1")
    reader = listing.ListReader(source)
    reader.read_once()
    source.available = False
    reader.read_once()
    assert [row.name for row in reader.rows] == ["a"]
    assert not reader.available


def test_adapter_reads_list_over_http() -> None:
    """The adapter returns a leaving agent; in an outage it raises an error
    instead of returning an empty list.
    """
    service = instance_list.InstanceList()
    service.start()
    try:
        service.put(
            "a",
            instance_list.Registration(
                "agent", "127.0.0.1:1", "rumoi", "leaving"
            ),
        )
        adapter = instances.InstanceList(str(service.address))
        (row,) = adapter.read().instances
        assert row.state is instances.ListedState.LEAVING
    finally:
        service.stop()
    with pytest.raises(instances.InstanceListUnavailableError):
        adapter.read()
