"""Notices of work, and the cell loads that include it."""

from __future__ import annotations

import itertools
import types

import msgspec
import pytest

from briarseam.placement import cell_loads
from briarseam.placement import load_exchange
from briarseam.placement import loads
from briarseam.placement import urgency
from briarseam.placement import work_notices
from briarseam.wire import codec
from briarseam.wire import connection
from briarseam.wire import datagrams
from tests import clocks

TOKENS = 10_000
LOAD = loads.Load(requests=1, waiting_tokens=TOKENS)
KEY = b"k" * 32


class Instance:
    """An instance that knows what is delivered to it."""

    def __init__(self, name, clock):
        self.name = name
        self.clock = clock
        self.sent = []
        cells = types.SimpleNamespace(
            name=lambda: name[0],
            size=lambda: 2,
            is_speaker=lambda: True,
            addresses=lambda: ["remote"],
            publish_load=lambda address, message: self.sent.append(message),
        )
        self.start()
        self.cell_loads = cell_loads.CellLoads(
            self.loads, cells, clock, local_name=name
        )

    def start(self):
        """Start the process of this instance."""
        self.loads = loads.Loads(lambda: 2, lambda: 4, self.clock)
        self.urgent = urgency.UrgentReports(self.clock)
        self.loads.record_addition = self.urgent.record

    def notice(self):
        additions = self.urgent.take_additions()
        return work_notices.WorkNotice(
            self.name,
            self.loads.incarnation,
            additions.sequence,
            additions.rows,
        )

    def cell_load(self):
        self.cell_loads.publish()
        return self.sent.pop()

    def waiting(self):
        """Return the tokens counted at the engine, without estimates."""
        cells = self.loads.cells.values()
        return self.loads.noticed.current().get("engine-1", 0) + sum(
            cell.loads.get("engine-1", loads.NO_LOAD).waiting_tokens
            for cell in cells
        )

    def receive(self, message):
        """Apply a message; return whether it was new, if it is a notice."""
        match message:
            case work_notices.WorkNotice():
                return self.loads.noticed.apply(message)
            case cell_loads.CellLoad():
                self.cell_loads.answer(message)
        return None


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def sender(clock):
    return Instance("a1", clock)


@pytest.fixture
def speaker(clock):
    return Instance("a2", clock)


@pytest.fixture
def receiver(clock):
    return Instance("b1", clock)


def send(sender, speaker):
    """Send a large prompt, and tell the speaker; return the notice."""
    sender.loads.add("engine-1", LOAD)
    speaker.loads.consume(sender.name, sender.loads.provide())
    return sender.notice()


def test_notice_counts_until_a_load_that_includes_it(
    sender, speaker, receiver, clock
):
    """Guards against work that is counted twice, or not at all."""
    before = speaker.cell_load()
    notice = send(sender, speaker)
    assert receiver.receive(notice)
    assert receiver.waiting() == TOKENS
    clock.now_s += 0.2
    receiver.receive(before)
    assert receiver.waiting() == TOKENS
    receiver.receive(speaker.cell_load())
    assert receiver.waiting() == TOKENS
    assert receiver.loads.noticed.totals == {}


def test_order_of_arrival_does_not_matter(sender, speaker, clock):
    """Guards against work that stays counted after a delayed datagram.

    Each order of two notices, one of them twice, and the loads after each,
    ends with the load, unless an older load comes last: the notices that it
    lacks were included in a newer one, and are not counted again.
    """
    first = send(sender, speaker)
    first_load = speaker.cell_load()
    second = send(sender, speaker)
    second_load = speaker.cell_load()
    messages = (first, second, second, first_load, second_load)
    for order in itertools.permutations(messages):
        receiver = Instance("b1", clock)
        for message in order:
            receiver.receive(message)
        assert receiver.loads.noticed.totals == {}
        loads_in_order = [
            message
            for message in order
            if message in (first_load, second_load)
        ]
        is_newest_last = loads_in_order[-1] is second_load
        assert receiver.waiting() == (2 if is_newest_last else 1) * TOKENS


def test_load_includes_only_what_its_speaker_knows(
    sender, speaker, receiver, clock
):
    """Guards against a notice dropped by a load that lacks its work.

    The sender's report to the speaker of its cell is lost.
    """
    sender.loads.add("engine-1", LOAD)
    receiver.receive(sender.notice())
    receiver.receive(speaker.cell_load())
    assert receiver.waiting() == TOKENS
    speaker.loads.consume(sender.name, sender.loads.provide())
    receiver.receive(speaker.cell_load())
    assert receiver.waiting() == TOKENS
    assert receiver.loads.noticed.totals == {}


