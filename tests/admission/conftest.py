from __future__ import annotations

import pytest

from briarseam.admission import condemnation
from briarseam.admission import trial_coordinator
from tests.admission import crashes


@pytest.fixture
def clock() -> crashes.MsClock:
    return crashes.MsClock()


@pytest.fixture
def book(clock) -> condemnation.Book:
    return condemnation.Book(clock)


@pytest.fixture
def endpoints() -> crashes.FakeEndpoints:
    return crashes.FakeEndpoints()


@pytest.fixture
def fake_log(book) -> crashes.FakeLog:
    return crashes.FakeLog(book)


@pytest.fixture
def tried(book, fake_log, endpoints) -> trial_coordinator.TrialCoordinator:
    return trial_coordinator.TrialCoordinator(book, fake_log, endpoints)
