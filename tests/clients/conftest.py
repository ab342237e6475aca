from __future__ import annotations

import pytest

from tests.clients import machines


@pytest.fixture
def machine(tmp_path):
    with machines.Machine(tmp_path) as made:
        yield made
