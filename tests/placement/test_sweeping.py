from __future__ import annotations

import dataclasses

import pytest

from briarseam.placement import fetch_leases
from briarseam.placement import kept
from briarseam.placement import salts
from briarseam.placement import store_index
from briarseam.placement import store_watch
from briarseam.placement import sweeping
from briarseam.routes import model
from tests import clocks

WAIT_S = fetch_leases.free_after_s()
CLOCK_MS = 5_000_000.0


class Client:
    def __init__(self):
        self.freed = []
        self.until_ms = []
        self.unreachable = False

    def free(self, address, epoch, parts, until_ms):
        if self.unreachable:
            raise store_watch.StoreUnavailableError("unreachable")
        self.freed.append((address, epoch, sorted(parts)))
        self.until_ms.append(until_ms)


class Case:
    def __init__(self):
        self.clock = clocks.ManualClock()
        self.client = Client()
        self.named = {"m": 1}
        self.readings = 1
        self.is_readable = True
        self.members = ["local"]
        self.superseded = set()
        self.index = kept.KeptIndex(self.clock)
        self.index.set_stores(
            [model.StoreTraits("s", "a", 1000, 1.0, 0.0, True)]
        )
        content = (
            store_index.PartEvent("m/1/", "old", 100),
            store_index.PartEvent("m/2/", "new", 100),
            store_index.PartEvent("foreign", "other", 100),
        )
        self.apply_content(*content)
        self.sweeper = sweeping.Sweeper(
            self.client,
            self.index,
            sweeping.Sources(
                named=lambda: self.named,
                readings=lambda: self.readings,
                confirm=self.confirm,
                is_superseded=lambda scope: scope in self.superseded,
            ),
            "local",
            lambda: self.members,
            self.clock,
        )

    def confirm(self):
        return self.clock() if self.is_readable else None

    def apply_content(self, *parts):
        shown_ms = CLOCK_MS + self.clock() * 1000
        content = store_index.Content(4, 0, parts, clock_ms=shown_ms)
        self.index.apply_content("s", content)

    def pass_time(self, seconds):
        self.clock.now_s += seconds
        self.sweeper.review()


@pytest.fixture
def case():
    made = Case()
    made.sweeper.review()
    return made


def test_parts_are_kept_while_no_newer_weights_are_named(case):
    for _ in range(3):
        case.pass_time(WAIT_S)
    assert case.client.freed == []


def test_parts_of_replaced_weights_are_freed_after_all_fetches(case):
    """Guards against freeing parts while they are being fetched.

    The engine would read data that another request has written in their
    place.
    """
    case.named = {"m": 2}
    case.sweeper.review()
    case.pass_time(WAIT_S - 0.1)
    assert case.client.freed == []
    case.pass_time(0.2)
    assert case.client.freed == [("s", 4, [("m/1/", "old")])]


def test_weights_in_series_do_not_delay_what_the_first_replaced(case):
    for version in range(2, 12):
        case.named = {"m": version}
        case.sweeper.review()
        case.pass_time(WAIT_S / 10)
    case.pass_time(0.1)
    assert case.client.freed == [("s", 4, [("m/1/", "old")])]


def test_weights_that_the_store_forgets_restart_the_delay(case):
    """Guards against an instance that starts beside a restored store.

    It takes the older weights for the newest until the newer ones are named
    again.
    """
    case.named = {"m": 2}
    case.sweeper.review()
    case.pass_time(WAIT_S - 0.1)
    case.named = {"m": 1}
    case.pass_time(0.1)
    case.named = {"m": 2}
    case.sweeper.review()
    case.pass_time(WAIT_S - 0.1)
    assert case.client.freed == []


@pytest.mark.parametrize("parts", ["weights", "group"])
def test_delay_restarts_when_the_store_is_read_anew(case, parts):
    """Guards against an instance that misses that the store was restored.

    Others have read older weights and configurations before these were named
    again.
    """
    if parts == "weights":
        case.named = {"m": 2}
    else:
        case.superseded = {salts.EVERYBODY}
    case.sweeper.review()
    wait_s = WAIT_S if parts == "weights" else WAIT_S
    case.pass_time(wait_s - 0.1)
    case.readings += 1
    case.pass_time(0.2)
    case.pass_time(wait_s - 0.1)
    assert case.client.freed == []
    case.pass_time(0.2)
    assert len(case.client.freed) == 1


