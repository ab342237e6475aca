from __future__ import annotations

import contextlib
import dataclasses
import secrets
import typing

import pytest
from tests.claims import fake_log

from briarseam import verdict
from briarseam.claims import followed
from briarseam.claims import keys
from briarseam.claims import messages
from briarseam.claims import options
from briarseam.claims import records
from briarseam.claims import service
from briarseam.metrics import registry
from briarseam.testing import waiting
from briarseam.wire import client as wire_client
from briarseam.wire import connection as connections
from briarseam.wire import server as wire_server

KEY = secrets.token_bytes(16)
OPTIONS = options.Options(batch_ms=0.0, wait_s=5.0)
WAIT_S = 5.0


@dataclasses.dataclass
class Agent:
    """Claims of one agent and the server for its peers."""

    claims: service.Claims
    server: wire_server.Server

    def claim(
        self, key: str, organisation: str = "havn", wait_s: float = WAIT_S
    ) -> messages.Result:
        attempt = self.claims.new_attempt()
        return self.claims.claim(organisation, key, b"x", attempt, wait_s)


@dataclasses.dataclass
class Client:
    """Calls another agent; drops the reply if the cell says so."""

    cell: Cell
    client: wire_client.Client

    def call(self, request: typing.Any, timeout_s: float) -> typing.Any:
        reply = self.client.call(request, timeout_s)
        if self.cell.lose_replies:
            self.cell.lose_replies -= 1
            raise wire_client.CallLostError("cut")
        return reply


@dataclasses.dataclass
class Cell:
    """Agents with one log; a test sets which agent owns the shards."""

    log: fake_log.FakeLog
    stack: contextlib.ExitStack
    owner: str = "agent-1"
    lose_replies: int = 0
    agents: dict[str, Agent] = dataclasses.field(default_factory=dict)

    def add(self, name: str, incarnation: str = "1") -> Agent:
        identity = connections.Identity("agent", name)
        router = wire_server.Router()
        server = wire_server.Server("127.0.0.1:0", identity, KEY, router)
        peers = options.Peers(
            lambda shard: self.agents[self.owner].server.address,
            lambda address: Client(
                self, wire_client.Client(address, identity, KEY)
            ),
        )
        claims = service.Claims(
            self.log,
            options.Holder(name, incarnation, server.address),
            peers,
            OPTIONS,
            registry.Registry(),
        )
        claims.register(router)
        self.agents[name] = Agent(claims, server)
        server.start()
        claims.start()
        self.stack.callback(server.stop)
        self.stack.callback(claims.stop)
        return self.agents[name]

    def key(self) -> str:
        return keys.make(self.log.clock_ms)


@pytest.fixture
def cell() -> typing.Iterator[Cell]:
    with contextlib.ExitStack() as stack:
        cell = Cell(fake_log.FakeLog(), stack)
        cell.add("agent-1")
        cell.add("agent-2")
        claims = cell.agents["agent-1"].claims
        waiting.until(
            lambda: all(
                s.readiness_refusal() is None for s in claims.followed.all()
            )
        )
        yield cell


@pytest.mark.parametrize(
    "names",
    [("agent-1", "agent-2"), ("agent-2", "agent-1")],
    ids=["owner first", "peer first"],
)
def test_key_claimed_at_one_agent_is_held_at_the_other(
    cell: Cell, names: tuple[str, str]
) -> None:
    key = cell.key()
    first, second = (cell.agents[name] for name in names)
    assert isinstance(first.claim(key), messages.Won)
    assert isinstance(second.claim(key), messages.InProgress)
    assert isinstance(second.claim(key, "kyst"), messages.Won)


def test_only_the_owner_follows_the_streams(cell: Cell) -> None:
    cell.agents["agent-2"].claim(cell.key())
    assert cell.agents["agent-2"].claims.followed.all() == []


def test_outcome_settled_at_a_peer_is_replayed(cell: Cell) -> None:
    key = cell.key()
    first, second = cell.agents.values()
    won = second.claim(key)
    assert isinstance(won, messages.Won)
    outcome = records.Outcome(201, b"filed")
    second.claims.settle("havn", key, won.attempt, outcome)
    again = waiting.until(
        lambda: (
            result
            if isinstance(result := first.claim(key), messages.Finished)
            else None
        )
    )
    assert again == messages.Finished(outcome)


