"""Prompts placed while engines are cold or the list of them is outdated."""

from __future__ import annotations

import pytest

from briarseam import verdict
from briarseam.eligibility import cold_starts
from briarseam.eligibility import send_window
from briarseam.placement import requests
from briarseam.routes import model as routes
from tests.placement import test_chooser


class OnlySender:
    def is_sender(self, endpoint, count):
        return True

    def known_count(self):
        return 1


COLD_SERVICE = routes.Service(
    "engines",
    engine=test_chooser.SERVICE.engine,
    cold_start=routes.ColdStart(3.0, 4.0),
)


@pytest.fixture
def cold_case():
    """A case whose engine e0 is cold."""
    case = test_chooser.Case()
    case.chooser.eligibility.starts = cold_starts.ColdStarts(
        OnlySender(),
        cold_starts.Limits(),
        lambda: 0.0,
        case.clock,
        lambda: 0.0,
    )
    case.clock.now_s += send_window.WINDOW_S
    for number, endpoint in enumerate(case.endpoints):
        case.chooser.eligibility.starts.record_entry(
            endpoint.id, 0.0 if number else 3.0
        )
    return case


def test_cold_engine_is_used_only_while_no_warm_one_has_capacity(cold_case):
    placed = [
        cold_case.run(tokens=30_000, service=COLD_SERVICE, session=f"s{n}")
        for n in range(5)
    ]
    chosen = [placement.endpoint.id for placement, _added in placed]
    assert sorted(chosen[:4]) == ["e1", "e1", "e2", "e2"]
    assert chosen[4] == "e0"


def test_cold_engine_gets_no_more_than_its_limit(cold_case):
    limit = cold_starts.Limits().for_sender(4.0)
    cold_case.endpoints = cold_case.endpoints[:1]
    placements = [
        cold_case.place(service=COLD_SERVICE) for _ in range(limit + 2)
    ]
    placed = [one for one in placements if isinstance(one, requests.Placement)]
    assert len(placed) == limit
    assert isinstance(placements[limit], verdict.NotRun)


def test_prompt_waits_if_no_endpoint_may_be_sent_to_at_the_moment(cold_case):
    cold_case.chooser.eligibility.starts.entries_age_s = lambda: 10.0
    for _ in range(200):
        placement = cold_case.place(service=COLD_SERVICE)
        if not isinstance(placement, requests.Placement):
            break
    assert isinstance(placement, requests.Unplaced)
