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


def value_of(page, prefix):
    lines = [line for line in page.splitlines() if line.startswith(prefix)]
    return float(lines[0].rsplit(" ", 1)[1]) if lines else None


def test_page_shows_request_metrics_of_entry_and_agent(running):
    body = deployment.prompt_body("word " * 1200)
    assert running.caller().ask(body).done
    waiting.until(
        lambda: value_of(
            scrape(running).data.decode(), 'runs_ended_total{result="done"}'
        )
    )
    page = scrape(running).data.decode()
    organisation_label = f'{{organisation="{deployment.ORGANISATIONS[0]}"}}'
    assert value_of(page, f"prompt_tokens_total{organisation_label}") == 1200
    assert value_of(page, "first_token_us_count") == 1
    assert value_of(page, 'requests_total{decision="granted"}') == 1
    assert value_of(page, "entry_timeline_events ") > 0
    assert value_of(page, "agent_timeline_bytes ") > 0


def test_page_has_each_metric_once(running):
    # Prometheus rejects a page on which a metric occurs twice.
    page = scrape(running).data.decode()
    names = [
        line.split()[2]
        for line in page.splitlines()
        if line.startswith("# TYPE")
    ]
    assert len(names) == len(set(names))


def test_page_requires_an_operator_token(running):
    # The page names organisations, which callers must not see.
    assert scrape(running, running.caller().token).status == 401


def test_page_shows_entry_metrics_when_the_agent_is_unreachable(running):
    # Operators need the entry's metrics most while its agent is down.
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
