from __future__ import annotations

import collections
import contextlib
import socket
import time
import typing

import msgspec
import pytest

from briarseam import malformed
from briarseam.placement import load_exchange
from briarseam.placement import loads
from briarseam.placement import urgency
from briarseam.testing import ports
from briarseam.testing import waiting
from briarseam.wire import datagrams

KEY = b"k" * 32
LOAD = loads.Load(
    requests=1, waiting_tokens=9000, running=0, memory_tokens=9500
)


class Cell:
    """Instances that exchange their loads over loopback."""

    def __init__(self, names: str, at_once: bool = False) -> None:
        numbers = ports.free_ports(len(names), "127.0.0.1")
        self.addresses = dict(
            zip(
                names,
                [f"127.0.0.1:{number}" for number in numbers],
                strict=True,
            )
        )
        self.malformed: collections.Counter[malformed.Kind] = (
            collections.Counter()
        )
        self.loads = {name: loads.Loads() for name in names}
        self.exchanges = {
            name: load_exchange.LoadExchange(
                self.loads[name],
                name,
                address,
                lambda name=name: [
                    peer_address
                    for other, peer_address in self.addresses.items()
                    if other != name
                ],
                KEY,
                malformed.Tally(self.count),
                urgency.UrgentReports() if at_once else None,
            )
            for name, address in self.addresses.items()
        }

    def count(self, kind: malformed.Kind) -> None:
        self.malformed[kind] += 1

    def send(self, to: str, datagram: bytes) -> None:
        host, _, port = self.addresses[to].rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(datagram, (host, int(port)))


@contextlib.contextmanager
def running(made: Cell) -> typing.Iterator[Cell]:
    for exchange in made.exchanges.values():
        exchange.start()
    yield made
    for exchange in made.exchanges.values():
        exchange.stop()


@pytest.fixture
def cell() -> typing.Iterator[Cell]:
    with running(Cell("abc")) as made:
        yield made


@pytest.fixture
def telling_cell(monkeypatch) -> typing.Iterator[Cell]:
    """A cell that reports large additions at once, others each second."""
    monkeypatch.setattr(load_exchange, "BATCH_S", 1.0)
    with running(Cell("abc", at_once=True)) as made:
        yield made


def test_peers_learn_load_before_the_next_heartbeat(cell):
    """Guards against two long prompts sent to the same idle engine.

    An instance that places one 0.1 s after another instance did must know of
    it, or its caller waits for both prefills.
    """
    cell.loads["a"].add("engine-1", LOAD)
    for name in "bc":
        waiting.until(
            lambda name=name: cell.loads[name].of("engine-1") == LOAD,
            0.4,
            "the load is known within less than a heartbeat interval",
        )
    cell.loads["a"].subtract("engine-1", LOAD)
    for name in "bc":
        waiting.until(
            lambda name=name: cell.loads[name].of("engine-1") == loads.NO_LOAD,
            0.4,
        )


def test_large_addition_precedes_the_interval(telling_cell):
    """Guards against prompts sent behind a large one that peers know late.

    The interval of a cell of 31 instances is as long as the prefill of a
    prompt of 10,000 tokens.
    """
    small = loads.Load(requests=1, waiting_tokens=10)
    telling_cell.loads["a"].add("engine-1", small)
    waiting.until(lambda: telling_cell.loads["b"].of("engine-1") == small, 0.5)
    telling_cell.loads["a"].add("engine-1", LOAD)
    for name in "bc":
        waiting.until(
            lambda name=name: (
                telling_cell.loads[name].of("engine-1") == LOAD.plus(small)
            ),
            0.5,
            "the load is known before the interval has passed",
        )


def test_decrease_and_small_addition_wait_for_the_interval(telling_cell):
    """Guards against more datagrams than those for large additions."""
    telling_cell.loads["a"].add("engine-1", LOAD)
    waiting.until(lambda: telling_cell.loads["b"].of("engine-1") == LOAD, 0.5)
    sent = telling_cell.exchanges["a"].sent
    telling_cell.loads["a"].subtract("engine-1", LOAD)
    telling_cell.loads["a"].add("engine-2", loads.Load(1, 10, 0, 0))
    time.sleep(0.3)
    assert telling_cell.exchanges["a"].sent == sent
    waiting.until(
        lambda: telling_cell.loads["b"].of("engine-1") == loads.NO_LOAD, 2.0
    )


def test_rapid_changes_share_datagrams(cell):
    for number in range(200):
        cell.loads["a"].add(f"engine-{number % 9}", LOAD)
    waiting.until(
        lambda: (
            cell.loads["b"].cell_loads().keys() == cell.loads["a"].own.keys()
            and all(
                cell.loads["b"].of(name) == load
                for name, load in cell.loads["a"].own.items()
            )
        )
    )
    assert cell.exchanges["a"].sent < 100


def test_forged_and_malformed_datagrams_are_counted_and_ignored(cell):
    content = msgspec.msgpack.encode(load_exchange.LoadDatagram("a", b"\xc1"))
    cell.send("b", b"anything")
    cell.send("b", datagrams.seal(b"another key", content))
    cell.send("b", datagrams.seal(KEY, content))
    cell.send("b", datagrams.seal(KEY, b"\xc1"))
    waiting.until(lambda: cell.malformed[malformed.Kind.DATAGRAM] == 4)
    assert cell.loads["b"].peer_totals == {}
    cell.loads["a"].add("engine-1", LOAD)
    waiting.until(lambda: cell.loads["b"].of("engine-1") == LOAD)


def test_peer_without_a_listener_does_not_delay_others(cell):
    """An instance is gone; datagrams sent to it cause socket errors."""
    cell.exchanges["b"].stop()
    for _ in range(5):
        cell.loads["a"].add("engine-1", LOAD)
        waiting.until(
            lambda: (
                cell.loads["c"].of("engine-1")
                == cell.loads["a"].of("engine-1")
            )
        )


def test_load_too_large_for_a_datagram_is_left_to_heartbeats(cell):
    provide = cell.loads["a"].provide
    cell.loads["a"].provide = lambda: bytes(datagrams.MAX_DATAGRAM_BYTES)
    cell.exchanges["a"].send(["127.0.0.1:9"])
    cell.loads["a"].provide = provide
    cell.loads["a"].add("engine-1", LOAD)
    waiting.until(lambda: cell.loads["b"].of("engine-1") == LOAD)