@pytest.mark.parametrize("named", [{}, {"other": 9}])
def test_parts_of_models_without_named_weights_are_kept(case, named):
    case.named = named
    case.sweeper.review()
    case.pass_time(WAIT_S)
    assert case.client.freed == []


@pytest.mark.parametrize("parts", ["weights", "group"])
def test_nothing_is_freed_on_outdated_knowledge(case, parts):
    """Guards against an instance that goes on after a suspension."""
    if parts == "weights":
        case.named = {"m": 2}
    else:
        case.superseded = {salts.EVERYBODY}
    case.sweeper.review()
    case.is_readable = False
    case.pass_time(2 * WAIT_S)
    assert case.client.freed == []
    case.is_readable = True
    case.sweeper.review()
    assert len(case.client.freed) == 1


def test_changes_that_come_with_the_confirmation_count(case):
    """Guards against freeing what a change makes useful again."""
    case.superseded = {salts.EVERYBODY}
    case.sweeper.review()

    def confirm():
        case.superseded = set()
        return case.clock()

    case.sweeper.sources = dataclasses.replace(
        case.sweeper.sources, confirm=confirm
    )
    case.pass_time(WAIT_S + 0.1)
    assert case.client.freed == []


def test_nothing_is_confirmed_while_there_is_nothing_to_free(case):
    """Guards against calls to the store at each review."""
    confirms = []
    case.sweeper.sources = dataclasses.replace(
        case.sweeper.sources, confirm=lambda: confirms.append(1)
    )
    case.pass_time(2 * WAIT_S)
    assert confirms == []


def test_store_is_told_until_when_the_call_holds(case):
    """Guards against a call that is carried out late."""
    case.named = {"m": 2}
    case.sweeper.review()
    case.pass_time(WAIT_S)
    limit_s = sweeping.MAX_DELAY_S
    shown_ms = CLOCK_MS + case.clock() * 1000
    assert case.client.until_ms == [pytest.approx(shown_ms + limit_s * 1000)]
    assert limit_s < fetch_leases.START_WAIT_S


def test_nothing_is_freed_while_the_clock_of_stores_is_unknown(case):
    case.index.endpoint_clocks.keep_only([])
    case.named = {"m": 2}
    case.sweeper.review()
    case.pass_time(WAIT_S)
    assert case.client.freed == []


def test_part_is_freed_once_though_its_removal_is_not_told(case):
    """Guards against a free that meets a later save of the same part."""
    case.named = {"m": 2}
    case.sweeper.review()
    case.pass_time(WAIT_S)
    case.pass_time(sweeping.REVIEW_S)
    assert len(case.client.freed) == 1


def test_part_that_may_not_have_been_freed_is_freed_again(case):
    case.named = {"m": 2}
    case.sweeper.review()
    case.client.unreachable = True
    case.pass_time(WAIT_S)
    case.client.unreachable = False
    case.pass_time(sweeping.REVIEW_S)
    assert case.client.freed == [("s", 4, [("m/1/", "old")])]


def test_parts_of_a_former_group_are_freed_after_all_fetches(case):
    """Guards against a store that fills up with what nobody can use."""
    case.superseded = {salts.EVERYBODY}
    case.sweeper.review()
    case.pass_time(WAIT_S - 0.1)
    assert case.client.freed == []
    case.pass_time(0.2)
    freed = [("m/1/", "old"), ("m/2/", "new")]
    assert case.client.freed == [("s", 4, freed)]


def test_group_that_is_used_again_restarts_the_delay(case):
    case.superseded = {salts.EVERYBODY}
    case.sweeper.review()
    case.pass_time(WAIT_S - 0.1)
    case.superseded = set()
    case.sweeper.review()
    case.superseded = {salts.EVERYBODY}
    case.pass_time(0.2)
    assert case.client.freed == []


def test_late_save_of_a_former_group_is_freed(case):
    """Guards against a part that is saved after its group was swept."""
    case.superseded = {salts.EVERYBODY}
    case.sweeper.review()
    case.pass_time(WAIT_S + 0.1)
    case.apply_content(store_index.PartEvent("m/2/", "late", 100))
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
