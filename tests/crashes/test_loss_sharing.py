from __future__ import annotations

import pytest

from briarseam.crashes import loss_counts
from briarseam.crashes import loss_keys
from briarseam.crashes import loss_sharing
from briarseam.testing import waiting
from briarseam.wire import replies

AT_S = 1e9
DIGEST = loss_keys.key_of_request("/draft/x", "north", b"body")


class Cells:
    """Other cells, by the address of one instance of each."""

    def __init__(self, sharing):
        self.sharing = sharing
        self.unreachable = set()

    def addresses(self):
        return list(self.sharing)

    def send_losses(self, address, message):
        if address in self.unreachable:
            raise replies.NoReplyError("unreachable")
        self.sharing[address].handle(message)


@pytest.fixture
def others():
    """Two instances of other cells."""
    return {
        address: loss_sharing.LossSharing(loss_counts.LossCounts(), Cells({}))
        for address in ("10.0.0.2:1", "10.0.0.3:1")
    }


@pytest.fixture
def cells(others):
    return Cells(others)


@pytest.fixture
def counts(cells):
    local_counts = loss_counts.LossCounts()
    sharing = loss_sharing.LossSharing(local_counts, cells)
    local_counts.on_lost = sharing.add
    sharing.start()
    yield local_counts
    sharing.stop()
    sharing.thread.join(5.0)


def is_refused(sharing):
    return sharing.counts.suspects((DIGEST,)) == (DIGEST,)


def test_request_lost_in_one_cell_is_refused_in_all(counts, others):
    """A request that crashed three engines is repeated at instances of other
    cells, where it would crash three more for each cell.
    """
    for endpoint in ("e1", "e2", "e3"):
        counts.record_loss(DIGEST, endpoint, AT_S)
    for sharing in others.values():
        waiting.until(lambda other=sharing: is_refused(other))


def test_loss_is_published_within_the_other_cell(counts, others):
    counts.record_loss(DIGEST, "e1", AT_S)
    other_counts = others["10.0.0.2:1"].counts
    waiting.until(lambda: DIGEST in other_counts.local)
    peer = loss_counts.LossCounts()
    peer.consume("instance-2", other_counts.provide())
    peer.record_loss(DIGEST, "e2", AT_S)
    peer.record_loss(DIGEST, "e3", AT_S)
    assert peer.suspects((DIGEST,)) == (DIGEST,)


def test_unreachable_cell_does_not_keep_losses_from_others(
    counts, others, cells
):
    cells.unreachable.add("10.0.0.2:1")
    for endpoint in ("e1", "e2", "e3"):
        counts.record_loss(DIGEST, endpoint, AT_S)
    waiting.until(lambda: is_refused(others["10.0.0.3:1"]))
    assert not is_refused(others["10.0.0.2:1"])


def test_losses_beyond_the_limit_are_dropped(others, cells):
    sharing = loss_sharing.LossSharing(loss_counts.LossCounts(), cells)
    for number in range(loss_sharing.MAX_PENDING + 5):
        sharing.add(DIGEST, f"e{number}")
    assert sharing.pending.qsize() == loss_sharing.MAX_PENDING


def test_part_lost_in_one_cell_is_suspected_in_all():
    """Guards against a part that crashes three endpoints for each cell."""
    other = loss_sharing.LossSharing(loss_counts.LossCounts(), Cells({}))
    sharing = loss_sharing.LossSharing(
        loss_counts.LossCounts(),
        Cells({"10.0.0.2:1": other}),
    )
    sharing.counts.on_lost = sharing.add
    sharing.start()
    try:
        for endpoint in ("e1", "e2", "e3"):
            sharing.counts.record_loss(b"part", endpoint, 1e9)
        waiting.until(lambda: other.counts.suspects((b"part",)))
    finally:
        sharing.stop()
