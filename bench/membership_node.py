"""One agent with nothing but membership, for ``membership_cost.py``.

Reads commands on standard input: ``report`` prints one JSON line of
counters, ``stop`` or the end of input ends the process.
"""

from __future__ import annotations

import argparse
import dataclasses
import itertools
import json
import pathlib
import sys
import time

import structlog

from briarseam.backing import instances
from briarseam.membership import service
from briarseam.membership import state
from briarseam.wire import connection
from briarseam.wire import server

KEY = b"membership-cost"
SECTION_BYTES = 100


@dataclasses.dataclass(frozen=True)
class Counters:
    """What the process has used so far.

    Attributes
    ----------
    members
        Live members in its view, itself included.
    cpu_s
        Processor time of the process.
    sent, received
        Bytes of frames on heartbeat connections, both kinds.
    rss_kb
        Resident memory.
    """

    members: int
    cpu_s: float
    sent: int
    received: int
    rss_kb: int


def main() -> None:
    """Run one agent's membership until told to stop."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--name", required=True)
    parser.add_argument("--list", required=True, help="instance list")
    parser.add_argument("--interval-s", type=float, default=1.0)
    args = parser.parse_args()
    factory = structlog.PrintLoggerFactory(sys.stderr)
    structlog.configure(logger_factory=factory)
    me = connection.Identity("agent", args.name)
    router = server.Router()
    listener = server.Server("127.0.0.1:0", me, KEY, router)
    membership = service.Membership(
        state.LocalAgent(
            args.name, "bench", listener.address, ("127.0.0.1:1",)
        ),
        instances.InstanceList(args.list),
        KEY,
        heartbeat_interval_s=args.interval_s,
        suspect_after_s=3 * args.interval_s,
    )
    add_changing_section(membership)
    membership.register(router)
    listener.start()
    membership.start()
    print(listener.address, flush=True)
    for line in sys.stdin:
        if line.strip() != "report":
            break
        counters = count(membership, listener)
        print(json.dumps(dataclasses.asdict(counters)), flush=True)
    membership.stop()
    listener.stop()


def add_changing_section(membership: service.Membership) -> None:
    """Let a section ride along that differs in each heartbeat."""
    numbers = itertools.count()

    def provide() -> bytes:
        return next(numbers).to_bytes(SECTION_BYTES, "big")

    membership.add_section("load", provide, lambda member, data: None)


def count(membership: service.Membership, listener: server.Server) -> Counters:
    """Return the process's counters."""
    outgoing = [
        sender.connection for sender in membership.heartbeat_senders.values()
    ]
    with listener.lock:
        incoming = list(listener.open)
    open_now = [each for each in (*outgoing, *incoming) if each is not None]
    status = pathlib.Path("/proc/self/status").read_text()
    rss = next(
        line.split()[1]
        for line in status.splitlines()
        if line.startswith("VmRSS")
    )
    return Counters(
        members=len(membership.live()),
        cpu_s=time.process_time(),
        sent=sum(each.bytes_sent for each in open_now),
        received=sum(each.bytes_received for each in open_now),
        rss_kb=int(rss),
    )


if __name__ == "__main__":
    main()
