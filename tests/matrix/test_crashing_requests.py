"""A prompt that crashes each engine that runs it, over real processes."""

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
names = itertools.count()


@pytest.fixture(scope="module")
def started(tmp_path_factory) -> typing.Iterator[engines.EngineCluster]:
    folder = tmp_path_factory.mktemp("crashing")
    with engines.EngineCluster(folder, INSTANCES, ENGINES) as cluster:
        yield cluster


@pytest.fixture
def cluster(started) -> typing.Iterator[engines.EngineCluster]:
    yield started
    started.restart_dead()
    waiting.until(started.is_serving, 20, "all serve")


@pytest.fixture
def crashing() -> str:
    """A prompt that no test before has sent."""
    return f"briefing {next(names)} {engines.CRASH_WORD}"


def body(prompt: str, tokens: int = 8) -> dict[str, typing.Any]:
    return deployment.prompt_body(
        prompt, max_tokens=tokens, session=prompt[:60], deadline_ms=15_000
    )


def expected(prompt: str, tokens: int) -> list[str]:
    return answers.expected_answer(
        deployment.MODEL, deployment.VERSION, prompt, tokens
    )


def ask_to_the_end(
    cluster: engines.EngineCluster, prompt: str, tokens: int
) -> caller.Answer:
    """Ask as a patient caller does, at one entry after the other."""
    turns = itertools.count()

    def ask() -> caller.Answer | None:
        prompter = cluster.prompter(next(turns) % INSTANCES, organisation=1)
        answer = prompter.ask(body(prompt, tokens))
        return answer if answer.done else None

    return waiting.until(ask, 40, "a whole answer")


def condemn(cluster: engines.EngineCluster, prompt: str) -> caller.Answer:
    """Send a prompt until it is refused for what it did."""

    def ask() -> caller.Answer | None:
        answer = cluster.prompter(0).ask(body(prompt))
        reason = answer.problem.get("reason")
        return answer if reason == "condemned" else None

    return waiting.until(ask, 20, "the condemnation")


def test_sent_again_and_again_takes_down_two_engines(cluster, crashing):
    """Every engine goes down, one after the other.

    The caller of a prompt that crashes engines sends it again at each
    entry, as often as it is told to come back.
    """
    told = [
        cluster.prompter(turn % INSTANCES).ask(body(crashing))
        for turn in range(4 * INSTANCES)
    ]
    assert len(cluster.dead()) == 2
    assert told[0].ran == "unknown"
    last = told[INSTANCES:]
    assert {one.problem["reason"] for one in last} == {"condemned"}
    assert {one.ran for one in last} == {"no"}
    assert all(int(one.headers["Retry-After"]) > 60 for one in last)


def test_sent_at_all_entries_at_once_takes_down_two_engines(cluster, crashing):
    """Impatient callers send it at all entries in the same moment.

    Nothing speaks against the prompt yet; run at four engines at once it
    would take down all four.
    """
    with concurrent.futures.ThreadPoolExecutor(9) as pool:
        told = list(
            pool.map(
                lambda turn: cluster.prompter(turn % INSTANCES).ask(
                    body(crashing)
                ),
                range(9),
            )
        )
    assert len(cluster.dead()) <= 2
    assert not any(one.done for one in told)
    condemn(cluster, crashing)
    assert len(cluster.dead()) <= 2


def test_innocents_that_shared_an_engine_get_whole_answers(cluster, crashing):
    """Ordinary prompts run at the engines that another one takes down."""
    innocents = [words.prompt(50, f"{crashing}{one}") for one in range(8)]
    tokens = 200
    with concurrent.futures.ThreadPoolExecutor(9) as pool:
        asked = [
            pool.submit(ask_to_the_end, cluster, prompt, tokens)
            for prompt in innocents
        ]
        waiting.until(
            lambda: (
                sum(
                    worker.load()["running"]
                    for worker in cluster.workers.values()
                )
                >= len(innocents)
            ),
            what="the innocents run",
        )
        condemn(cluster, crashing)
        got = [one.result() for one in asked]
    assert len(cluster.dead()) == 2
    assert [one.tokens for one in got] == [
        expected(prompt, tokens) for prompt in innocents
    ]


def test_condemnation_outlives_all_agents(cluster, crashing):
    """All instances are replaced; the caller sends its prompt again."""
    condemn(cluster, crashing)
    assert len(cluster.dead()) == 2
    for machine in cluster.machines:
        for daemon in machine.daemons():
            daemon.kill()
    for machine in cluster.machines:
        for daemon in machine.daemons():
            daemon.start()

    condemn(cluster, crashing)
    assert len(cluster.dead()) == 2


def test_log_outage_does_not_raise_the_bound(cluster, crashing):
    """The log is away for as long as the prompt is sent again and again.

    What is known then rides between the agents, and goes to the log after.
    """
    cluster.log.set(outage=True)
    try:
        for turn in range(3 * INSTANCES):
            cluster.prompter(turn % INSTANCES).ask(body(crashing))
        condemn(cluster, crashing)
        assert len(cluster.dead()) == 2
    finally:
        cluster.log.set(outage=False)
    waiting.until(
        lambda: recorded(cluster, crashing) == 2, 10, "the losses in the log"
    )


def recorded(cluster: engines.EngineCluster, prompt: str) -> int:
    """Return how many losses of a prompt the log holds."""
    digest = requests.digest_prompt(prompt.split())
    case = evidence.identify_prompt(
        deployment.ORGANISATIONS[0], deployment.MODEL, digest
    )
    batch = logs.LogClient(cluster.log.address).read(records.STREAM, 0)
    key = deployment.SHARED_KEY.encode()
    found = {
        item.group
        for record in batch.records
        for item in records.decode(record.data, key, teams.Teams())
        if isinstance(item, evidence.EndpointLost)
        and item.fingerprint == case.fingerprint
    }
    return len(found)
