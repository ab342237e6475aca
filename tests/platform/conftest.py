from __future__ import annotations

import pytest

from tests.platform import system as systems


@pytest.fixture
def system(tmp_path):
    """One instance with two plain endpoints and two engines, started."""
    made = systems.System(tmp_path)
    try:
        made.add_worker("plain-1", "portal")
        made.add_worker("plain-2", "portal")
        made.add_worker("engine-1", "engines")
        made.add_worker("engine-2", "engines")
        made.configure()
        made.start()
        yield made
    finally:
        made.close()


@pytest.fixture
def cold_system(tmp_path):
    """One instance that was not started, before an empty store."""
    made = systems.System(tmp_path)
    try:
        yield made
    finally:
        made.close()
