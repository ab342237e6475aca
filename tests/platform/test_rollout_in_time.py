"""A rollout ends before the former weights may no longer be used.

Guards against prompts that are refused although all engines work: the lease
for giving orders moves twice after new weights are named, so that the first
order is given ten seconds later.  Engines are updated two at a time, and each
lets its runs finish first.  Three such rounds take longer than the former
weights may be used, and engines that still have them get no work until they
are updated.
"""

from __future__ import annotations

import time

import pytest

from briarseam.testing import waiting
from tests.platform import engine as engines
from tests.platform import system as systems

VERSION_MS = 8000
ENGINES = 6
# Two at a time let their runs finish: three rounds of 3.3 s take too long.
DRAIN_S = 2.0
LOAD_S = 0.6
# Time until a process knows that no other one gives orders.
TAKEOVER_S = 2.0
# Review, notice to peers, and transmission of the order.
ORDER_S = 1.5
TIMEOUT_S = 20


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
    waiting.until(lambda: holds_duty(system), TIMEOUT_S)
    name_weights(system, 2)
    named_s = time.monotonic()
    waiting.until(
        lambda: all(each.version == 2 for each in system.workers.values()),
        TIMEOUT_S,
    )
    assert time.monotonic() - named_s < VERSION_MS / 1000
    assert all(len(each.orders) == 1 for each in system.workers.values())


def test_orders_continue_at_once_after_all_processes_stopped(system):
    """No other process can be giving orders, so none has to be waited for."""
    name_weights(system, 2)
    system.node.stop()
    system.start()
    started_s = time.monotonic()
    waiting.until(
        lambda: any(each.orders for each in system.workers.values()),
        TIMEOUT_S,
    )
    assert time.monotonic() - started_s < TAKEOVER_S + ORDER_S
