from __future__ import annotations

import types

import pytest

from briarseam.cache import stores
from briarseam.configuration import values
from briarseam.endpoints import store as store_client
from tests import clocks


def state(boot_id):
    return store_client.StoreState(boot_id=boot_id, used=10, capacity=100)


@pytest.fixture
def known():
    """The stores of a configuration with one store that has answered."""
    endpoint = values.Endpoint(
        kind=values.EndpointKind.STORE,
        address="127.0.0.1:1",
        zone="a",
    )
    view = types.SimpleNamespace(endpoints={"keep-a": endpoint})
    made = stores.Stores(lambda: view, clocks.ManualClock(), lambda: 1.0)
    made.refresh()
    made.apply_state(made.by_name["keep-a"], state("first"))
    return made


def test_blocks_of_earlier_boot_are_not_read(known):
    """A store restarts empty after a power loss.

    It reports its state before the agents have dropped its old blocks from
    their indexes, and a block of the same name may be partially written.
    """
    assert known.readable("keep-a", "first")
    assert known.apply_state(known.by_name["keep-a"], state("second"))
    assert not known.readable("keep-a", "first")
    assert known.readable("keep-a", "second")


def test_store_that_fails_twice_is_not_read_until_it_answers(known):
    store = known.by_name["keep-a"]
    known.record_failure(store, "no answer")
    assert known.readable("keep-a", "first")
    known.record_failure(store, "no answer")
    assert not known.readable("keep-a", "first")
    known.apply_state(store, state("first"))
    assert known.readable("keep-a", "first")


def test_store_that_an_engine_cannot_reach_is_not_read_at_once(known):
    known.record_failure(known.by_name["keep-a"], "refused", at_once=True)
    assert not known.readable("keep-a", "first")
