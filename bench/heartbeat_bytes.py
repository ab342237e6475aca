"""Bytes of a heartbeat against what an agent has to tell of engines.

Run from the top of the tree::

    PYTHONPATH=src .venv/bin/python bench/heartbeat_bytes.py

Sections are made by the product's own classes from a filled state; the
frame is encoded as it goes over the wire.  Writes
bench/results/heartbeat-bytes.json.
"""

from __future__ import annotations

import dataclasses
import time

import measuring

from briarseam.configuration import schema
from briarseam.membership import messages
from briarseam.routing import active_runs
from briarseam.routing import loads
from briarseam.wire import codec

ROUNDS = 300
# Engines of the cell, engines that this agent polls, its runs under way.
SIZES = ((0, 0, 0), (4, 1, 32), (32, 1, 815), (138, 5, 815), (4000, 125, 815))
MEMBERS = 32
CELLS = 36
CELL_SIZE = 26


@dataclasses.dataclass(frozen=True)
class Row:
    """One heartbeat with the section of routing."""

    engines: int
    polled: int
    runs: int
    section_bytes: int
    frame_bytes: int
    answer_bytes: int
    make_us: measuring.Spread
    take_us: measuring.Spread


def filled(engines: int, polled: int, runs: int) -> loads.Loads:
    """Return the loads of an agent that has something to tell."""
    own_runs = active_runs.ActiveRuns()
    now = time.monotonic()
    for number in range(runs):
        own_runs.start(
            f"draftmodels-{number % engines}",
            active_runs.Dispatch(f"run-{number}", now, 1.0),
        )
    known = loads.Loads(
        schema.View, "cph-hall-a-0", lambda: ("cph-hall-a-0",), own_runs.counts
    )
    for number in range(engines):
        known.known[f"draftmodels-{number}"] = loads.Load(
            6, 8, 100, now, "b7d1c2a90f3e", number < polled
        )
    return known


def process_us(begun: float) -> float:
    """Return microseconds of processor time for one of the rounds."""
    return 1e6 * (time.process_time() - begun) / ROUNDS


def make_us(known: loads.Loads) -> float:
    """Return the time to make the section."""
    begun = time.process_time()
    for _ in range(ROUNDS):
        known.provide()
    return process_us(begun)


def take_us(known: loads.Loads, section: bytes) -> float:
    """Return the time for a peer to take the section in."""
    begun = time.process_time()
    for number in range(ROUNDS):
        known.consume(f"cph-hall-a-{number % MEMBERS}", section)
    return process_us(begun)


def measure(engines: int, polled: int, runs: int) -> Row:
    """Return the row of one size."""
    known = filled(engines, polled, runs)
    section = known.provide()
    repeats = range(measuring.REPEATS)
    beat = messages.Heartbeat(1, 2**60, {"loads": section})
    answer = messages.Alive(1, 2**60)
    return Row(
        engines,
        polled,
        runs,
        len(section),
        len(codec.encode(beat, 2**60)),
        len(codec.encode(answer, 2**60)),
        measuring.spread([make_us(known) for _ in repeats], 1),
        measuring.spread([take_us(known, section) for _ in repeats], 1),
    )


@dataclasses.dataclass(frozen=True)
class Frame:
    """Bytes of another message between agents."""

    what: str
    bytes: int


def about(number: int) -> messages.About:
    """Return what an agent says of itself, with four entry processes."""
    host = f"10.1.{number // 250}.{number % 250}"
    entries = tuple(f"{host}:{7151 + port}" for port in range(4))
    return messages.About(
        f"cph-hall-a-{number}",
        "cph-hall-a",
        f"{host}:7141",
        entries,
        2**60,
        False,
    )


def between_cells() -> list[Frame]:
    """Return the sizes of the exchange between cells."""
    stamp = messages.CellStamp(2**41, 2**41)
    stamps = {f"zone-{number % 12}/{number}": stamp for number in range(CELLS)}
    members = tuple(map(about, range(CELL_SIZE)))
    summary = messages.CellSummary("zone-1/1", stamp, members)
    found = {
        "question, all stamps": messages.CellsAsked(stamps, ()),
        "answer, no news": messages.CellsNews((), {}, ()),
        "answer, half of the stamps": messages.CellsNews(
            (), dict(list(stamps.items())[: CELLS // 2]), ()
        ),
        "answer, one cell changed": messages.CellsNews((summary,), {}, ()),
    }
    return [
        Frame(what, len(codec.encode(one, 2**60)))
        for what, one in found.items()
    ]


def main() -> None:
    """Measure and write."""
    rows: list[Row | Frame] = [measure(*size) for size in SIZES]
    rows += between_cells()
    for row in rows:
        print(row)
    measuring.write("heartbeat-bytes", rows)


if __name__ == "__main__":
    main()
