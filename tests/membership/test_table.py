from __future__ import annotations

from briarseam.backing import instances
from briarseam.membership import state
from briarseam.membership import table as tables
from tests import clocks


def test_cell_of_known_peer_follows_configuration():
    """A growing region is divided into cells.

    A peer known before must not keep its former cell's name: it would be
    sent its own cell's load as that of another cell.
    """
    cells = {"a": "north", "b": "north"}
    table = tables.Table(
        state.LocalAgent("a", "north", "127.0.0.1:1"),
        lambda name, zone: cells[name],
        1.6,
        clocks.ManualClock(),
    )
    listed = [instances.Instance("b", "agent", "127.0.0.1:2", "north")]
    table.apply_listing(listed)
    cells.update(a="north/east/0", b="north/east/0")
    table.apply_listing(listed)
    assert table.records["b"].cell == "north/east/0"
