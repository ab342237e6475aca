from __future__ import annotations

import pytest

from briarseam.placement import kept
from briarseam.placement import salts
from briarseam.placement import store_index
from briarseam.placement import store_watch
from briarseam.placement import sweeping
from briarseam.routes import model
from tests import clocks


class Client:
    def __init__(self):
        self.freed = []
        self.unreachable = False

    def free(self, address, epoch, parts):
        if self.unreachable:
            raise store_watch.StoreUnavailableError("unreachable")
        self.freed.append((address, epoch, sorted(parts)))


class Case:
    def __init__(self):
        self.clock = clocks.ManualClock()
        self.client = Client()
        self.oldest = 1
        self.members = ["local"]
        self.superseded = set()
        index = kept.KeptIndex(self.clock)
        index.set_stores([model.StoreTraits("s", "a", 1000, 1.0, 0.0, True)])
        content = (
            store_index.PartEvent("m/1/", "old", 100),
            store_index.PartEvent("m/2/", "new", 100),
            store_index.PartEvent("foreign", "other", 100),
        )
        index.apply_content("s", store_index.Content(4, 0, content))
        self.sweeper = sweeping.Sweeper(
            self.client,
            index,
            lambda model: self.oldest,
            "local",
            lambda: self.members,
            self.clock,
            lambda scope: scope in self.superseded,
        )


@pytest.fixture
def case():
    return Case()


def test_parts_are_kept_while_an_engine_may_have_their_weights(case):
    for _ in range(3):
        case.sweeper.review()
        case.clock.now_s += sweeping.GRACE_S
    assert case.client.freed == []


def test_parts_of_unused_weights_are_freed_after_a_delay(case):
    """Guards against freeing parts while they are being fetched.

    The engine would read data that another request has written in their
    place.
    """
    case.oldest = 2
    case.sweeper.review()
    assert case.client.freed == []
    case.clock.now_s += sweeping.GRACE_S
    case.sweeper.review()
    assert case.client.freed == [("s", 4, [("m/1/", "old")])]


def test_returning_engine_with_old_weights_restarts_the_delay(case):
    case.oldest = 2
    case.sweeper.review()
    case.clock.now_s += sweeping.GRACE_S - 0.1
    case.oldest = 1
    case.sweeper.review()
    case.oldest = 2
    case.clock.now_s += 0.2
    case.sweeper.review()
    assert case.client.freed == []


def test_nothing_is_freed_while_engines_are_unknown(case):
    case.oldest = None
    case.sweeper.review()
    case.clock.now_s += sweeping.GRACE_S
    case.sweeper.review()
    assert case.client.freed == []


def test_parts_of_a_former_group_are_freed_after_a_delay(case):
    """Guards against a store that fills up with what nobody can use."""
    case.superseded = {salts.EVERYBODY}
    case.sweeper.review()
    case.clock.now_s += sweeping.GROUP_GRACE_S - 0.1
    case.sweeper.review()
    assert case.client.freed == []
    case.clock.now_s += 0.2
    case.sweeper.review()
    freed = [("m/1/", "old"), ("m/2/", "new")]
    assert case.client.freed == [("s", 4, freed)]


def test_group_that_is_used_again_restarts_the_delay(case):
    case.superseded = {salts.EVERYBODY}
    case.sweeper.review()
    case.clock.now_s += sweeping.GROUP_GRACE_S - 0.1
    case.superseded = set()
    case.sweeper.review()
    case.superseded = {salts.EVERYBODY}
    case.clock.now_s += 0.2
    case.sweeper.review()
    assert case.client.freed == []


def test_late_save_of_a_former_group_is_freed(case):
    """Guards against a part that is saved after its group was swept."""
    case.superseded = {salts.EVERYBODY}
    case.sweeper.review()
    case.clock.now_s += sweeping.GROUP_GRACE_S
    case.sweeper.review()
    late = store_index.PartEvent("m/2/", "late", 100)
    content = store_index.Content(4, 0, (late,))
    case.sweeper.index.apply_content("s", content)
    case.sweeper.review()
    assert case.client.freed[-1] == ("s", 4, [("m/2/", "late")])


def test_store_is_owned_by_exactly_one_instance(case):
    case.members = [f"i{number}" for number in range(20)]
    assert not case.sweeper.owns("s")
    case.members.append("local")
    owners = []
    for name in case.members:
        case.sweeper.local_name = name
        owners.append(case.sweeper.owns("s"))
    assert sum(owners) == 1
