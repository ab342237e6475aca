"""How late heartbeats arrive, by the clocks of their senders."""

from __future__ import annotations

import collections
import threading
import typing

import msgspec

from briarseam import clocks

# Heartbeats of a peer that are compared, about two minutes' worth: meanwhile
# two clocks hardly diverge, and a machine that was rebooted is soon known.
READINGS = 240
MAX_PEERS = 500


class HeartbeatDelays:
    """Tells by how much a heartbeat is later than others; thread-safe.

    Clocks of machines differ by an unknown time, so each heartbeat is compared
    with the one of the same peer that took least time.

    Parameters
    ----------
    clock
        Seconds; goes on while the process is suspended.
    """

    def __init__(
        self, clock: typing.Callable[[], float] = clocks.boot_clock
    ) -> None:
        self.clock = clock
        self.readings: dict[str, collections.deque[float]] = {}
        self.lock = threading.Lock()

    def provide(self) -> bytes:
        """Return the time of the content, for heartbeats."""
        return msgspec.msgpack.encode(self.clock())

    def consume(self, member: str, data: bytes) -> None:
        """Record when a peer's heartbeat was made."""
        made_s = msgspec.msgpack.decode(data, type=float)
        with self.lock:
            if member not in self.readings and len(self.readings) >= MAX_PEERS:
                self.readings.clear()
            readings = self.readings.setdefault(
                member, collections.deque(maxlen=READINGS)
            )
            readings.append(self.clock() - made_s)

    def delay_s(self, member: str) -> float:
        """Return how late a peer's last heartbeat was, in seconds.

        0 if the peer does not tell times.
        """
        with self.lock:
            readings = self.readings.get(member)
            return readings[-1] - min(readings) if readings else 0.0
