"""Real agents and entries, each behind proxies, over stand-ins."""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import typing

from tests.matrix import proxy

from briarseam.claims import keys
from briarseam.claims import options
from briarseam.compose import claims as compose_claims
from briarseam.lookup import rank
from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import ports
from briarseam.testing import waiting

SOURCE = pathlib.Path(__file__).parents[2] / "src"
IP = "127.0.0.1"


@dataclasses.dataclass
class Daemon:
    """One process of the system.

    Attributes
    ----------
    command
        Subcommand.
    settings
        Path of its settings.
    overrides
        Settings that go before the file's, ``section.key=value``.
    """

    command: str
    settings: str
    overrides: tuple[str, ...] = ()
    process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start it and wait until it listens."""
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "briarseam",
                self.command,
                "--settings",
                self.settings,
                *(f"--set={one}" for one in self.overrides),
            ],
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": str(SOURCE)},
        )
        assert self.process.stdout is not None
        assert self.process.stdout.readline()

    def kill(self) -> None:
        """End it as a lost instance ends."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        self.process.wait()
        if self.process.stdout is not None:
            self.process.stdout.close()

    def stop(self, timeout_s: float = 30.0) -> int:
        """End it as operators do; return its exit status."""
        assert self.process is not None
        self.process.terminate()
        return self.process.wait(timeout_s)

    def freeze(self) -> None:
        """Stop it in its tracks."""
        assert self.process is not None
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let it go on."""
        assert self.process is not None
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)

    def revive(self) -> None:
        """Make sure that it runs."""
        assert self.process is not None
        self.thaw()
        if self.process.poll() is not None:
            self.start()


@dataclasses.dataclass
class Instance:
    """An agent and an entry with the links into them."""

    agent: Daemon
    entry: Daemon
    entry_address: str
    from_entry: proxy.Proxy
    from_peers: proxy.Proxy
    to_log: proxy.Proxy

    def daemons(self) -> tuple[Daemon, Daemon]:
        """Return both processes."""
        return (self.agent, self.entry)

    def proxies(self) -> tuple[proxy.Proxy, ...]:
        """Return all links."""
        return (self.from_entry, self.from_peers, self.to_log)


class Cluster(deployment.Deployment):
    """A deployment whose agents and entries are processes.

    Parameters
    ----------
    folder
        Where settings go.
    instances
        How many.
    overrides
        Settings of all of them, ``section.key=value``.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int = 2,
        overrides: tuple[str, ...] = (),
    ) -> None:
        self.overrides = overrides
        shape = deployment.Shape(instances, engines=1, services=1)
        super().__init__(folder, shape)
        self.to_service = proxy.Proxy()
        self.to_engine = proxy.Proxy()
        self.machines: list[Instance] = []

    def tree(self) -> dict[str, typing.Any]:
        """Return the configuration, the service behind its proxy."""
        self.to_service.target = self.services["service-0"].address
        self.to_engine.target = self.engines["engine-0"].address
        tree = super().tree()
        tree["endpoints/engine-0"]["address"] = self.to_engine.address
        tree["endpoints/service-0"]["address"] = self.to_service.address
        tree[f"services/{deployment.SERVICE}"]["timeout_ms"] = 500
        return tree

    def start_instances(self) -> None:
        """Start the processes."""
        count = self.shape.instances
        numbers = ports.free_ports(2 * count, IP)
        links = [
            [proxy.Proxy(f"{IP}:{port}") for _ in range(2)]
            for port in numbers[:count]
        ]
        seeds = [from_peers.address for _, from_peers in links]
        for number, (from_entry, from_peers) in enumerate(links):
            to_log = proxy.Proxy(self.log.address)
            entry = f"{IP}:{numbers[count + number]}"
            path = self.folder / f"instance-{number}.ini"
            text = deployment.SETTINGS.format(
                name=f"instance-{number}",
                zone="zone-0",
                agent=from_entry.target,
                entry=entry,
                seeds=", ".join(seeds),
                shared_key=deployment.SHARED_KEY,
                log=to_log.address,
                instances=self.list.address,
                weights=self.weights.address,
                team=deployment.TEAM,
                team_key=deployment.TEAM_KEY,
                paths=", ".join(deployment.PATHS),
            )
            text = text.replace(
                f"agent_address = {from_entry.target}",
                f"agent_address = {from_peers.address}",
            )
            text = text.replace(
                f"\nagent = {from_entry.target}",
                f"\nagent = {from_entry.address}",
            )
            text += "[claims]\nbatch_ms = 5\n"
            path.write_text(self.adjust(text))
            self.machines.append(
                Instance(
                    Daemon("agent", str(path), self.overrides),
                    Daemon("entry", str(path), self.overrides),
                    entry,
                    from_entry,
                    from_peers,
                    to_log,
                )
            )
        for machine in self.machines:
            for daemon in machine.daemons():
                daemon.start()

    def adjust(self, text: str) -> str:
        """Return an instance's settings as this cluster needs them."""
        return text.replace("[platform]", PLATFORM)

    def __exit__(self, *exc_info: object) -> None:
        """Stop everything."""
        for machine in self.machines:
            for daemon in machine.daemons():
                daemon.kill()
            for link in machine.proxies():
                link.stop()
        self.to_service.stop()
        self.to_engine.stop()
        super().__exit__(*exc_info)

    def is_serving(self) -> bool:
        """Tell whether each instance makes a call with each shard's keys."""
        return all(
            self.submit(number, self.key_of(shard)).status == 200
            for number in range(len(self.machines))
            for shard in range(options.SHARDS)
        )

    def is_answering(self) -> bool:
        """Tell whether a prompt sent to each instance is answered.

        An agent that has just started makes service calls some tenths of a
        second before it knows an engine that serves prompts.
        """
        return all(
            self.ask(number, caller.new_key()).done
            for number in range(len(self.machines))
        )

    def heal(self) -> None:
        """Undo all faults and wait until all serves again."""
        for link in self.links():
            link.arm(None)
        for machine in self.machines:
            for daemon in machine.daemons():
                daemon.revive()
        self.log.set(outage=False, delay_ms=0, lose_answers=0)
        waiting.until(self.is_serving, 20, "the cluster serves again")

    def links(self) -> list[proxy.Proxy]:
        """Return all links."""
        return [
            self.to_service,
            self.to_engine,
            *(link for one in self.machines for link in one.proxies()),
        ]

    def submit(
        self, number: int, key: str, silence_s: float = 4.0
    ) -> caller.CallResult:
        """Make a call that may not repeat at an instance's entry."""
        address = self.machines[number].entry_address
        token = deployment.token_of(deployment.ORGANISATIONS[0])
        return caller.Caller(address, token, silence_s).call(
            deployment.SERVICE, deployment.CALL, {"key": key}, key
        )

    def ask(
        self, number: int, key: str, silence_s: float = 4.0
    ) -> caller.Answer:
        """Send a prompt that may not repeat to an instance's entry."""
        address = self.machines[number].entry_address
        token = deployment.token_of(deployment.ORGANISATIONS[0])
        body = deployment.prompt_body(f"book {key}", idempotent=False)
        return caller.Caller(address, token, silence_s).ask(body, key)

    def engine_starts(self) -> int:
        """Return how many runs the engine started in all."""
        return sum(self.engines["engine-0"].book.counts().values())

    def runs(self, key: str) -> int:
        """Return how often a key's call took effect."""
        return self.services["service-0"].runs.get(key, 0)

    def key_of(self, shard: int) -> str:
        """Return a fresh key that a shard keeps."""
        organisation = deployment.ORGANISATIONS[0]
        while True:
            key = caller.new_key()
            if keys.shard_of(organisation, key, options.SHARDS) == shard:
                return key

    def key_owned_by(self, number: int) -> str:
        """Return a fresh key whose shard an instance owns."""
        names = [f"instance-{one}" for one in range(len(self.machines))]
        for shard in range(options.SHARDS):
            ranked = rank.ranked(
                compose_claims.RANK_KEY.format(shard), names, str
            )
            if ranked[0] == names[number]:
                return self.key_of(shard)
        raise AssertionError(f"instance {number} owns no shard")


PLATFORM = """\
[platform]
log_timeout_ms = 500ms"""
