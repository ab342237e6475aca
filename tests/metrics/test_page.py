from __future__ import annotations

import pytest
import urllib3

from briarseam import tokens
from briarseam.testing import deployment
from briarseam.testing import waiting


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("deployment")
    with deployment.Deployment(folder, deployment.Shape()) as started:
        yield started


def scrape(running, token=None):
    team_key = deployment.TEAM_KEY.encode()
    token = token or tokens.operator_token(deployment.TEAM, team_key)
    return urllib3.request(
        "GET",
        f"http://{running.instances[0].address}/v1/metrics",
        headers={"Authorization": f"Bearer {token}"},
    )


def value_of(page, start):
    lines = [line for line in page.splitlines() if line.startswith(start)]
    return float(lines[0].rsplit(" ", 1)[1]) if lines else None


def test_page_tells_of_a_request_at_entry_and_agent(running):
    # An operator scrapes an instance after a request of 1,200 tokens.
    body = deployment.prompt_body("word " * 1200)
    assert running.caller().ask(body).done
    waiting.until(
        lambda: value_of(
            scrape(running).data.decode(), 'runs_ended_total{result="done"}'
        )
    )
    page = scrape(running).data.decode()
    tokens_of = f'{{organisation="{deployment.ORGANISATIONS[0]}"}}'
    assert value_of(page, f"prompt_tokens_total{tokens_of}") == 1200
    assert value_of(page, "first_token_us_count") == 1
    assert value_of(page, 'requests_total{decision="granted"}') == 1
    assert value_of(page, "entry_timeline_events ") > 0
    assert value_of(page, "agent_timeline_bytes ") > 0


def test_page_has_each_metric_once(running):
    # A scraper refuses a page on which a name stands twice.
    page = scrape(running).data.decode()
    names = [
        line.split()[2]
        for line in page.splitlines()
        if line.startswith("# TYPE")
    ]
    assert len(names) == len(set(names))


def test_page_is_for_operators_only(running):
    # It names organisations.
    assert scrape(running, running.caller().token).status == 401


def test_entry_shows_its_own_when_the_agent_is_away(running):
    # The agent is dead, which is when an operator looks.
    running.instances[0].entry.ring.note("probe")
    link = running.instances[0].entry.parts.agent
    report = link.report
    link.report = lambda message: None
    try:
        page = scrape(running).data.decode()
    finally:
        link.report = report
    assert value_of(page, "entry_timeline_events ") > 0
    assert value_of(page, "requests_total") is None
