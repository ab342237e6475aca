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
    """A store that is not called."""


class Engines:
    """Engines that are not called."""


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
        all_engines_of=lambda model: [],
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


def test_older_weights_are_excluded_until_the_ages_of_goals_are_known(weights):
    """Guards against requests that begin on replaced weights after a start.

    A goal that a new process reads may be old; if it counted as new, older
    weights would stay in use.
    """
    weights.goals.add(goals.WeightGoal("m", 2))
    assert weights.required("m") == 2
    weights.goal_times.known.set()
    assert weights.required("m") == 0


def test_older_weights_are_excluded_a_margin_before_the_bound(weights):
    weights.goal_times.known.set()
    weights.goals.add(goals.WeightGoal("m", 2), age_s=9.9)
    assert weights.required("m") == 0
    weights.goals.add(goals.WeightGoal("m", 2), age_s=10.1)
    assert weights.required("m") == 2
    assert weights.remaining_s("m", 1) <= 0
