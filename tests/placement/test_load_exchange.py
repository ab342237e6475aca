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
from briarseam.placement import notice_recipients
from briarseam.placement import urgency
from briarseam.placement import work_notices
from briarseam.testing import ports
from briarseam.testing import waiting
from briarseam.wire import datagrams

KEY = b"k" * 32
LOAD = loads.Load(
    requests=1, waiting_tokens=9000, running=0, memory_tokens=9500
)


class Cell:
    """Instances that exchange their loads over loopback.

    Parameters
    ----------
    names
        Names of the instances, of one letter each.
    at_once
        Whether they report large additions at once.
    remote
        Those that form a second cell.
    """

    def __init__(
        self, names: str, at_once: bool = False, remote: str = ""
    ) -> None:
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
                    if other != name and (other in remote) == (name in remote)
                ],
                KEY,
                malformed.Tally(self.count),
                urgency.UrgentReports() if at_once else None,
                notice_recipients.Recipients(
                    lambda name=name: [
                        address
                        for other, address in self.addresses.items()
                        if (other in remote) != (name in remote)
                    ]
                ),
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
    """A cell that reports large additions at once, others each 2 s."""
    monkeypatch.setattr(load_exchange, "BATCH_S", 2.0)
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
    waiting.until(lambda: telling_cell.loads["b"].of("engine-1") == small, 1.4)
    telling_cell.loads["a"].add("engine-1", LOAD)
    for name in "bc":
        waiting.until(
            lambda name=name: (
                telling_cell.loads[name].of("engine-1") == LOAD.plus(small)
            ),
            1.4,
            "the load is known before the interval has passed",
        )


def test_decrease_and_small_addition_wait_for_the_interval(telling_cell):
    """Guards against more datagrams than those for large additions."""
    telling_cell.loads["a"].add("engine-1", LOAD)
    waiting.until(lambda: telling_cell.loads["b"].of("engine-1") == LOAD, 1.4)
    waiting.until(lambda: telling_cell.exchanges["a"].sent == 2)
    telling_cell.loads["a"].subtract("engine-1", LOAD)
    telling_cell.loads["a"].add("engine-2", loads.Load(1, 10, 0, 0))
    time.sleep(0.3)
    assert telling_cell.exchanges["a"].sent == 2
    waiting.until(
        lambda: telling_cell.loads["b"].of("engine-1") == loads.NO_LOAD, 5.0
    )


def test_instances_of_another_cell_are_notified():
    """Guards against prompts sent behind a large one of another cell.

    A cell's load is published only twice a second, and not at all here.
    """
    noticed = loads.Load(waiting_tokens=LOAD.waiting_tokens)
    with running(Cell("abcd", at_once=True, remote="cd")) as made:
        made.loads["a"].add("engine-1", LOAD)
        made.loads["a"].add("engine-2", loads.Load(waiting_tokens=1999))
        waiting.until(lambda: made.loads["b"].of("engine-1") == LOAD, 1.4)
        for name in "cd":
            waiting.until(
                lambda name=name: made.loads[name].of("engine-1") == noticed,
                1.4,
            )
            assert made.loads[name].of("engine-2") == loads.NO_LOAD
        waiting.until(lambda: made.loads["b"].of("engine-2") != loads.NO_LOAD)
        assert made.loads["b"].noticed.totals == {}
        counters = {
            name: exchange.notice_counters
            for name, exchange in made.exchanges.items()
        }
        waiting.until(lambda: counters["a"].sent.value == 2)
        waiting.until(lambda: counters["c"].received.value == 1)
        assert counters["a"].skipped.value == 0
        for name in "cd":
            waiting.until(
                lambda name=name: (
                    made.loads[name].of("engine-1") == loads.NO_LOAD
                ),
                work_notices.MAX_AGE_S + 2.0,
                "the notice lapses",
            )
        assert not made.malformed


def test_notice_without_the_switch_or_of_another_key_is_not_counted(cell):
    content = work_notices.encode(
        work_notices.WorkNotice("x", 1, 1, (("engine-1", 5000),))
    )
    counters = cell.exchanges["b"].notice_counters
    cell.send("b", datagrams.seal(b"another key", content))
    waiting.until(lambda: cell.malformed[malformed.Kind.DATAGRAM] == 1)
    cell.send("b", datagrams.seal(KEY, content))
    waiting.until(lambda: counters.dropped.value == 1)
    assert cell.loads["b"].of("engine-1") == loads.NO_LOAD
    assert cell.malformed[malformed.Kind.DATAGRAM] == 1


def test_notices_go_out_while_reports_lack_budget(monkeypatch):
    """Guards against notices that wait for the reports in the cell."""
    monkeypatch.setattr(load_exchange, "BATCH_S", 2.0)
    monkeypatch.setattr(urgency, "BURST_REPORTS", 0)
    with running(Cell("abc", at_once=True, remote="c")) as made:
        made.loads["a"].add("engine-1", loads.Load(waiting_tokens=10))
        waiting.until(lambda: made.exchanges["a"].sent == 1, 1.4)
        made.loads["a"].add("engine-1", LOAD)
        waiting.until(
            lambda: made.loads["c"].of("engine-1") != loads.NO_LOAD, 1.4
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
