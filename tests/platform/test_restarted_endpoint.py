"""An endpoint that starts again under its name is another one.

What is remembered of an endpoint (`THINGS`) by the way in which its restart
shows first (`WAYS`), in an instance that is wired as it serves.
"""

from __future__ import annotations

import pytest

from briarseam.discovery import starts
from tests.platform import restarted_engine as restarted


@pytest.fixture
def case(cold_system):
    return restarted.Case(cold_system)


@pytest.mark.parametrize("way", restarted.WAYS)
@pytest.mark.parametrize("thing", restarted.THINGS)
def test_new_start_is_known_for_nothing_of_the_one_before(case, thing, way):
    """An engine crashes and is back under its name within a second.

    Its entry never went missing.  Prompts go where nothing of them is held
    any more, and weights that it lost count as in place for good, since
    what was known by its name is still taken to be so.
    """
    about = restarted.THINGS[thing]
    about.note(case.node, restarted.OLD, case)
    assert case.id() == restarted.OLD
    restarted.restart(case, way)
    assert not about.knows(case.node, case.id())


@pytest.mark.parametrize("way", restarted.WAYS)
@pytest.mark.parametrize("thing", restarted.LASTING)
def test_nothing_stays_behind_of_a_start_that_is_over(case, thing, way):
    about = restarted.THINGS[thing]
    about.note(case.node, restarted.OLD, case)
    restarted.restart(case, way)
    assert not about.knows(case.node, restarted.OLD)


@pytest.mark.parametrize("thing", restarted.THINGS)
def test_word_of_an_earlier_start_that_comes_late_changes_nothing(case, thing):
    """A peer that has not heard of the restart yet tells what it knows, or
    an answer of the engine was still on its way when it died.
    """
    restarted.restart(case, "entry")
    about = restarted.THINGS[thing]
    about.note(case.node, restarted.OLD, case)
    assert not about.knows(case.node, case.id())


@pytest.mark.parametrize("thing", restarted.LASTING)
def test_late_word_of_an_earlier_start_is_not_kept_for_good(case, thing):
    """Engines restart all day, and an answer on its way is noted each
    time.  An instance that lives for weeks would run out of memory.
    """
    restarted.restart(case, "entry")
    about = restarted.THINGS[thing]
    about.note(case.node, restarted.OLD, case)
    case.node.keep_only_endpoints(case.registry.ids())
    assert not about.knows(case.node, restarted.OLD)


@pytest.mark.parametrize("thing", restarted.LASTING)
def test_what_is_known_of_the_present_start_stays(case, thing):
    restarted.restart(case, "entry")
    about = restarted.THINGS[thing]
    about.note(case.node, restarted.NEW, case)
    case.node.keep_only_endpoints(case.registry.ids())
    case.registry.apply_changes([case.entry()])
    assert about.knows(case.node, case.id())


def test_request_lost_with_each_start_of_an_endpoint_is_refused(case):
    """A request crashes an engine, which is back under its name after some
    seconds; its caller sends it again.  Counted by names it would be lost
    once, and take the engine down for as long as it is sent.
    """
    guard = case.node.guard
    for born_ms in (1, 2, 3):
        assert not guard.is_refused(b"digest")
        guard.record_loss(b"digest", starts.Start(restarted.NAME, born_ms).id)
    assert guard.is_refused(b"digest")
