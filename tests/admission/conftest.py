from __future__ import annotations

import pytest

from briarseam.admission import condemnation
from briarseam.admission import trials
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
def tried(book, fake_log, endpoints) -> trials.Trials:
    return trials.Trials(book, fake_log, endpoints)
