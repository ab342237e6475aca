from __future__ import annotations

import contextlib

import pytest

from briarseam.testing import engine
from briarseam.testing import engine_switches
from briarseam.testing import store


@pytest.fixture
def running():
    """Start a stand-in; it is stopped at the end."""
    with contextlib.ExitStack() as stack:
        yield stack.enter_context


@pytest.fixture
def make_engine(running):
    """Start an engine that is quick unless told otherwise."""

    def make(crash=None, **switches):
        quick = {"prefill_s_per_piece": 0, "token_s": 0, "load_s": 0}
        made = engine.Engine(
            engine_switches.Switches(**quick | switches),
            models={"m": "v1"},
            **({"crash": crash} if crash else {}),
        )
        return running(made)

    return make


@pytest.fixture
def make_store(running):
    def make(**switches):
        return running(store.Store(store.Switches(**switches)))

    return make
