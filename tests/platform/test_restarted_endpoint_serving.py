"""An endpoint that restarts while requests are served."""

from __future__ import annotations

import pytest

from briarseam.discovery import starts
from briarseam.testing import waiting
from tests.platform import engine as engines
from tests.platform import restarted_engine as restarted
from tests.platform import system as systems


@pytest.fixture
def born_system(cold_system):
    """A started instance with one engine that reports its start time."""
    worker = engines.Engine(
        restarted.NAME, systems.MODEL, 0.0, 0.0, restarted.OLD_BORN
    )
    cold_system.add(worker, "engines", weights=1)
    cold_system.configure()
    cold_system.start()
    return cold_system


def test_request_carries_the_endpoint_name_without_its_start(born_system):
    """Endpoints reject requests that name another endpoint, and don't know
    the ids by which instances distinguish starts.
    """
    assert born_system.stream("/draft/x").status == 200
    headers = born_system.workers[restarted.NAME].headers_of()
    assert headers["expect-instance"] == restarted.NAME


def test_restart_published_by_a_peer_is_applied(born_system):
    """Guards against a heartbeat section of restarts that is not wired.

    Peers would learn of a restart seen in a report a second later, from the
    engine's entry.
    """
    instances = born_system.node.instances
    waiting.until(
        lambda: instances.membership is not None, restarted.TIMEOUT_S
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


def test_late_update_is_swept_while_serving(born_system):
    """An answer was in transit when its engine crashed."""
    residency = born_system.node.chooser.residency
    residency.record(
        starts.Start(restarted.NAME, 1).id, restarted.SALT, restarted.PARTS, 0
    )
    waiting.until(lambda: not residency.held, restarted.TIMEOUT_S)


def test_restarted_engine_with_old_weights_is_updated(
    born_system,
):
    """Guards against a restarted engine that counts as up to date.

    An engine loads new weights, crashes and restarts within a second with
    its initial weights.  Identified by its name, it would never be updated
    again.
    """
    worker = born_system.workers[restarted.NAME]
    goal = {"model": systems.MODEL, "version": 2}
    born_system.store.write("keyed.op", f"version/{systems.MODEL}", goal)
    waiting.until(lambda: worker.version == 2, restarted.TIMEOUT_S)
    known_weights = born_system.node.weights.known_weights
    waiting.until(
        lambda: known_weights.version(restarted.OLD, systems.MODEL, 0) == 2,
        restarted.TIMEOUT_S,
    )
    worker.restart(restarted.NEW_BORN)
    worker.version = 1
    born_system.write_entry(restarted.NAME, "engines", weights=1)
    waiting.until(lambda: worker.version == 2, restarted.TIMEOUT_S)
