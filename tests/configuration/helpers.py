from __future__ import annotations

import secrets
import typing

from briarseam.backing import log as logs
from briarseam.configuration import fold as folds
from briarseam.configuration import publish
from briarseam.configuration import reader as readers
from briarseam.configuration import records
from briarseam.configuration import snapshotting
from briarseam.wire import connection as connections
from briarseam.wire import server

KEY = secrets.token_bytes(16)
FAST = readers.Options(
    log_wait_ms=200,
    peer_wait_ms=100,
    snapshots=snapshotting.Options(
        every_records=1000, backoff_s=0.05, check_s=0.02
    ),
)


class Agent:
    """A reader with a wire server, as in an agent."""

    def __init__(self, cluster, name, address, options):
        identity = connections.Identity("agent", name)
        client = logs.LogClient(address, append_timeout_s=0.5)
        self.name = name
        self.reader = readers.ConfigurationReader(
            client,
            cluster.teams,
            identity,
            KEY,
            cluster.members,
            cluster.other_cell_members,
            options,
        )
        router = server.Router()
        self.reader.register(router)
        self.server = server.Server("127.0.0.1:0", identity, KEY, router)
        self.server.start()
        self.reader.start()

    def stop(self):
        self.reader.stop()
        self.server.stop()


class Cluster:
    """Agents of one cell with their log and teams."""

    def __init__(self, log, teams):
        self.log = log
        self.teams = teams
        self.agents = {}
        self.other_cell_members = dict

    def members(self):
        return {
            name: agent.server.address
            for name, agent in dict(self.agents).items()
        }

    def add(self, name, address=None, options=FAST):
        agent = Agent(self, name, address or self.log.address, options)
        self.agents[name] = agent
        return agent

    def remove(self, name):
        self.agents.pop(name).stop()

    def offsets(self):
        return {agent.reader.offset() for agent in self.agents.values()}

    def client(self):
        return logs.LogClient(self.log.address, append_timeout_s=0.3)

    def publisher(self, fold=None, **options):
        return publish.Publisher(
            self.client(), self.teams, fold or folds.Fold(), **options
        )

    def append(self, change):
        data = records.encode(change, self.teams.sign)
        return self.log.stream(records.STREAM).append(data)


def change(
    sets: dict[str, typing.Any],
    expects: dict[str, int] | None = None,
    base: int = 0,
    author: str = "drafts",
    change_id: str = "",
) -> records.Change:
    """Return a change; paths not in ``expects`` are expected absent."""
    return records.Change(
        id=change_id or records.new_id(),
        author=author,
        operator="test",
        base=base,
        expects={path: 0 for path in sets} | (expects or {}),
        sets=sets,
    )
