"""What an agent's regular reads of the outside cost it.

Run from the top of the tree with the environment that `scripts/test` makes::

    PYTHONPATH=src .venv/bin/python bench/poll_cost.py

The stand-ins are processes of their own, so the processor time is the
reader's.  Writes bench/results/poll-cost.json.
"""

from __future__ import annotations

import contextlib
import dataclasses
import http.client
import socket
import time
import typing

import measuring
import urllib3

from briarseam.backing import instances
from briarseam.backing import log as platform_log
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_events
from briarseam.endpoints import engine_load
from briarseam.endpoints import engine_orders
from briarseam.routing import loads

READS = 300
LIST_READS = 10
LIST_SIZES = (20, 920, 1840)
ZONES = 12
OWNERS = ((150, 32), (4000, 32))
PATIENCE_S = 5.0


@dataclasses.dataclass(frozen=True)
class Row:
    """Cost of one read, or of one round of choosing who polls."""

    what: str
    size: int
    cpu_us: measuring.Spread
    answer_bytes: int


def bytes_of(address: str, path: str) -> int:
    """Return what a read takes on its connection, heads included."""
    host, _, port = address.rpartition(":")
    head = (
        f"GET {path} HTTP/1.1\r\nHost: {address}\r\n"
        "Accept-Encoding: identity\r\n"
        f"User-Agent: python-urllib3/{urllib3.__version__}\r\n\r\n"
    ).encode()
    with socket.create_connection((host, int(port)), PATIENCE_S) as sock:
        sock.sendall(head)
        response = http.client.HTTPResponse(sock)
        response.begin()
        body = response.read()
    answered = sum(
        len(f"{name}: {value}\r\n") for name, value in response.getheaders()
    )
    first_line = len(f"HTTP/1.1 {response.status} {response.reason}\r\n\r\n")
    return len(head) + first_line + answered + len(body)


def cost_us(step: typing.Callable[[], object], rounds: int) -> float:
    """Return this process's processor time for one step."""
    step()
    begun = time.process_time()
    for _ in range(rounds):
        step()
    return 1e6 * (time.process_time() - begun) / rounds


def measure(
    what: str,
    size: int,
    step: typing.Callable[[], object],
    rounds: int = READS,
    answer_bytes: int = 0,
) -> Row:
    """Return the row of one kind of step."""
    found = [cost_us(step, rounds) for _ in range(measuring.REPEATS)]
    return Row(what, size, measuring.spread(found, 1), answer_bytes)


def address_of(child: typing.Any) -> str:
    """Return where a stand-in listens."""
    return typing.cast("str", child.first_line.split()[-1])


def engine_rows(address: str) -> list[Row]:
    """Return the rows of an engine's two reports."""
    load = engine_load.LoadClient()
    orders = engine_orders.OrderClient()
    events = engine_events.EventClient()
    return [
        measure(
            "load",
            1,
            lambda: load.read(address),
            READS,
            bytes_of(address, "/load"),
        ),
        measure(
            "state",
            1,
            lambda: orders.state(address),
            READS,
            bytes_of(address, "/state"),
        ),
        measure(
            "events, none new",
            1,
            lambda: events.events(address, 0),
            READS,
            bytes_of(address, "/cache/events?after=0"),
        ),
    ]


def log_row(address: str) -> Row:
    """Return the row of a read that brings nothing."""
    client = platform_log.LogClient(address, PATIENCE_S)
    return measure(
        "log read, no records",
        0,
        lambda: client.read("s", 0),
        READS,
        bytes_of(address, "/streams/s?after=0&wait_ms=0&max=1000"),
    )


def list_row(address: str, size: int) -> Row:
    """Return the row of a read of the whole instance list."""
    source = instances.InstanceList(address)
    length = source.read().size
    return measure("instance list", size, source.read, LIST_READS, length)


def owner_row(engines: int, members: int) -> Row:
    """Return the row of finding which engines this agent polls."""
    view = schema.View(
        endpoints={
            f"draftmodels-{number}": values.Endpoint(
                values.EndpointKind.ENGINE,
                f"10.1.{number // 250}.{number % 250}:7111",
                "cph-hall-a",
            )
            for number in range(engines)
        }
    )
    names = tuple(f"cph-hall-a-{number}" for number in range(members))
    known = loads.Loads(lambda: view, names[0], lambda: names, dict)
    return measure("who polls which engine", engines, known.wanted, LIST_READS)


def main() -> None:
    """Measure and write."""
    rows = [owner_row(*each) for each in OWNERS]
    with contextlib.ExitStack() as stack:
        engine = stack.enter_context(measuring.process("stand-in", "engine"))
        rows += engine_rows(address_of(engine))
        log = stack.enter_context(measuring.process("stand-in", "log"))
        rows.append(log_row(address_of(log)))
    for size in LIST_SIZES:
        arguments = ["stand-in", "instances"]
        for number in range(size):
            zone = f"zone-{number % ZONES}"
            host = f"10.1.{number // 250}.{number % 250}"
            arguments += [
                "--instance",
                f"{zone}-instance-{number}=agent,{host}:7141,{zone}",
            ]
        with measuring.process(*arguments) as listed:
            rows.append(list_row(address_of(listed), size))
    for row in rows:
        print(row)
    measuring.write("poll-cost", rows)


if __name__ == "__main__":
    main()
