from __future__ import annotations

import json

import pytest

from briarseam import run
from briarseam.backing import log as platform_log
from briarseam.claims import keys
from briarseam.claims import options
from briarseam.claims import records
from briarseam.testing import log_service
from briarseam.testing import stand_in

ORGANISATION = "kitchen"


@pytest.fixture
def log():
    with log_service.LogService() as service:
        yield service


@pytest.fixture
def ask(log, write, valid, capsys):
    path = write(valid.replace("127.0.0.1:9001", log.address))

    def ask_about(key: str, *arguments: str):
        status = run.run(
            [
                "claim",
                key,
                "--organisation",
                ORGANISATION,
                "--settings",
                path,
                *arguments,
            ]
        )
        return status, capsys.readouterr()

    return ask_about


def append(log, key: str, *items: records.Item) -> None:
    batch = records.Batch(1, options.SHARDS, "cph-1/1", 1, items)
    number = keys.shard_of(ORGANISATION, key, options.SHARDS)
    client = platform_log.LogClient(log.address)
    client.append(options.stream_name(number), records.encode(batch))


@pytest.fixture
def key() -> str:
    return keys.make(stand_in.wall_ms())


def test_claim_whose_outcome_was_lost_names_its_run(ask, log, key):
    """A caller says that it was told "unknown": where did it go?"""
    append(
        log,
        key,
        records.Claim(ORGANISATION, key, "run-1", b"x", "cph-1", "7", ""),
        records.Lost(ORGANISATION, key, "run-1"),
    )
    status, printed = ask(key, "--json")
    found = json.loads(printed.out)
    assert status == 0
    assert found["standing"] == "lost"
    assert (found["attempt"], found["instance"]) == ("run-1", "cph-1")


def test_outcome_is_shown_within_40_columns(ask, log, key):
    append(
        log,
        key,
        records.Claim(ORGANISATION, key, "run-1", b"x", "cph-1", "7", ""),
        records.Done(ORGANISATION, key, "run-1", records.Outcome(201)),
    )
    status, printed = ask(key, "--narrow")
    assert status == 0
    assert "done" in printed.out
    assert "201" in printed.out
    assert max(map(len, printed.out.splitlines())) <= 40


def test_key_that_the_log_never_saw(ask, key):
    status, printed = ask(key)
    assert status == 0
    assert "never seen" in printed.out


def test_malformed_key_and_log_away_are_told(ask, log, key):
    assert ask("renewal-7")[0] == 2
    log.set(outage=True)
    status, printed = ask(key)
    assert status == 1
    assert "503" in printed.err
