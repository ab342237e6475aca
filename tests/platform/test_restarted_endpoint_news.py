"""News of an endpoint's starts: late, without a birth, or its end."""

from __future__ import annotations

import pytest

from briarseam.feeds import records
from briarseam.weights import orders
from tests.platform import restarted_engine as restarted
from tests.platform import system as systems


@pytest.fixture
def case(cold_system):
    return restarted.Case(cold_system)


# News of an earlier start, by the way that it takes.


def late_entry(case):
    case.registry.apply_changes(
        [case.entry(born=restarted.OLD_BORN, address="1.2.3.4:5")]
    )


def late_newest_entries(case):
    case.registry.apply_all(
        [case.entry(born=restarted.OLD_BORN, address="1.2.3.4:5")]
    )


def late_report(case):
    case.worker.restart(restarted.OLD_BORN)
    client = case.node.weights.rollout.sources.engines
    with pytest.raises(orders.EngineUnavailableError):
        client.report(case.worker.address, restarted.NEW)


def late_peer(case):
    case.node.restarts.consume(
        "peer", restarted.packed((restarted.NAME, restarted.OLD_BORN))
    )


@pytest.mark.parametrize(
    "late", [late_entry, late_newest_entries, late_report, late_peer]
)
@pytest.mark.parametrize("way", restarted.WAYS)
def test_news_of_an_earlier_start_changes_nothing(case, way, late):
    """An engine writes its entry and dies; the store takes the entry in
    seconds later, after that of the next start.

    Taken in, it would bring the dead start back, at its former address and
    with its weights, and all that is known of the living one would go.
    """
    restarted.restart(case, way)
    known = case.registry.all()
    for thing in restarted.LASTING:
        restarted.THINGS[thing].note(case.node, restarted.NEW, case)
    late(case)
    assert case.registry.all() == known
    assert [endpoint.versions for endpoint in case.registry.all()] == [
        endpoint.versions for endpoint in known
    ]
    for thing in restarted.LASTING:
        assert restarted.THINGS[thing].knows(case.node, restarted.NEW)


def test_late_entry_does_not_bring_a_start_back_that_another_followed(case):
    """The engine starts again and leaves; then the store takes in what its
    first start had written.
    """
    restarted.restart(case, "entry")
    case.registry.apply_changes([records.KeyedRecord(restarted.NAME, None)])
    case.registry.apply_changes([case.entry(born=restarted.OLD_BORN)])
    assert case.registry.all() == []


@pytest.mark.parametrize("way", ["report", "peer"])
def test_weights_of_a_start_are_unknown_until_it_tells_them(case, way):
    """A report shows that an engine has started again; its own entry comes
    a second later.  With the weights that its entry before named, prompts
    would be read under others than they name.
    """
    restarted.restart(case, way)
    (endpoint,) = case.registry.all()
    assert endpoint.versions == {systems.MODEL: 0}
    case.registry.apply_changes([case.entry()])
    (endpoint,) = case.registry.all()
    assert endpoint.versions == {systems.MODEL: 1}


@pytest.mark.parametrize("way", ["report", "peer"])
def test_end_of_the_entry_before_does_not_end_the_new_start(case, way):
    """An engine dies, starts again, and answers a call before its entry is
    written; only then the store drops the entry of the start before.

    Taken to be gone, it would get no work though it is there, and what it
    has told of itself would be forgotten.
    """
    restarted.restart(case, way)
    case.node.weights.known_weights.record_version(
        restarted.NEW, systems.MODEL, 7
    )
    case.registry.apply_changes([records.KeyedRecord(restarted.NAME, None)])
    assert case.id() == restarted.NEW
    assert restarted.knows_weights(case.node, restarted.NEW)


@pytest.mark.parametrize("way", restarted.WAYS)
def test_end_of_its_own_entry_ends_the_new_start(case, way):
    restarted.restart(case, way)
    case.registry.hold_lapsed_until_s = 0.0
    case.node.weights.known_weights.record_version(
        restarted.NEW, systems.MODEL, 7
    )
    case.registry.apply_changes([case.entry()])
    case.registry.apply_changes([records.KeyedRecord(restarted.NAME, None)])
    assert case.registry.serving("engines") == []
    assert not restarted.knows_weights(case.node, restarted.NEW)


@pytest.mark.parametrize("way", restarted.WAYS)
def test_entry_that_cannot_be_read_ends_the_new_start(case, way):
    """Another writer overwrites the engine's entry just after its restart.

    The entry names no endpoint any more, so nothing is known of one.
    """
    restarted.restart(case, way)
    case.node.weights.known_weights.record_version(
        restarted.NEW, systems.MODEL, 7
    )
    case.registry.apply_changes([records.KeyedRecord(restarted.NAME, b"{")])
    assert case.registry.serving("engines") == []
    assert not restarted.knows_weights(case.node, restarted.NEW)


def test_entry_without_a_time_of_birth_is_no_restart(case):
    """An entry comes from a writer that does not know of births.

    What it says holds of the start that is there, and what is known of
    that stays known.
    """
    case.node.weights.known_weights.record_version(
        restarted.OLD, systems.MODEL, 7
    )
    case.worker.born = None
    case.registry.apply_changes([case.entry(zone="hall-b")])
    assert case.id() == restarted.OLD
    assert case.registry.all()[0].zone == "hall-b"
    assert restarted.knows_weights(case.node, restarted.OLD)


def test_report_without_a_time_of_birth_is_taken(case):
    case.worker.born = None
    client = case.node.weights.rollout.sources.engines
    report = client.report(case.worker.address, restarted.OLD)
    assert report.versions == {systems.MODEL: 1}
    assert case.id() == restarted.OLD
