from __future__ import annotations

import typing

import pytest

from briarseam.backing import instances
from briarseam.testing import deployment
from briarseam.testing import instance_list
from briarseam.testing import waiting
from briarseam.testing import words

PROMPTS = 12


class Unreadable:
    """An instance list that one agent cannot read."""

    def read(self) -> instances.Listing:
        raise instances.InstanceListUnavailableError("cut off")


@pytest.fixture
def running(
    tmp_path_factory: pytest.TempPathFactory,
) -> typing.Iterator[deployment.Deployment]:
    folder = tmp_path_factory.mktemp("leaving")
    shape = deployment.Shape(instances=2, engines=2)
    with deployment.Deployment(folder, shape) as started:
        for instance in started.instances:
            reader = instance.agent.membership.list_reader
            reader.interval_s = 0.05
        yield started


def show(running: deployment.Deployment, state: str) -> None:
    """Let the platform's list show the first engine in a state."""
    row = instance_list.Registration(
        "engine", running.engines["engine-0"].address, "zone-0", state
    )
    running.list.put("engine-0", row)


def starts(running: deployment.Deployment) -> int:
    """Return how many runs the first engine started."""
    return len(running.engines["engine-0"].book.starts)


def ask(running: deployment.Deployment, mark: str) -> None:
    """Ask prompts at both entries; all must be answered."""
    for number in range(PROMPTS):
        prompt = words.prompt(40, f"{mark}-{number}")
        answer = running.caller(instance=number % 2).ask(
            deployment.prompt_body(prompt, session=f"{mark}-{number}")
        )
        assert answer.done, answer


def all_know(running: deployment.Deployment, leaving: set[str]) -> bool:
    """Tell whether routing of every agent bars just these endpoints."""
    return all(
        set(instance.agent.leaving.leaving_endpoints()) == leaving
        for instance in running.instances
    )


@pytest.mark.parametrize("missed", [False, True], ids=["all", "one missed"])
def test_engine_that_leaves_gets_no_new_work(
    running: deployment.Deployment, missed: bool
) -> None:
    """The platform will take an engine away; its list shows it as leaving,
    in one case to one of the agents only.  Callers at both entries go on
    being answered, and the engine gets none of their prompts.
    """
    ask(running, "before")
    assert starts(running) > 0
    if missed:
        blind = running.instances[1].agent.membership.list_reader
        blind.source = Unreadable()
        waiting.until(lambda: not blind.available)
    show(running, "leaving")
    waiting.until(lambda: all_know(running, {"engine-0"}))
    before = starts(running)
    ask(running, "after")
    assert starts(running) == before
    show(running, "live")
    waiting.until(lambda: all_know(running, set()))


def test_engine_drained_by_configuration_gets_no_new_work(
    running: deployment.Deployment,
) -> None:
    """An operator drains an engine by its path: from the moment that each
    agent has the change, it gets no new work.
    """
    endpoint = {**running.tree()["endpoints/engine-0"], "state": "draining"}
    running.publish({"endpoints/engine-0": endpoint})
    waiting.until(lambda: all_know(running, {"engine-0"}))
    before = starts(running)
    ask(running, "drained")
    assert starts(running) == before
