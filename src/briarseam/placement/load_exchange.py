"""Telling the peers of a cell this instance's work as it changes.

Heartbeats tell it, too, but twice a second, while an engine reads a prompt in
less: several instances would send to an engine that seems to be idle.  So
each change goes out at once, by datagrams, and the heartbeats make up for
those that are lost.
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
from briarseam.wire import connection as connections
from briarseam.wire import datagrams

if typing.TYPE_CHECKING:
    import collections.abc

# Changes within this time go out together: a third of the time in which a
# small prompt is read.
BATCH_S = 0.025
# Datagrams that one instance sends in a second, at most; a cell's instances
# receive as many from all others together.  To make one and to take one in
# takes 35 us of processor time with work at nine engines, and to send it 2 us
# (mean of 5,000): all in all 1% of a core.
MOST_PER_S = 250.0
# After a receive that failed, so that failures in a row don't take a core.
SHORTEST_WAIT_S = 0.005
log = structlog.get_logger("briarseam.placement")


class Told(msgspec.Struct, array_like=True):
    """What one datagram tells: whose work, and its work."""

    member: str
    work: bytes


class LoadExchange:
    """Tells peers this instance's work, and takes in theirs.

    Parameters
    ----------
    loads
        What is known of endpoints' work.
    me
        Name of this instance.
    address
        Where this instance receives, ``ip:port``.
    peers
        Returns where the other instances of the cell receive.
    key
        The shared key of the wire.
    tally
        Notes what can't be read.
    """

    def __init__(
        self,
        loads: load_module.Loads,
        me: str,
        address: str,
        peers: typing.Callable[[], collections.abc.Sequence[str]],
        key: bytes,
        tally: malformed.Tally,
    ) -> None:
        self.loads = loads
        self.me = me
        self.peers = peers
        self.key = key
        self.tally = tally
        self.socket = datagrams.open_socket(address)
        self.sent = 0
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=target, name=name, daemon=True)
            for target, name in (
                (self.tell, "load-telling"),
                (self.listen, "load-listening"),
            )
        ]

    def start(self) -> None:
        """Begin to tell and to listen."""
        for thread in self.threads:
            thread.start()

    def stop(self) -> None:
        """Tell and take in nothing further."""
        self.stopping.set()
        self.loads.changed.set()
        # A read under way ends with an error; closing alone would leave it.
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        self.socket.close()

    def tell(self) -> None:
        """Tell each change until stopped."""
        while not self.stopping.is_set():
            self.loads.changed.wait()
            self.loads.changed.clear()
            peers = self.peers()
            self.tell_all(peers)
            self.stopping.wait(max(BATCH_S, len(peers) / MOST_PER_S))

    def tell_all(self, peers: collections.abc.Sequence[str]) -> None:
        """Tell all peers this instance's work as it is now."""
        content = msgspec.msgpack.encode(Told(self.me, self.loads.provide()))
        try:
            datagram = datagrams.seal(self.key, content)
        except datagrams.TooLargeError as error:
            log.warning("load_not_told", detail=str(error))
            return
        for address in peers:
            # A peer that can't be reached learns from heartbeats, which
            # also say that it is gone.
            with contextlib.suppress(OSError):
                self.socket.sendto(
                    datagram, connections.parse_address(address)
                )
                self.sent += 1

    def listen(self) -> None:
        """Take in what peers tell until stopped."""
        while not self.stopping.is_set():
            try:
                datagram = self.socket.recv(datagrams.MOST_BYTES)
            except OSError as error:
                # An earlier datagram found no listener; the next may.
                if not self.stopping.wait(SHORTEST_WAIT_S):
                    log.info("load_not_received", detail=str(error))
                continue
            self.take(datagram)

    def take(self, datagram: bytes) -> None:
        """Take in one datagram; one that can't be read is noted."""
        try:
            content = datagrams.unseal(self.key, datagram)
            told = msgspec.msgpack.decode(content, type=Told)
            self.loads.consume(told.member, told.work)
        except (connections.WireError, msgspec.MsgspecError) as error:
            self.tally.note(malformed.Kind.DATAGRAM, "endpoint loads", error)