def test_load_includes_only_earlier_work_of_its_speaker(speaker, receiver):
    """Guards against lost work of the instance that speaks for its cell."""
    speaker.loads.add("engine-2", LOAD)
    before = speaker.cell_load()
    speaker.loads.add("engine-1", LOAD)
    receiver.receive(speaker.notice())
    receiver.receive(before)
    assert receiver.waiting() == TOKENS
    receiver.receive(speaker.cell_load())
    assert receiver.waiting() == TOKENS
    assert receiver.loads.noticed.totals == {}


def test_duplicate_is_not_counted_again(sender, speaker, receiver, clock):
    notice = send(sender, speaker)
    assert receiver.receive(notice)
    assert not receiver.receive(notice)
    assert receiver.waiting() == TOKENS
    clock.now_s += work_notices.MAX_AGE_S
    assert not receiver.receive(notice)
    assert receiver.waiting() == 0


def test_lost_notice_is_made_up_by_the_next_load(sender, speaker, receiver):
    send(sender, speaker)
    receiver.receive(send(sender, speaker))
    assert receiver.waiting() == TOKENS
    receiver.receive(speaker.cell_load())
    assert receiver.waiting() == 2 * TOKENS


def test_notices_of_a_sender_that_ends_lapse(sender, receiver, clock):
    """Guards against an engine that seems busy after its sender has ended."""
    sender.loads.add("engine-1", LOAD)
    receiver.receive(sender.notice())
    clock.now_s += work_notices.MAX_AGE_S - 0.01
    assert receiver.loads.of("engine-1").waiting_tokens >= TOKENS
    clock.now_s += 0.02
    assert receiver.loads.of("engine-1") == loads.NO_LOAD


def test_notices_lapse_one_by_one(sender, receiver, clock):
    sender.loads.add("engine-1", LOAD)
    receiver.receive(sender.notice())
    clock.now_s += 1.0
    sender.loads.add("engine-1", LOAD)
    receiver.receive(sender.notice())
    assert receiver.waiting() == 2 * TOKENS
    clock.now_s += 1.0
    assert receiver.waiting() == TOKENS


def test_restarted_sender_is_not_taken_for_an_older_one(
    sender, speaker, receiver, clock
):
    """Guards against ignored notices after a restart.

    The new process counts its changes from 0.
    """
    for _ in range(3):
        receiver.receive(send(sender, speaker))
    receiver.receive(speaker.cell_load())
    sender.start()
    sender.loads.add("engine-1", LOAD)
    assert receiver.receive(sender.notice())
    # The load includes more changes, but of the ended process.
    receiver.receive(speaker.cell_load())
    assert receiver.loads.noticed.current().get("engine-1", 0) == TOKENS
    speaker.loads.consume(sender.name, sender.loads.provide())
    receiver.receive(speaker.cell_load())
    assert receiver.waiting() == TOKENS


def test_notices_of_an_ended_process_lapse(sender, receiver, clock):
    sender.loads.add("engine-1", LOAD)
    receiver.receive(sender.notice())
    sender.start()
    clock.now_s += 1.0
    sender.loads.add("engine-1", LOAD)
    receiver.receive(sender.notice())
    clock.now_s += 1.0
    assert receiver.waiting() == TOKENS


def test_peers_of_the_receiver_learn_what_a_load_includes(
    sender, speaker, receiver, clock
):
    """Only one instance of a cell gets another cell's load directly."""
    peer = Instance("b2", clock)
    notice = send(sender, speaker)
    receiver.receive(notice)
    peer.receive(notice)
    receiver.receive(speaker.cell_load())
    peer.cell_loads.consume_included(
        "b1", receiver.cell_loads.provide_included()
    )
    assert peer.waiting() == TOKENS
    peer.cell_loads.consume("b1", receiver.cell_loads.provide())
    assert peer.waiting() == TOKENS
    assert peer.loads.noticed.totals == {}
    assert peer.cell_loads.included == {}


def test_load_newer_than_what_is_said_of_it_keeps_the_notice(
    sender, speaker, receiver, clock
):
    """A load arrives while the two sections of a heartbeat are composed."""
    peer = Instance("b2", clock)
    receiver.receive(speaker.cell_load())
    included = receiver.cell_loads.provide_included()
    peer.receive(send(sender, speaker))
    receiver.receive(speaker.cell_load())
    peer.cell_loads.consume_included("b1", included)
    peer.cell_loads.consume("b1", receiver.cell_loads.provide())
    assert peer.loads.noticed.current().get("engine-1", 0) == TOKENS
    clock.now_s += work_notices.MAX_AGE_S
    assert peer.loads.noticed.current().get("engine-1", 0) == 0


