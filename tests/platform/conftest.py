from __future__ import annotations

import pytest

from tests.platform import system as systems


@pytest.fixture
def system(tmp_path):
    """A started instance with two plain endpoints and two engines."""
    system = systems.System(tmp_path)
    try:
        system.add_worker("plain-1", "portal")
        system.add_worker("plain-2", "portal")
        system.add_worker("engine-1", "engines")
        system.add_worker("engine-2", "engines")
        system.configure()
        system.start()
        yield system
    finally:
        system.close()


@pytest.fixture
def zones(tmp_path):
    """A started instance with an endpoint of each service in three zones.

    The zones hall-a and hall-b are in the region north, hall-c in south.
    """
    system = systems.System(tmp_path)
    try:
        for letter in "abc":
            zone = f"hall-{letter}"
            system.add_worker(f"plain-{letter}", "portal", zone=zone)
            system.add_worker(f"engine-{letter}", "engines", zone=zone)
        system.configure()
        system.start()
        yield system
    finally:
        system.close()


@pytest.fixture
def cold_system(tmp_path):
    """An instance that is not started, with an empty store."""
    system = systems.System(tmp_path)
    try:
        yield system
    finally:
        system.close()
