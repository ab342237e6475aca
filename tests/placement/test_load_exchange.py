from __future__ import annotations

import collections
import socket
import typing

import msgspec
import pytest

from briarseam import malformed
from briarseam.placement import load_exchange
from briarseam.placement import loads
from briarseam.testing import ports
from briarseam.testing import waiting
from briarseam.wire import datagrams

KEY = b"k" * 32
WORK = loads.Load(
    requests=1, waiting_tokens=9000, running=0, memory_tokens=9500
)


class Cell:
    """Instances that tell each other their work over loopback."""

    def __init__(self, names: str) -> None:
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
        self.telling = {
            name: load_exchange.LoadExchange(
                self.loads[name],
                name,
                address,
                lambda name=name: [
                    found
                    for other, found in self.addresses.items()
                    if other != name
                ],
                KEY,
                malformed.Tally(self.count),
            )
            for name, address in self.addresses.items()
        }

    def count(self, kind: malformed.Kind) -> None:
        self.malformed[kind] += 1

    def send(self, to: str, datagram: bytes) -> None:
        host, _, port = self.addresses[to].rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            sender.sendto(datagram, (host, int(port)))


@pytest.fixture
def cell() -> typing.Iterator[Cell]:
    made = Cell("abc")
    for telling in made.telling.values():
        telling.start()
    yield made
    for telling in made.telling.values():
        telling.stop()


def test_peers_know_work_long_before_a_heartbeat(cell):
    """Two instances send a long prompt to the same idle engine.

    The second one placed its prompt 0.1 s after the first and had not heard
    of it; its caller waited for both to be read.
    """
    cell.loads["a"].add("engine-1", WORK)
    for name in "bc":
        waiting.until(
            lambda name=name: cell.loads[name].of("engine-1") == WORK,
            0.4,
            "the work is known within a part of a heartbeat's interval",
        )
    cell.loads["a"].subtract("engine-1", WORK)
    for name in "bc":
        waiting.until(
            lambda name=name: cell.loads[name].of("engine-1") == loads.NO_LOAD,
            0.4,
        )


def test_changes_close_together_go_out_together(cell):
    for number in range(200):
        cell.loads["a"].add(f"engine-{number % 9}", WORK)
    waiting.until(
        lambda: (
            cell.loads["b"].cell_loads().keys() == cell.loads["a"].own.keys()
            and all(
                cell.loads["b"].of(name) == load
                for name, load in cell.loads["a"].own.items()
            )
        )
    )
    assert cell.telling["a"].sent < 100


def test_forged_and_unreadable_datagrams_are_noted_and_change_nothing(cell):
    content = msgspec.msgpack.encode(load_exchange.LoadDatagram("a", b"\xc1"))
    cell.send("b", b"anything")
    cell.send("b", datagrams.seal(b"another key", content))
    cell.send("b", datagrams.seal(KEY, content))
    cell.send("b", datagrams.seal(KEY, b"\xc1"))
    waiting.until(lambda: cell.malformed[malformed.Kind.DATAGRAM] == 4)
    assert cell.loads["b"].peer_totals == {}
    cell.loads["a"].add("engine-1", WORK)
    waiting.until(lambda: cell.loads["b"].of("engine-1") == WORK)


def test_a_peer_without_a_listener_holds_up_nobody(cell):
    """One instance is gone; what is sent to it comes back as an error."""
    cell.telling["b"].stop()
    for _ in range(5):
        cell.loads["a"].add("engine-1", WORK)
        waiting.until(
            lambda: (
                cell.loads["c"].of("engine-1")
                == cell.loads["a"].of("engine-1")
            )
        )


def test_more_work_than_a_datagram_holds_is_left_to_heartbeats(cell):
    told = cell.loads["a"].provide
    cell.loads["a"].provide = lambda: bytes(datagrams.MOST_BYTES)
    cell.telling["a"].send(["127.0.0.1:9"])
    cell.loads["a"].provide = told
    cell.loads["a"].add("engine-1", WORK)
    waiting.until(lambda: cell.loads["b"].of("engine-1") == WORK)