@pytest.mark.parametrize(
    ("end", "expected"),
    [
        (verdict.NotRun(verdict.Reason.NO_ENDPOINT), messages.Won),
        (verdict.MayHaveRun(verdict.Reason.ENDPOINT_LOST), messages.Unknown),
    ],
    ids=["not run", "lost"],
)
def test_settlement_determines_result_of_next_claim(
    cell: Cell, end: typing.Any, expected: type
) -> None:
    key = cell.key()
    agent = cell.agents["agent-2"]
    won = agent.claim(key)
    assert isinstance(won, messages.Won)
    agent.claims.settle("havn", key, won.attempt, end)
    waiting.until(lambda: not agent.claims.count_pending())
    assert type(agent.claim(key)) is expected


def test_key_of_abandoned_claim_is_freed(cell: Cell) -> None:
    """Guards against a key that stays claimed although nothing ran.

    The log is slow, the caller is refused after the maximum wait, and the
    claim appears in the stream afterwards.
    """
    key = cell.key()
    agent = cell.agents["agent-2"]
    cell.log.fates.append(fake_log.Fate.LATE)
    cell.log.fates.extend([fake_log.Fate.REFUSED] * 3)
    given_up = agent.claim(key, wait_s=0.0)
    assert isinstance(given_up, messages.NotClaimed)
    waiting.until(lambda: cell.log.late)
    cell.log.arrive()
    waiting.until(lambda: not agent.claims.count_pending())
    assert isinstance(agent.claim(key), messages.Won)


def test_claim_at_unreachable_owner_is_not_claimed(cell: Cell) -> None:
    cell.agents["agent-1"].server.stop()
    result = cell.agents["agent-2"].claim(cell.key())
    assert isinstance(result, messages.NotClaimed)
    assert result.retry_after_s > 0


def test_change_of_owner_makes_no_second_winner(cell: Cell) -> None:
    """Guards against a request that runs twice when an instance joins.

    The shard's owner changes between two claims; the new owner has not
    followed the stream and must read the window before it answers.
    """
    key = cell.key()
    assert isinstance(cell.agents["agent-1"].claim(key), messages.Won)
    cell.owner = "agent-2"
    agent = cell.agents["agent-2"]
    results = []
    waiting.until(
        lambda: (
            results.append(agent.claim(key))
            or not isinstance(results[-1], messages.NotClaimed)
        )
    )
    assert isinstance(results[-1], messages.InProgress)


def test_key_of_stopped_holder_is_unknown_at_another_agent(
    cell: Cell,
) -> None:
    """An agent stops after it won a claim."""
    key = cell.key()
    assert isinstance(cell.agents["agent-2"].claim(key), messages.Won)
    cell.agents["agent-2"].server.stop()
    assert isinstance(cell.agents["agent-1"].claim(key), messages.Unknown)


def test_other_body_and_malformed_keys_are_not_run(cell: Cell) -> None:
    key = cell.key()
    agent = cell.agents["agent-1"]
    agent.claim(key)
    reused = agent.claims.claim("havn", key, b"y", "other")
    invalid = agent.claims.claim("havn", "booking-1", b"x", "third")
    for result in (reused, invalid):
        refusal_verdict = messages.verdict_of(
            typing.cast("messages.Refusal", result)
        )
        assert isinstance(refusal_verdict, verdict.NotRun)
        assert refusal_verdict.retry_after_s is None


def test_key_of_claim_with_lost_reply_is_freed(cell: Cell) -> None:
    """Guards against a key that stays claimed although nothing ran.

    The shard's owner appended the claim and it won, but the reply to the
    claiming agent was lost.
    """
    key = cell.key()
    agent = cell.agents["agent-2"]
    cell.lose_replies = 1
    assert isinstance(agent.claim(key), messages.NotClaimed)
    waiting.until(lambda: not agent.claims.count_pending())
    assert isinstance(agent.claim(key), messages.Won)


def test_claims_before_a_restart_of_the_agent_are_unknown(
    cell: Cell,
) -> None:
    """Guards against "in progress" for ever after an agent restarts."""
    key = cell.key()
    assert isinstance(cell.agents["agent-1"].claim(key), messages.Won)
    again = cell.add("agent-1", "2")
    results = []
    waiting.until(
        lambda: (
            results.append(again.claim(key))
            or not isinstance(results[-1], messages.NotClaimed)
        )
    )
    assert isinstance(results[-1], messages.Unknown)


def test_shard_that_another_agent_owns_is_released(
    cell: Cell, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against former owners of a stream that still poll the log."""
    agent = cell.agents["agent-1"]
    cell.owner = "agent-2"
    agent.claims.followed.release_unused()
    assert agent.claims.followed.all()
    monkeypatch.setattr(followed, "RELEASE_AFTER_S", -1.0)
    # The agent's own thread may still follow a shard that it owned.
    waiting.until(
        lambda: (
            agent.claims.followed.release_unused()
            or not agent.claims.followed.all()
        )
    )
