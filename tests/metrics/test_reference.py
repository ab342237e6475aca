from __future__ import annotations

import pathlib
import re

import pytest
from tests.platform import system as systems

from briarseam.compose import node as compose
from briarseam.testing import deployment

PAGE = (
    pathlib.Path(__file__).parent.parent.parent
    / "docs"
    / "reference"
    / "metrics.md"
)
METRIC_NAME = re.compile(r"`([a-z][a-z0-9_]*)`")


@pytest.fixture(scope="module")
def registered(tmp_path_factory):
    folder = tmp_path_factory.mktemp("deployment")
    with deployment.Deployment(folder, deployment.Shape()) as running:
        (instance,) = running.instances
        registries = (
            instance.entry.parts.render_metrics.__self__,
            instance.agent.registry,
            node_registry(tmp_path_factory.mktemp("node")),
        )
        return {
            metric.name
            for registry in registries
            for metric in registry.all_metrics()
        }


def node_registry(folder):
    """Return the registry of a node, the process of the users' platform."""
    system = systems.System(folder)
    try:
        return compose.Node(system.settings()).metrics
    finally:
        system.close()


def test_reference_lists_every_metric(registered):
    # Operators look up names of metrics in the reference during an outage.
    assert registered - set(METRIC_NAME.findall(PAGE.read_text())) == set()


def test_reference_lists_only_existing_metrics(registered):
    # A dashboard of a metric that no longer exists would stay empty.
    rows = [
        line.split("|")[1]
        for line in PAGE.read_text().splitlines()
        if line.startswith("| `")
    ]
    listed = {name for row in rows for name in METRIC_NAME.findall(row)}
    assert listed - registered == set()