def test_load_of_a_cell_without_notices_is_encoded_as_before(speaker):
    """Guards against a change of the wire format while switched off."""
    speaker.cell_loads.local_name = ""
    message = speaker.cell_load()
    frame = codec.encode(message)
    _tag, body, _stamp = msgspec.msgpack.decode(frame[codec.LENGTH.size :])
    assert body == {"cell": "a", "instances": 2, "rows": []}
    assert codec.decode(frame[codec.LENGTH.size :]) == message


def test_included_changes_are_read_from_a_message(sender, speaker):
    send(sender, speaker)
    message = speaker.cell_load()
    assert {name for name, _incarnation, _sequence in message.included} == {
        "a1",
        "a2",
    }
    frame = codec.encode(message)
    assert codec.decode(frame[codec.LENGTH.size :]) == message


def test_earlier_release_reads_a_load_with_included_changes(sender, speaker):
    """Guards against cells that lose each other's load during an upgrade."""
    send(sender, speaker)
    earlier = msgspec.defstruct(
        "CellLoad",
        [
            ("cell", str),
            ("instances", int),
            ("rows", tuple[cell_loads.Row, ...]),
        ],
    )
    body = msgspec.to_builtins(speaker.cell_load())
    assert "included" in body
    read = msgspec.convert(body, earlier)
    assert read.rows == (("engine-1", 1, TOKENS, 0, 0),)


def test_gone_instances_and_ended_processes_are_forgotten(
    sender, speaker, receiver, clock
):
    """Guards against memory that grows with each restart of an instance."""
    known = receiver.loads.noticed
    receiver.receive(send(sender, speaker))
    receiver.receive(speaker.cell_load())
    sender.start()
    receiver.receive(send(sender, speaker))
    assert len(known.incarnations) == 3
    clock.now_s += work_notices.FORGET_S + 1
    receiver.receive(speaker.cell_load())
    known.keep_only(frozenset({"a1", "a2"}))
    assert len(known.incarnations) == 2
    receiver.receive(send(sender, speaker))
    receiver.loads.keep_only(frozenset({"a2"}))
    assert known.totals == {}
    assert [name for name, _incarnation in known.incarnations] == ["a2"]


def test_notice_is_never_taken_for_a_load_report_or_the_reverse():
    """Guards against an earlier release that takes a notice for load.

    Also for names that resemble the other kind.
    """
    for name in ("work", "W", "", "\xc1W"):
        notice = work_notices.encode(
            work_notices.WorkNotice(name, 1, 1, (("engine-1", 5),))
        )
        report = msgspec.msgpack.encode(
            load_exchange.LoadDatagram(name, loads.Loads().provide())
        )
        with pytest.raises(msgspec.MsgspecError):
            msgspec.msgpack.decode(notice, type=load_exchange.LoadDatagram)
        assert not work_notices.is_notice(report)
        with pytest.raises(connection.WireError):
            work_notices.decode(report)


def test_notice_round_trip():
    notice = work_notices.WorkNotice(
        "a1", 2**53 - 1, 7, (("engine-1", 5), ("engine-2", 2**53))
    )
    assert work_notices.decode(work_notices.encode(notice)) == notice


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xc1",
        ["a1", 1, 1],
        ["a1", 1, -1, [["engine-1", 5]]],
        ["a1", 1, 1, [["engine-1", -5]]],
        ["a1", 1, 1, [["engine-1", 0]]],
        ["a1", 1, 1, [["engine-1", 2**60]]],
        ["a1", 1, 1, [["engine-1", 5, 6]]],
        [b"a1", 1, 1, []],
    ],
)
def test_malformed_notice_is_rejected(content):
    if not isinstance(content, bytes):
        content = msgspec.msgpack.encode(content)
    with pytest.raises(msgspec.MsgspecError):
        work_notices.decode(work_notices.MARKER + content)


def test_notice_sealed_with_another_key_is_rejected():
    notice = work_notices.encode(work_notices.WorkNotice("a1", 1, 1, ()))
    with pytest.raises(connection.WireError):
        datagrams.unseal(KEY, datagrams.seal(b"another key", notice))
