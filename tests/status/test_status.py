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


def run_status(running, capsys, *arguments):
    """Run the status command; return its exit status and output."""
    path = running.instances[0].settings.path
    capsys.readouterr()
    exit_status = run.run(["status", "--settings", path, *arguments])
    # The deployment logs to the same stream; its lines start with a year.
    lines = capsys.readouterr().out.split("\n")
    output = [line for line in lines if not line.startswith("2")]
    return exit_status, "\n".join(output)


def test_status_shows_agents_of_all_zones(running, capsys):
    """Agents of other zones send no heartbeats to the queried agent; they
    would be missing if it did not query their address in the instance list.
    """

    def names():
        _, out = run_status(running, capsys, "--json")
        agents = json.loads(out)["agents"]
        return {one["name"] for one in agents if one["reached"]}

    expected = {instance.name for instance in running.instances}
    waiting.until(lambda: names() == expected, what="all agents to answer")


def test_status_shows_agent_that_does_not_answer(running, capsys):
    """An instance that is lost but still listed must not be left out of the
    status, which would then look as if all agents were well.
    """
    running.list_row("instance-9", "agent", "127.0.0.1:9", "zone-0")

    def unreached():
        _, out = run_status(running, capsys, "--json")
        agents = json.loads(out)["agents"]
        return [one["name"] for one in agents if not one["reached"]]

    waiting.until(lambda: unreached() == ["instance-9"], what="it to be shown")
    running.list.delete("instance-9")


def test_narrow_status_fits_40_columns(running, capsys):
    """Narrow output must fit the width of a telephone's terminal."""
    exit_status, out = run_status(running, capsys, "--narrow")
    assert exit_status == 0
    assert max(map(len, out.split("\n"))) <= 40


def test_status_refuses_unknown_team(running, capsys):
    """The error names the team that the settings don't have."""
    path = running.instances[0].settings.path
    exit_status = run.run(["status", "--settings", path, "--team", "nobody"])
    assert exit_status == 3
    assert "nobody" in capsys.readouterr().err
