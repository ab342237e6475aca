"""Exchange of load changes between the instances of a cell.

Heartbeats carry an instance's load, too, but only twice a second, and an
engine prefills a prompt in less time.  Several instances would send to an
engine that appears idle.  Each change is therefore sent to all peers at once
by datagram; heartbeats make up for lost datagrams.

The interval between the datagrams to one peer grows with the number of peers.
If large additions are urgent, they are sent before the interval has passed,
and the instances of other cells are notified of them.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import typing

import msgspec
import structlog

from briarseam import malformed
from briarseam.placement import loads as load_module
from briarseam.placement import notice_recipients
from briarseam.placement import urgency
from briarseam.placement import work_notices
from briarseam.wire import connection as connections
from briarseam.wire import datagrams

if typing.TYPE_CHECKING:
    import collections.abc

# Changes within this interval share a datagram; a third of the time that
# prefilling a small prompt takes.
BATCH_S = 0.025
# Maximum rate at which one instance sends at the interval.  The instances of a
# cell together receive as many from all others.  With load at nine engines,
# encoding and decoding one datagram takes 35 us of processor time and sending
# it 2 us, which makes 1% of a core in all.
MAX_DATAGRAMS_PER_S = 250.0
# Pause after a failed receive, so that repeated failures don't use up a core.
MIN_RETRY_S = 0.005
log = structlog.get_logger("briarseam.placement")


class LoadDatagram(msgspec.Struct, array_like=True):
    """Content of a datagram: name of the sender, and its encoded load."""

    member: str
    report: bytes


class LoadExchange:
    """Sends this instance's load to its peers and applies theirs.

    Parameters
    ----------
    loads
        Known load of endpoints.
    local_name
        Name of this instance.
    address
        Address at which this instance receives, ``ip:port``.
    peers
        Returns the addresses of the other instances of the cell.
    key
        The shared key of the wire protocol.
    counter
        Counts malformed datagrams.
    urgent
        Decides which additions are sent before the interval has passed;
        ``None`` if all changes wait for it, and notices are ignored.
    recipients
        Instances of other cells that are notified of these additions.
    notice_counters
        Counters of these notices.
    """

    def __init__(
        self,
        loads: load_module.Loads,
        local_name: str,
        address: str,
        peers: typing.Callable[[], collections.abc.Sequence[str]],
        key: bytes,
        counter: malformed.Tally,
        urgent: urgency.UrgentReports | None = None,
        recipients: notice_recipients.Recipients | None = None,
        notice_counters: notice_recipients.Counters | None = None,
    ) -> None:
        self.loads = loads
        self.urgent = urgent
        self.recipients = recipients
        self.notice_counters = notice_counters or notice_recipients.Counters()
        if urgent is not None:
            loads.record_addition = urgent.record
        self.local_name = local_name
        self.peers = peers
        self.key = key
        self.counter = counter
        self.socket = datagrams.open_socket(address)
        self.sent = 0
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for target, name in (
                (self.send_loop, "load-telling"),
                (self.receive_loop, "load-listening"),
            )
        ]

    def start(self) -> None:
        """Start sending and receiving."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Stop sending and receiving."""
        self.stopping.set()
        self.loads.record_addition = load_module.ignore_addition
        self.loads.changed.set()
        # Makes a pending receive fail; closing alone would leave it blocked.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def send_loop(self) -> None:
        """Send each change until stopped."""
        while not self.stopping.is_set():
            self.loads.changed.wait()
            self.loads.changed.clear()
            peers = self.peers()
            if self.urgent is not None:
                self.urgent.start_report()
            self.send(peers)
            self.send_notices(len(peers))
            self.pause(len(peers))

    def pause(self, peers: int) -> None:
        """Wait until the next report to some number of peers may be sent."""
        interval_s = max(BATCH_S, peers / MAX_DATAGRAMS_PER_S)
        if self.urgent is None:
            self.stopping.wait(interval_s)
            return
        end_s = self.urgent.clock() + interval_s
        while (left_s := end_s - self.urgent.clock()) > 0:
            if self.stopping.is_set() or self.urgent.take_report(peers):
                return
            self.send_notices(peers)
            self.urgent.wait(peers, left_s)

    def send_notices(self, peers: int) -> None:
        """Notify instances of other cells of urgent additions.

        Parameters
        ----------
        peers
            Number of other instances in the cell.
        """
        if self.urgent is None or self.recipients is None:
            return
        additions = self.urgent.take_additions()
        if additions is None:
            return
        addresses, skipped = self.recipients.take(peers + 1)
        self.notice_counters.skipped.add(skipped)
        if not addresses:
            return
        notice = work_notices.WorkNotice(
            self.local_name,
            self.loads.incarnation,
            additions.sequence,
            additions.rows,
        )
        datagram = datagrams.seal(self.key, work_notices.encode(notice))
        self.notice_counters.sent.add(self.send_to(addresses, datagram))

    def send(self, peers: collections.abc.Sequence[str]) -> None:
        """Send this instance's current load to peers."""
        content = msgspec.msgpack.encode(
            LoadDatagram(self.local_name, self.loads.provide())
        )
        try:
            datagram = datagrams.seal(self.key, content)
        except datagrams.TooLargeError as error:
            log.warning("load_not_told", detail=str(error))
            return
        self.sent += self.send_to(peers, datagram)

    def send_to(
        self, addresses: collections.abc.Sequence[str], datagram: bytes
    ) -> int:
        """Send a datagram; return the number of addresses it was sent to."""
        sent = 0
        for address in addresses:
            # An unreachable peer gets the load by heartbeats, which also
            # detect that it is gone.
            with contextlib.suppress(OSError):
                self.socket.sendto(
                    datagram, connections.parse_address(address)
                )
                sent += 1
        return sent

    def receive_loop(self) -> None:
        """Receive datagrams until stopped."""
        while not self.stopping.is_set():
            try:
                datagram = self.socket.recv(datagrams.MAX_DATAGRAM_BYTES)
            except OSError as error:
                # The error may stem from an earlier datagram to a closed
                # port; the next receive may succeed.
                if not self.stopping.wait(MIN_RETRY_S):
                    log.info("load_not_received", detail=str(error))
                continue
            self.handle(datagram)

    def handle(self, datagram: bytes) -> None:
        """Apply one datagram, or count it as malformed."""
        try:
            content = datagrams.unseal(self.key, datagram)
            if work_notices.is_notice(content):
                self.apply_notice(work_notices.decode(content))
                return
            message = msgspec.msgpack.decode(content, type=LoadDatagram)
            self.loads.consume(message.member, message.report)
        except (connections.WireError, msgspec.MsgspecError) as error:
            self.counter.note(malformed.Kind.DATAGRAM, "endpoint loads", error)

    def apply_notice(self, notice: work_notices.WorkNotice) -> None:
        """Count a notice as load; drop it if notices are switched off."""
        if self.urgent is not None and self.loads.noticed.apply(notice):
            self.notice_counters.received.add()
        else:
            self.notice_counters.dropped.add()
