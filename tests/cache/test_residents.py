from __future__ import annotations

import pytest

from briarseam.cache import residents
from briarseam.cache import state
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_events
from briarseam.testing import engine as engines
from briarseam.testing import engine_cache
from tests import clocks


@pytest.fixture
def engine():
    with engines.Engine(models={"draft": "v1"}) as started:
        yield started


@pytest.fixture
def clock():
    return clocks.ManualClock()


class Known:
    """A sink that records the reported prefixes."""

    def __init__(self):
        self.prefixes = set()

    def added(self, endpoint, prefix):
        self.prefixes.add(prefix)

    def removed(self, endpoint, prefix):
        self.prefixes.discard(prefix)

    def forget(self, endpoint):
        self.prefixes.clear()

    def have(self, model, version, digests):
        return sum(
            engine_events.Prefix(model, version, digest) in self.prefixes
            for digest in digests
        )


@pytest.fixture
def known():
    return Known()


@pytest.fixture
def follower(engine, clock, known):
    made = residents.EngineCacheFollower(
        "engine-0",
        engine.address,
        engine_events.EventClient(),
        known,
        state.NoMetrics(),
        clock,
    )
    made.read()
    return made


def digests(count, start=0):
    return [bytes([start + number]) * 16 for number in range(count)]


def hold(engine, names):
    engine.cache.add(
        [engine_cache.Prefix("draft", "v1", name) for name in names]
    )


def test_events_report_prefixes_of_engine(engine, follower, known):
    """A run leaves two prefixes in the engine, and a third follows."""
    hold(engine, digests(2))
    follower.read()
    assert known.have("draft", "v1", digests(3)) == 2

    hold(engine, digests(3))
    follower.read()

    assert known.have("draft", "v1", digests(3)) == 3
    assert known.have("draft", "v2", digests(3)) == 0


def test_gap_in_event_numbers_reveals_lost_removal(
    engine, follower, clock, known
):
    """An engine evicts a prefix, and the event is lost.

    If the prefix were assumed to be present, each run that is sent there
    would recompute it, though it could be imported.
    """
    hold(engine, digests(2))
    follower.read()
    clock.now_s += residents.RELOAD_MIN_S
    engine.set(event_loss=1.0)
    engine.cache.drop_version("draft", "v1")

    follower.read()

    assert known.have("draft", "v1", digests(2)) == 0


def test_prefixes_are_discarded_from_gap_until_reload(
    engine, follower, clock, known
):
    """Gaps occur more often than an engine may be listed.

    No prefix is assumed to be present until the next listing.
    """
    hold(engine, digests(2))
    follower.read()
    engine.set(event_loss=1.0)
    hold(engine, digests(1, start=9))
    follower.read()
    assert known.have("draft", "v1", digests(2)) == 0

    clock.now_s += residents.RELOAD_MIN_S
    follower.read()

    assert known.have("draft", "v1", digests(2)) == 2


def test_restarted_engine_has_no_prefixes(engine, follower, known):
    """An engine crashes and restarts with an empty cache."""
    hold(engine, digests(2))
    follower.read()
    engine.cache.boot_id = "another"
    engine.cache.drop_version("draft", "v1")

    follower.read()

    assert known.have("draft", "v1", digests(2)) == 0


def test_engines_of_local_zone_are_followed_first(known):
    """There are too many engines to run a thread for each."""
    endpoints = {
        f"engine-{number}": values.Endpoint(
            kind=values.EndpointKind.ENGINE,
            address="127.0.0.1:1",
            zone="ours" if number % 50 == 0 else "other",
        )
        for number in range(1000)
    }
    view = schema.View(offset=1, endpoints=endpoints)
    following = residents.EngineCacheFollowers(
        lambda: view, known, state.NoMetrics(), "ours"
    )

    followed = following.followed_engines()

    assert len(followed) == residents.MAX_FOLLOWED
    ours = {name for name, one in endpoints.items() if one.zone == "ours"}
    assert ours < set(followed)
