"""Crashing prompts and innocents, from a seed, over real processes.

Each round a fresh prompt that crashes engines is sent by several callers at
all entries, while innocents stream; now and then an instance is killed.
Counts engines lost a prompt, innocents' answers, and what was told.
"""

from __future__ import annotations

import argparse
import collections
import concurrent.futures
import json
import pathlib
import random
import sys
import tempfile
import time
import typing

from tests.matrix import engines

from briarseam.testing import answers
from briarseam.testing import deployment
from briarseam.testing import waiting

INSTANCES = 3
ENGINES = 4
CALLERS = 4
RESENDS = 4
INNOCENTS = 6
TOKENS = 80
PATIENCE_S = 60.0
KILL_SHARE = 0.4


class Rounds:
    """The rounds of one run and what they count."""

    def __init__(self, cluster: engines.EngineCluster, seed: int) -> None:
        self.cluster = cluster
        self.random = random.Random(seed)
        self.seed = seed
        self.lost: collections.Counter[int] = collections.Counter()
        self.told: collections.Counter[str] = collections.Counter()
        self.asked: collections.Counter[int] = collections.Counter()
        self.wrong = 0
        self.killed = 0
        self.waits_s: list[float] = []

    def run(self, number: int) -> None:
        """Play one round."""
        guilty = f"guilty {self.seed} {number} {engines.CRASH_WORD}"
        with concurrent.futures.ThreadPoolExecutor(16) as pool:
            innocents = [
                pool.submit(self.ask_innocent, f"innocent {number} {one}")
                for one in range(INNOCENTS)
            ]
            time.sleep(self.random.uniform(0.1, 0.8))
            callers = [
                pool.submit(self.send_guilty, guilty, one)
                for one in range(CALLERS)
            ]
            if self.random.random() < KILL_SHARE:
                self.kill_one()
            for one in [*callers, *innocents]:
                one.result()
        self.lost[len(self.cluster.dead())] += 1
        print(f"round {number}: {dict(self.lost)}", file=sys.stderr)
        self.cluster.restart_dead()
        waiting.until(self.cluster.is_serving, 60, "all serve")

    def kill_one(self) -> None:
        """Kill and restart an agent or an entry."""
        machine = self.random.choice(self.cluster.machines)
        daemon = self.random.choice(machine.daemons())
        daemon.kill()
        daemon.start()
        self.killed += 1

    def send_guilty(self, prompt: str, number: int) -> None:
        """Send a crashing prompt at one entry after the other."""
        for turn in range(RESENDS):
            prompter = self.cluster.prompter((number + turn) % INSTANCES)
            answer = prompter.ask(body(prompt))
            self.told[
                f"{answer.problem.get('reason', 'cut')} {answer.ran}".strip()
            ] += 1

    def ask_innocent(self, prompt: str) -> None:
        """Ask until the answer is whole, at one entry after the other."""
        began = time.monotonic()
        turn = 0
        while time.monotonic() - began < PATIENCE_S:
            prompter = self.cluster.prompter(turn % INSTANCES, 1)
            turn += 1
            answer = prompter.ask(body(prompt))
            if answer.done:
                self.wrong += answer.tokens != answers.expected_answer(
                    deployment.MODEL, deployment.VERSION, prompt, TOKENS
                )
                self.asked[turn] += 1
                self.waits_s.append(time.monotonic() - began)
                return
            time.sleep(float(answer.headers.get("Retry-After", 0.1)) / 4)
        self.asked[-1] += 1

    def result(self, rounds: int) -> dict[str, typing.Any]:
        """Return the counts."""
        waits = sorted(self.waits_s)
        return {
            "seed": self.seed,
            "rounds": rounds,
            "instances": INSTANCES,
            "engines": ENGINES,
            "callers_a_round": CALLERS,
            "sends_a_caller": RESENDS,
            "processes_killed": self.killed,
            "rounds_by_engines_lost": dict(sorted(self.lost.items())),
            "told_of_crashing_prompts": dict(self.told),
            "innocents_by_times_asked": dict(sorted(self.asked.items())),
            "innocents_with_wrong_answers": self.wrong,
            "innocents_s": {
                "p50": waits[len(waits) // 2],
                "p95": waits[int(len(waits) * 0.95)],
                "max": waits[-1],
            },
        }


def body(prompt: str) -> dict[str, typing.Any]:
    """Return a request for an answer."""
    return deployment.prompt_body(
        prompt, max_tokens=TOKENS, session=prompt, deadline_ms=10_000
    )


def main() -> None:
    """Run and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--rounds", type=int, default=20)
    parser.add_argument("--out", type=pathlib.Path)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder)
        with engines.EngineCluster(path, INSTANCES, ENGINES) as cluster:
            rounds = Rounds(cluster, args.seed)
            for number in range(args.rounds):
                rounds.run(number)
            result = rounds.result(args.rounds)
    text = json.dumps(result, indent=2) + "\n"
    print(text, end="")
    if args.out:
        args.out.write_text(text)


if __name__ == "__main__":
    main()
