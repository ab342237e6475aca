"""What the time line costs: noting, memory, merging, and the wire.

Run from the root: ``PYTHONPATH=src python bench/timeline_cost.py``.  Writes
``bench/results/timeline-cost.json``.  Each ratio has its baseline in the
same run: a plain deque of frozen data classes, the simplest ring there is.
"""

from __future__ import annotations

import argparse
import collections
import dataclasses
import json
import os
import pathlib
import platform
import statistics
import time
import tracemalloc
import typing

from briarseam.admission import messages as admission
from briarseam.timeline import clock as clocks
from briarseam.timeline import event as events
from briarseam.timeline import feed
from briarseam.timeline import merge
from briarseam.timeline import messages
from briarseam.timeline import render_html
from briarseam.timeline import ring as rings
from briarseam.wire import codec

RESULT = pathlib.Path("bench/results/timeline-cost.json")
NOTES = 20_000
ROUNDS = 15
PROCESSES = 32
CAPACITY = 4096
PAGE_EVENTS = 200
US = 1e6
MS = 1e3

Note = typing.Callable[[int], None]


@dataclasses.dataclass(frozen=True)
class Spread:
    """Median, best and worst of the rounds."""

    median: float
    best: float
    worst: float


def spread(values: list[float]) -> Spread:
    """Return the spread of measured values, rounded."""
    shown = [round(value, 4) for value in values]
    median = round(statistics.median(values), 4)
    return Spread(median, min(shown), max(shown))


def typical(ring: rings.Ring, number: int) -> None:
    """Note an event as a grant is noted."""
    ring.note(
        "granted",
        request=f"5f0c2a9be1d0{number:04x}",
        endpoint="draft-worker-3",
        organisation="hygiejne-07",
        run=f"a81c22d0f09b4e1177aa{number:04x}",
        version="2026-11-02",
        priority=5,
    )


def plain_note(
    kept: collections.deque[events.Event], clock: clocks.HybridClock
) -> Note:
    """Return the baseline: a data class appended to a deque."""

    def note(number: int) -> None:
        kept.append(
            events.Event(
                clock.now(),
                "agent/cph-1",
                "granted",
                f"5f0c2a9be1d0{number:04x}",
                "",
                "draft-worker-3",
                "hygiejne-07",
                {
                    "run": f"a81c22d0f09b4e1177aa{number:04x}",
                    "version": "2026-11-02",
                    "priority": 5,
                },
            )
        )

    return note


def microseconds_per_note(note: Note) -> float:
    """Return the time of one note over a long loop."""
    began = time.perf_counter()
    for number in range(NOTES):
        note(number)
    return (time.perf_counter() - began) / NOTES * US


def measure_notes() -> dict[str, typing.Any]:
    """Measure notes and the baseline, round about."""
    ring = rings.Ring("agent/cph-1", CAPACITY)
    kept: collections.deque[events.Event] = collections.deque(maxlen=CAPACITY)
    plain = plain_note(kept, clocks.HybridClock())
    noted, baseline = [], []
    for _ in range(ROUNDS):
        noted.append(microseconds_per_note(lambda n: typical(ring, n)))
        baseline.append(microseconds_per_note(plain))
    ratios = [a / b for a, b in zip(noted, baseline, strict=True)]
    return {
        "note_us": dataclasses.asdict(spread(noted)),
        "baseline_note_us": dataclasses.asdict(spread(baseline)),
        "ratio": dataclasses.asdict(spread(ratios)),
        "accounted_bytes_per_event": round(ring.size_bytes / len(ring), 1),
    }


def traced_bytes(fill: typing.Callable[[], object]) -> int:
    """Return the memory that stays after ``fill``."""
    tracemalloc.start()
    kept = fill()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def full_ring(name: str = "agent/cph-1") -> rings.Ring:
    """Return a ring full of typical events."""
    ring = rings.Ring(name, CAPACITY)
    for number in range(CAPACITY):
        typical(ring, number)
    return ring


