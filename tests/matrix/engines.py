"""A cluster whose engines are processes that can crash and freeze."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import typing

from tests.matrix import processes
from tests.matrix import proxy
import urllib3

from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import ports

CRASH_WORD = "capsize"
SWITCHES = {
    "prefill_s_per_piece": "0.02",
    "token_s": "0.02",
    "load_lag_ms": "0",
    "crash_word": CRASH_WORD,
    "slots": "8",
}


@dataclasses.dataclass
class EngineProcess:
    """One stand-in engine.

    Attributes
    ----------
    address
        ``ip:port``.
    """

    address: str
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it and wait until it listens."""
        pairs = [f"--set={name}={value}" for name, value in SWITCHES.items()]
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "briarseam",
                "stand-in",
                "engine",
                f"--listen={self.address}",
                f"--model={deployment.MODEL}={deployment.VERSION}",
                *pairs,
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "PYTHONPATH": str(processes.SOURCE)},
        )
        assert self.process.stdout is not None
        assert self.process.stdout.readline()

    def is_dead(self) -> bool:
        """Tell whether its process ended."""
        assert self.process is not None
        return self.process.poll() is not None

    def kill(self) -> None:
        """End it."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        self.process.wait()
        assert self.process.stdout is not None
        self.process.stdout.close()

    def send(self, number: signal.Signals) -> None:
        """Send it a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def load(self) -> dict[str, typing.Any]:
        """Return its load."""
        response = urllib3.request(
            "GET", f"http://{self.address}/load", timeout=2, retries=False
        )
        return dict(response.json())


class EngineCluster(processes.Cluster):
    """Agents, entries and engines as processes.

    Parameters
    ----------
    folder
        Where settings go.
    instances, engines
        How many.
    overrides
        Settings of the instances.
    proxied
        Whether each engine stands behind a proxy.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int,
        engines: int,
        overrides: tuple[str, ...] = (),
        proxied: bool = False,
    ) -> None:
        super().__init__(folder, instances, overrides)
        self.workers = {
            f"engine-{number}": EngineProcess(f"{processes.IP}:{port}")
            for number, port in enumerate(
                ports.free_ports(engines, processes.IP)
            )
        }
        self.to_engines = {
            name: proxy.Proxy(worker.address)
            for name, worker in self.workers.items()
            if proxied
        }

    def tree(self) -> dict[str, typing.Any]:
        """Return the configuration with the engines' processes."""
        tree = super().tree()
        # Faults follow each other faster here than retries are earned.
        tree["policies/routing"] = {"retry_budget": 1.0}
        for name, worker in self.workers.items():
            link = self.to_engines.get(name)
            tree[f"endpoints/{name}"] = {
                "kind": "engine",
                "address": link.address if link else worker.address,
                "zone": self.zone(0),
                "models": [deployment.MODEL],
            }
        return tree

    def start_instances(self) -> None:
        """Start engines, agents and entries."""
        for worker in self.workers.values():
            worker.start()
        super().start_instances()

    def __exit__(self, *exc_info: object) -> None:
        """Stop everything."""
        for worker in self.workers.values():
            worker.kill()
        for link in self.to_engines.values():
            link.stop()
        super().__exit__(*exc_info)

    def is_serving(self) -> bool:
        """Tell whether each entry gets a prompt answered."""
        return all(
            self.prompter(number)
            .ask(deployment.prompt_body(f"ready {number}"))
            .done
            for number in range(len(self.machines))
        )

    def prompter(
        self, number: int, organisation: int = 0, silence_s: float = 20.0
    ) -> caller.Caller:
        """Return a caller at an instance's entry."""
        token = deployment.token_of(deployment.ORGANISATIONS[organisation])
        address = self.machines[number].entry_address
        return caller.Caller(address, token, silence_s)

    def dead(self) -> list[str]:
        """Return the engines whose process ended."""
        return [
            name for name, worker in self.workers.items() if worker.is_dead()
        ]

    def running_at(self) -> list[EngineProcess]:
        """Return the engines that run something."""
        return [
            worker
            for worker in self.workers.values()
            if not worker.is_dead() and worker.load()["running"]
        ]

    def arm(self, plan: proxy.Plan | None) -> None:
        """Set the fault to fire next on a link to any engine."""
        for link in self.to_engines.values():
            link.arm(plan)

    def restart_dead(self) -> None:
        """Do what the endpoints' own supervisor does."""
        for worker in self.workers.values():
            if worker.is_dead():
                worker.kill()
                worker.start()
