from __future__ import annotations

import types

import pytest

from briarseam.compose import node_instances
from briarseam.compose import node_weights
from briarseam.discovery import model as discovery
from briarseam.routes import following
from briarseam.settings import serving
from briarseam.weights import goals

VERSION_MS = 12_000


class Store:
    """A store that is never called."""


class Engines:
    """Engines that are never called."""


def engine(name, version, service="engines"):
    return discovery.Endpoint(
        name, service, "127.0.0.1:1", "a", 8, False, {"m": version}
    )


@pytest.fixture
def weights():
    settings = types.SimpleNamespace(
        instance=types.SimpleNamespace(name="one"),
        bounds=serving.Bounds(version_ms=VERSION_MS),
    )
    feeds = types.SimpleNamespace(
        operators=following.OperatorFeed(None, lambda changed: None),
        engines_of=lambda model: [],
        all_engines_of=lambda model: [engine("e1", 3), engine("e2", 2)],
        registry=types.SimpleNamespace(
            all=lambda: [engine("foreign", 1, "no-service")]
        ),
    )
    return node_weights.Weights(
        settings,
        Store(),
        feeds,
        node_instances.Instances("one"),
        Engines(),
    )


def test_older_weights_are_out_of_use_until_the_age_of_goals_is_known(weights):
    """A process that has just started sees a goal that may be old.  Taken
    for new, requests of the first moments would begin on replaced weights.
    """
    weights.goals.add(goals.WeightGoal("m", 2))
    assert weights.required("m") == 2
    weights.goal_times.known.set()
    assert weights.required("m") == 0


def test_older_weights_are_out_of_use_a_while_before_the_bound(weights):
    weights.goal_times.known.set()
    weights.goals.add(goals.WeightGoal("m", 2), age_s=9.9)
    assert weights.required("m") == 0
    weights.goals.add(goals.WeightGoal("m", 2), age_s=10.1)
    assert weights.required("m") == 2
    assert weights.remaining_s("m", 1) <= 0


def test_entry_of_another_service_keeps_no_parts_of_old_weights(weights):
    """An entry that names a model of ours, written by somebody else, would
    keep what is stored of old weights for ever.
    """
    assert weights.oldest_version("m") == 2
