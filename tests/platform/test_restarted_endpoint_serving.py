"""An endpoint that starts again while requests are served."""

from __future__ import annotations

import pytest

from briarseam.discovery import starts
from briarseam.testing import waiting
from tests.platform import engine as engines
from tests.platform import restarted_engine as restarted
from tests.platform import system as systems


@pytest.fixture
def born_system(cold_system):
    """A started instance with one engine that says when it was born."""
    worker = engines.Engine(
        restarted.NAME, systems.MODEL, 0.0, 0.0, restarted.OLD_BORN
    )
    cold_system.add(worker, "engines", weights=1)
    cold_system.configure()
    cold_system.start()
    return cold_system


def test_request_names_the_endpoint_as_the_platform_does(born_system):
    """Endpoints turn away what names another one; they know nothing of the
    ids by which instances tell their starts apart.
    """
    assert born_system.stream("/draft/x").status == 200
    headers = born_system.workers[restarted.NAME].headers_of()
    assert headers["expect-instance"] == restarted.NAME


def test_restart_that_a_peer_tells_is_taken_in(born_system):
    """Restarts are a section of heartbeats; unwired, peers would learn of
    one that a report showed a second later, from the engine's entry.
    """
    instances = born_system.node.instances
    waiting.until(
        lambda: instances.membership is not None, restarted.PATIENCE_S
    )
    content = {
        "endpoint-starts": restarted.packed(
            (restarted.NAME, restarted.NEW_BORN)
        )
    }
    instances.membership.sections.consume("peer", content)
    assert [item.id for item in born_system.node.feeds.registry.all()] == [
        restarted.NEW
    ]


def test_late_word_is_swept_while_serving(born_system):
    """An answer was on its way when its engine died."""
    residency = born_system.node.chooser.residency
    residency.record(
        starts.Start(restarted.NAME, 1).id, restarted.SALT, restarted.PARTS, 0
    )
    waiting.until(lambda: not residency.held, restarted.PATIENCE_S)


def test_engine_that_is_back_with_its_first_weights_gets_the_newest(
    born_system,
):
    """Weights are put in place; then the engine crashes and is back within
    a second, with those that it began with.

    Known by its name, it would count as up to date for good.
    """
    worker = born_system.workers[restarted.NAME]
    goal = {"model": systems.MODEL, "version": 2}
    born_system.store.write("keyed.op", f"version/{systems.MODEL}", goal)
    waiting.until(lambda: worker.version == 2, restarted.PATIENCE_S)
    known_weights = born_system.node.weights.known_weights
    waiting.until(
        lambda: known_weights.version(restarted.OLD, systems.MODEL, 0) == 2,
        restarted.PATIENCE_S,
    )
    worker.restart(restarted.NEW_BORN)
    worker.version = 1
    born_system.write_entry(restarted.NAME, "engines", weights=1)
    waiting.until(lambda: worker.version == 2, restarted.PATIENCE_S)