def full_deque() -> collections.deque[events.Event]:
    """Return the baseline filled with the same events."""
    kept: collections.deque[events.Event] = collections.deque(maxlen=CAPACITY)
    note = plain_note(kept, clocks.HybridClock())
    for number in range(CAPACITY):
        note(number)
    return kept


def measure_memory() -> dict[str, typing.Any]:
    """Measure the memory of a full ring and of the baseline."""
    ring = traced_bytes(full_ring)
    plain = traced_bytes(full_deque)
    return {
        "ring_bytes": ring,
        "ring_bytes_per_event": round(ring / CAPACITY, 1),
        "baseline_bytes": plain,
        "ratio": round(ring / plain, 3),
    }


def measure_merge() -> dict[str, typing.Any]:
    """Measure asking, merging and drawing for many full processes."""
    full = [full_ring(f"agent/rumoi-{n}") for n in range(PROCESSES)]
    fetch = messages.FetchEvents(limit=PROCESSES * CAPACITY)
    began = time.perf_counter()
    selected = [ring.selected(fetch.filter) for ring in full]
    select_ms = (time.perf_counter() - began) * MS
    parts = [messages.Events(one.events, ()) for one in selected]
    took = []
    for _ in range(5):
        began = time.perf_counter()
        merge.merge(parts, PROCESSES * CAPACITY)
        took.append((time.perf_counter() - began) * MS)
    few = merge.merge(parts, PAGE_EVENTS)
    began = time.perf_counter()
    page = render_html.render(few, "all events")
    return {
        "processes": PROCESSES,
        "events": PROCESSES * CAPACITY,
        "select_all_ms": round(select_ms, 1),
        "merge_ms": dataclasses.asdict(spread(took)),
        "page_events": PAGE_EVENTS,
        "page_ms": round((time.perf_counter() - began) * MS, 1),
        "page_bytes": len(page.encode()),
    }


def measure_one_request() -> dict[str, typing.Any]:
    """Measure one ring's answer to a question about one request."""
    ring = full_ring()
    wanted = messages.FetchEvents(events.Filter(request="5f0c2a9be1d00800"))
    took = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        found = feed.answer(ring, wanted)
        took.append((time.perf_counter() - began) * MS)
    return {
        "found": len(found.events),
        "answer_ms": dataclasses.asdict(spread(took)),
        "reply_bytes": len(codec.encode(found)),
    }


def measure_wire() -> dict[str, typing.Any]:
    """Measure what the stamp and the idle feed add to the wire."""
    noted = admission.Noted()
    stamp = clocks.HybridClock().now()
    waiting = feed.AwaitFetch("entry/cph-1/0a1b2c3d", feed.WAIT_S)
    nothing = feed.FetchWanted(0, messages.FetchEvents())
    idle = len(codec.encode(waiting, stamp)) + len(
        codec.encode(nothing, stamp)
    )
    everything = feed.answer(full_ring(), messages.FetchEvents(limit=10**6))
    return {
        "stamp_bytes_per_frame": len(codec.encode(noted, stamp))
        - len(codec.encode(noted, 0)),
        "idle_feed_bytes_per_s": round(idle / feed.WAIT_S, 2),
        "events_in_one_reply": len(everything.events),
        "reply_bytes": len(codec.encode(everything)),
    }


def main() -> None:
    """Measure, print and write the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=pathlib.Path, default=RESULT)
    args = parser.parse_args()
    result = {
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load_before": [round(one, 2) for one in os.getloadavg()],
        "rounds": ROUNDS,
        "notes_per_round": NOTES,
        "notes": measure_notes(),
        "memory": measure_memory(),
        "merge": measure_merge(),
        "one_request": measure_one_request(),
        "wire": measure_wire(),
    }
    text = json.dumps(result, indent=2)
    args.out.parent.mkdir(parents=True, exist_ok=True)
    args.out.write_text(text + "\n")
    print(text)


if __name__ == "__main__":
    main()
