from __future__ import annotations

import json

import pytest

from briarseam import run
from briarseam.testing import deployment
from briarseam.testing import waiting


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("status")
    shape = deployment.Shape(instances=3, zones=3)
    with deployment.Deployment(folder, shape) as started:
        yield started


def ask(running, capsys, *arguments):
    """Run the command; return its status and output."""
    path = running.instances[0].settings.path
    capsys.readouterr()
    status = run.run(["status", "--settings", path, *arguments])
    # The deployment's own log lines go to the same stream in tests.
    lines = capsys.readouterr().out.split("\n")
    shown = [line for line in lines if not line.startswith("2")]
    return status, "\n".join(shown)


def test_status_shows_the_agents_of_all_zones(running, capsys):
    """An operator asks one entry.  Agents of other zones, whose heartbeats
    this entry's agent does not hear, are asked by their listed address.
    """

    def names():
        _, out = ask(running, capsys, "--json")
        agents = json.loads(out)["agents"]
        return {one["name"] for one in agents if one["reached"]}

    wanted = {instance.name for instance in running.instances}
    waiting.until(lambda: names() == wanted, what="all three answer")


def test_an_agent_that_does_not_answer_is_shown_as_such(running, capsys):
    """One instance has just died and is still listed.  Its row must not
    vanish, or the operator would think that all is well.
    """
    running.list_row("instance-9", "agent", "127.0.0.1:9", "zone-0")

    def silent():
        _, out = ask(running, capsys, "--json")
        agents = json.loads(out)["agents"]
        return [one["name"] for one in agents if not one["reached"]]

    waiting.until(lambda: silent() == ["instance-9"], what="it is shown")
    running.list.delete("instance-9")


def test_status_fits_a_phone(running, capsys):
    """An operator looks from a telephone; no line is over 40 columns."""
    status, out = ask(running, capsys, "--narrow")
    assert status == 0
    assert max(map(len, out.split("\n"))) <= 40


def test_a_wrong_team_is_refused(running, capsys):
    """The settings name no such team; the error says so."""
    path = running.instances[0].settings.path
    status = run.run(["status", "--settings", path, "--team", "nobody"])
    assert status == 3
    assert "nobody" in capsys.readouterr().err
