from __future__ import annotations

import pytest

from briarseam.admission import condemnation
from briarseam.admission import trial_coordinator
from tests.admission import crashes


@pytest.fixture
def clock() -> crashes.MsClock:
    return crashes.MsClock()


@pytest.fixture
def evidence_set(clock) -> condemnation.EvidenceSet:
    return condemnation.EvidenceSet(clock)


@pytest.fixture
def endpoints() -> crashes.FakeEndpoints:
    return crashes.FakeEndpoints()


@pytest.fixture
def fake_log(evidence_set) -> crashes.FakeLog:
    return crashes.FakeLog(evidence_set)


@pytest.fixture
def coordinator(
    evidence_set, fake_log, endpoints
) -> trial_coordinator.TrialCoordinator:
    return trial_coordinator.TrialCoordinator(
        evidence_set, fake_log, endpoints
    )
