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
    """The one store of a configuration, as it answered last."""
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


def test_blocks_of_an_earlier_boot_are_not_read(known):
    """A store loses power and comes back empty.

    It answers its state before its agents have forgotten what it held; a
    block with the same name may be half written by then.
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
