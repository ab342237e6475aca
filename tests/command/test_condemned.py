from __future__ import annotations

import json

import pytest

from briarseam import run
from briarseam.admission import condemnation_log
from briarseam.admission import condemnation_records as records
from briarseam.admission import evidence
from briarseam.backing import log as logs
from briarseam.configuration import teams
from briarseam.testing import log_service

KEY = b"0123456789abcdef"
CASE = evidence.identify_prompt("kitchen", "draft", b"prompt")


@pytest.fixture
def log():
    with log_service.LogService() as service:
        yield service


@pytest.fixture
def condemned(log, valid, write, capsys):
    """Run ``briarseam condemned`` and return status, output and errors."""
    settings = write(valid.replace("127.0.0.1:9001", log.address))

    def execute(action, *arguments):
        status = run.run(
            ["condemned", action, *arguments, "--settings", settings]
        )
        told = capsys.readouterr()
        return status, told.out, told.err

    return execute


@pytest.fixture
def condemn(log):
    def append(case=CASE, key=KEY):
        now_ms = condemnation_log.LogClock().now_ms()
        items = [
            evidence.EndpointLost(
                case.fingerprint,
                case.organisation,
                case.model,
                f"engine-{number}",
                f"{case.fingerprint}-{number}",
                now_ms,
            )
            for number in range(2)
        ]
        client = logs.LogClient(log.address)
        client.append(records.STREAM, records.encode(items, key))

    return append


def listed(condemned):
    return json.loads(condemned("list", "--json")[1])


def test_condemned_prompt_is_listed_and_lifted(condemned, condemn, log):
    """An operator mends the engines and lets a prompt run again.

    What is appended counts with every agent that knows the teams.
    """
    condemn()
    (row,) = listed(condemned)
    assert row["organisation"] == "kitchen"
    assert row["endpoints"] == ["engine-0", "engine-1"]
    assert 3500 < row["ends_in_s"] <= 3600
    status, told, _ = condemned("lift", CASE.fingerprint[:8])
    assert (status, told.split()) == (0, ["lifted", CASE.fingerprint])
    assert listed(condemned) == []
    team = teams.Team(
        "night-desk", (b"fedcba9876543210",), ("organisations/kitchen",)
    )
    batch = logs.LogClient(log.address).read(records.STREAM, 0)
    items = records.decode(batch.records[-1].data, KEY, teams.Teams((team,)))
    assert isinstance(items[0], evidence.Cleared)


def test_prompt_of_an_organisation_without_team_is_not_lifted(
    condemned, condemn
):
    """An operator lifts what another team answers for."""
    other = evidence.identify_prompt("harbour", "draft", b"prompt")
    condemn(other)
    status, _, error = condemned("lift", other.fingerprint)
    assert status == 1
    assert "organisations/harbour" in error
    assert len(listed(condemned)) == 1


def test_prompt_that_is_not_condemned_cannot_be_lifted(condemned):
    status, _, error = condemned("lift", "00")
    assert (status, error) == (1, "briarseam: 0 condemned prompts begin so\n")


def test_forged_record_condemns_nothing(condemned, condemn):
    condemn(key=b"guessed")
    assert condemned("list")[1] == "no prompt is condemned\n"


@pytest.mark.parametrize("action", [("list",), ("lift", "00")], ids=str)
def test_log_outage_is_told(condemned, log, action):
    log.set(outage=True)
    status, _, error = condemned(*action)
    assert status == 3
    assert "the log cannot be read" in error
