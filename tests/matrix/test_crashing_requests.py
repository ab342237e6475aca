"""A prompt that crashes each engine that runs it, with real processes."""

from __future__ import annotations

import concurrent.futures
import itertools
import typing

import pytest
from tests.matrix import engines

from briarseam.admission import condemnation_records as records
from briarseam.admission import evidence
from briarseam.backing import log as logs
from briarseam.configuration import teams
from briarseam.entry import requests
from briarseam.testing import answers
from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.testing import words

INSTANCES = 3
ENGINES = 4
prompt_numbers = itertools.count()


@pytest.fixture(scope="module")
def started(tmp_path_factory) -> typing.Iterator[engines.EngineCluster]:
    folder = tmp_path_factory.mktemp("crashing")
    with engines.EngineCluster(folder, INSTANCES, ENGINES) as cluster:
        yield cluster


@pytest.fixture
def cluster(started) -> typing.Iterator[engines.EngineCluster]:
    yield started
    started.restart_dead()
    waiting.until(started.is_serving, 20, "all entries serve")


@pytest.fixture
def crashing_prompt() -> str:
    """A crashing prompt that no earlier test has sent."""
    return f"briefing {next(prompt_numbers)} {engines.CRASH_WORD}"


def make_body(prompt: str, max_tokens: int = 8) -> dict[str, typing.Any]:
    return deployment.prompt_body(
        prompt, max_tokens=max_tokens, session=prompt[:60], deadline_ms=15_000
    )


def expected(prompt: str, max_tokens: int) -> list[str]:
    return answers.expected_answer(
        deployment.MODEL, deployment.VERSION, prompt, max_tokens
    )


def ask_until_complete(
    cluster: engines.EngineCluster, prompt: str, max_tokens: int
) -> caller.Answer:
    """Send a prompt until it completes, to each entry in turn."""
    turns = itertools.count()

    def ask() -> caller.Answer | None:
        prompter = cluster.prompter(next(turns) % INSTANCES, organisation=1)
        answer = prompter.ask(make_body(prompt, max_tokens))
        return answer if answer.done else None

    return waiting.until(ask, 40, "a complete answer")


def send_until_condemned(
    cluster: engines.EngineCluster, prompt: str
) -> caller.Answer:
    """Send a prompt until it is refused as condemned."""

    def ask() -> caller.Answer | None:
        answer = cluster.prompter(0).ask(make_body(prompt))
        reason = answer.problem.get("reason")
        return answer if reason == "condemned" else None

    return waiting.until(ask, 20, "the condemnation")


def test_repeated_sends_take_down_two_engines(cluster, crashing_prompt):
    """Guards against the loss of every engine, one after the other.

    The caller of a prompt that crashes engines sends it again to each entry,
    as often as a refusal asks it to retry.
    """
    replies = [
        cluster.prompter(turn % INSTANCES).ask(make_body(crashing_prompt))
        for turn in range(4 * INSTANCES)
    ]
    assert len(cluster.dead()) == 2
    assert replies[0].ran == "unknown"
    last = replies[INSTANCES:]
    assert {reply.problem["reason"] for reply in last} == {"condemned"}
    assert {reply.ran for reply in last} == {"no"}
    assert all(int(reply.headers["Retry-After"]) > 60 for reply in last)


def test_concurrent_sends_take_down_two_engines(cluster, crashing_prompt):
    """Guards against the loss of all engines to concurrent sends.

    Callers send the prompt to all entries at the same time.  There is no
    evidence against it yet; run at four engines at once, it would take down
    all four.
    """
    with concurrent.futures.ThreadPoolExecutor(9) as pool:
        replies = list(
            pool.map(
                lambda turn: cluster.prompter(turn % INSTANCES).ask(
                    make_body(crashing_prompt)
                ),
                range(9),
            )
        )
    assert len(cluster.dead()) <= 2
    assert not any(reply.done for reply in replies)
    send_until_condemned(cluster, crashing_prompt)
    assert len(cluster.dead()) <= 2


def test_harmless_prompts_that_shared_an_engine_complete(
    cluster, crashing_prompt
):
    """Guards against refusing harmless prompts along with a crashing one.

    The harmless prompts run at the engines that the crashing one takes down.
    """
    harmless_prompts = [
        words.prompt(50, f"{crashing_prompt}{number}") for number in range(8)
    ]
    max_tokens = 200
    with concurrent.futures.ThreadPoolExecutor(9) as pool:
        pending = [
            pool.submit(ask_until_complete, cluster, prompt, max_tokens)
            for prompt in harmless_prompts
        ]
        waiting.until(
            lambda: (
                sum(
                    worker.load()["running"]
                    for worker in cluster.workers.values()
                )
                >= len(harmless_prompts)
            ),
            what="the harmless prompts run",
        )
        send_until_condemned(cluster, crashing_prompt)
        replies = [reply.result() for reply in pending]
    assert len(cluster.dead()) == 2
    assert [reply.tokens for reply in replies] == [
        expected(prompt, max_tokens) for prompt in harmless_prompts
    ]


def test_condemnation_survives_a_restart_of_all_agents(
    cluster, crashing_prompt
):
    """Guards against agents that forget condemnations when they restart.

    All agents are replaced, and the caller sends its prompt again.
    """
    send_until_condemned(cluster, crashing_prompt)
    assert len(cluster.dead()) == 2
    for machine in cluster.machines:
        for daemon in machine.daemons():
            daemon.kill()
    for machine in cluster.machines:
        for daemon in machine.daemons():
            daemon.start()

    send_until_condemned(cluster, crashing_prompt)
    assert len(cluster.dead()) == 2


def test_log_outage_does_not_allow_a_third_loss(cluster, crashing_prompt):
    """Guards against the loss of a third engine during a log outage.

    The log is unavailable while the prompt is sent repeatedly.  Heartbeats
    carry the evidence between the agents, and it is appended to the log
    after the outage.
    """
    cluster.log.set(outage=True)
    try:
        for turn in range(3 * INSTANCES):
            cluster.prompter(turn % INSTANCES).ask(make_body(crashing_prompt))
        send_until_condemned(cluster, crashing_prompt)
        assert len(cluster.dead()) == 2
    finally:
        cluster.log.set(outage=False)
    waiting.until(
        lambda: count_recorded_losses(cluster, crashing_prompt) == 2,
        10,
        "the losses in the log",
    )


def count_recorded_losses(cluster: engines.EngineCluster, prompt: str) -> int:
    """Return how many losses of a prompt the log holds."""
    digest = requests.digest_prompt(prompt.split())
    identity = evidence.identify_prompt(
        deployment.ORGANISATIONS[0], deployment.MODEL, digest
    )
    batch = logs.LogClient(cluster.log.address).read(records.STREAM, 0)
    key = deployment.SHARED_KEY.encode()
    groups = {
        item.group
        for record in batch.records
        for item in records.decode(record.data, key, teams.Teams())
        if isinstance(item, evidence.EndpointLost)
        and item.fingerprint == identity.fingerprint
    }
    return len(groups)
