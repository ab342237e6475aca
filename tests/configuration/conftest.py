from __future__ import annotations

import pytest
from tests.configuration import helpers

from briarseam.configuration import teams as team_types
from briarseam.testing import log_service


@pytest.fixture
def teams():
    return team_types.Teams(
        (
            team_types.Team(
                "drafts", (b"drafts' key", b"old key"), ("models", "cells")
            ),
            team_types.Team("portal", (b"portal's key",), ("services",)),
        )
    )


@pytest.fixture
def log():
    with log_service.LogService() as service:
        yield service


@pytest.fixture
def cluster(log, teams):
    made = helpers.Cluster(log, teams)
    yield made
    for name in list(made.agents):
        made.remove(name)
