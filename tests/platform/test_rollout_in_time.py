"""A rollout is planned against the time within which it must end.

The failure this guards against: prompts were refused for seconds, and work
was late for many more, though all engines were sound.

Order of events: weights were named; the duty to give orders moved twice, so
that the first order came ten seconds later; engines were changed two at a
time, each let its runs finish first, and three such rounds take longer than
older weights may be used.  Then the older engines took no work, until the
rollout came round to them.
"""

from __future__ import annotations

import time

import pytest

from briarseam.testing import waiting
from tests.platform import engine as engines
from tests.platform import system as systems

VERSION_MS = 8000
ENGINES = 6
# Two at a time let their runs finish: three rounds of 3.3 s are too many.
DRAIN_S = 2.0
LOAD_S = 0.6
# What a process needs to be sure that nobody else gives orders.
TAKEOVER_S = 2.0
# Review, notice to peers, and the order's way.
ORDER_S = 1.5
PATIENCE_S = 20


@pytest.fixture
def system(cold_system):
    cold_system.bounds["version_ms"] = VERSION_MS
    for number in range(ENGINES):
        made = engines.Engine(
            f"engine-{number}", systems.MODEL, DRAIN_S, LOAD_S
        )
        cold_system.add(made, "engines", weights=1)
    cold_system.configure()
    cold_system.start()
    return cold_system


def name_weights(system, version):
    system.store.write(
        "keyed.op",
        f"version/{systems.MODEL}",
        {"model": systems.MODEL, "version": version},
    )


def holds_duty(system):
    return system.node.weights.leadership.fence() is not None


def test_all_engines_are_changed_within_the_bound(system):
    waiting.until(lambda: holds_duty(system), PATIENCE_S)
    name_weights(system, 2)
    named_s = time.monotonic()
    waiting.until(
        lambda: all(each.version == 2 for each in system.workers.values()),
        PATIENCE_S,
    )
    assert time.monotonic() - named_s < VERSION_MS / 1000
    assert all(len(each.orders) == 1 for each in system.workers.values())


def test_orders_go_on_at_once_after_all_processes_ended(system):
    """Nobody else can be giving orders, so there is nobody to wait for."""
    name_weights(system, 2)
    system.node.stop()
    system.start()
    started_s = time.monotonic()
    waiting.until(
        lambda: any(each.orders for each in system.workers.values()),
        PATIENCE_S,
    )
    assert time.monotonic() - started_s < TAKEOVER_S + ORDER_S
