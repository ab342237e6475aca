"""``briarseam status``: the agents of a cell, one row each."""

from __future__ import annotations

import typing

from briarseam.command import http
from briarseam.command import options
from briarseam.command import output
from briarseam.status import messages

if typing.TYPE_CHECKING:
    import argparse

HEADERS = (
    "agent",
    "zone",
    "state",
    "configuration",
    "stale in s",
    "running",
)
ROLLOUT_HEADERS = ("model", "version", "serving", "loading", "detail")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    http.add_operator(parser)
    options.add_output(parser)


def execute(args: argparse.Namespace) -> int:
    """Ask an entry and print the agents and rollouts."""
    try:
        answer = http.operator_asker(args).get("/v1/status", messages.Status)
    except http.AskError as error:
        return http.fail(error)
    if getattr(args, "json", False):
        output.print_json(answer)
        return 0
    output.print_records(args, HEADERS, [row(one) for one in answer.agents])
    rollouts = [line for one in answer.agents for line in one.rollouts]
    if rollouts:
        print()
        rows = [rollout_row(one) for one in rollouts]
        output.print_records(args, ROLLOUT_HEADERS, rows)
    return 0


def row(agent: messages.AgentStatus) -> list[str]:
    """Return an agent's cells."""
    if not agent.reached:
        state = f"{agent.state}, no answer"
        return [agent.name, agent.zone, state, "-", "-", "-"]
    return [
        agent.name,
        agent.zone,
        agent.state,
        str(agent.configuration_offset),
        "never" if agent.stale_s < 0 else f"{agent.stale_s:.1f}",
        str(agent.running),
    ]


def rollout_row(rollout: messages.Rollout) -> list[str]:
    """Return a rollout's cells."""
    return [
        rollout.model,
        rollout.version,
        f"{rollout.serving}/{rollout.wanted}",
        str(rollout.loading),
        rollout.detail,
    ]
