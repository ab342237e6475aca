#!/usr/bin/env python3
"""Write days of trouble for the users' bench, one or two kinds at a time.

    python3 bench/derive_days.py OUT alone
    python3 bench/derive_days.py OUT pairs [FIRST [LAST]]

``alone`` writes every kind of trouble on its own, five a day, apart in time.
``pairs`` writes the days FIRST to LAST of the ones that bring every pair of
kinds, four pairs a day, the second of a pair a second after the first.  Five
days in a row hold every kind once.  ``deploy/days`` holds the days alone and
the first ten days of pairs; the bench plays any other with `run SITE FILE`.
"""

from __future__ import annotations

from collections.abc import Iterator
import dataclasses
import itertools
import pathlib
import sys

Fields = dict[str, str | int | float]

#: Seconds from the start of traffic at which the troubles of a day begin.  The
#: last leaves some seconds before the traffic ends after 34 s.
STARTS_ALONE = (2.0, 8.0, 14.0, 20.0, 26.0)
STARTS_OF_PAIRS = (2.0, 9.5, 17.0, 24.5)

#: Seconds from the first trouble of a pair to the second: long enough for the
#: first to be noticed, shorter than any trouble that lasts.
PAIR_GAP_S = 1.0

#: The part of the work that must be served for a day to pass; that of the
#: days with several losses of all instances is lower.
FLOOR = 0.3
FLOOR_OF_PAIRS = 0.2

#: What strikes at the end of a day, by its number.
CLOSINGS = ("kill_all", "power_off_all")


@dataclasses.dataclass(frozen=True)
class Trouble:
    """A kind of trouble and the ways in which it is brought about.

    Attributes
    ----------
    kind
        The bench's name for it.
    variants
        Fields of an entry other than its kind and time, one for each way.
        An entry for endpoints names the service: without it the bench picks
        one, and where that is a store of prompts the entry strikes nothing.
    planned
        Whether it is work that an operator does on purpose.
    """

    kind: str
    variants: tuple[Fields, ...] = ({},)
    planned: bool = False

    def entry(self, at_s: float, turn: int) -> str:
        """Return the trouble as a line of a day file."""
        fields = {"at": at_s, "kind": self.kind}
        fields |= self.variants[turn % len(self.variants)]
        listed = ", ".join(f"{name} = {toml(x)}" for name, x in fields.items())
        return f"  {{ {listed} }},"


TROUBLES = (
    Trouble("burst", ({"x": 2.0, "for_s": 4.0},)),
    Trouble(
        "platform_down",
        (
            {"for_s": 4.0, "how": "silent lapse"},
            {"for_s": 4.0, "how": "nodes reset revoke meet", "share": 0.35},
        ),
    ),
    Trouble(
        "srv_crash",
        (
            {"service": "@s0", "share": 0.3, "for_s": 1.0},
            {"service": "@s1", "for_s": 2.0, "how": "across all"},
            {"service": "@s0", "share": 0.2, "how": "gone"},
        ),
    ),
    Trouble("node_kill", ({"share": 0.3}, {"count": 1, "how": "leader race"})),
    Trouble(
        "release",
        ({"service": "@s0", "share": 0.5, "gap_s": 0.7},),
        planned=True,
    ),
    Trouble("retry_abuse", ({"share": 0.5, "x": 4.0, "for_s": 4.0},)),
    Trouble("version_bump", ({"count": 0},), planned=True),
    Trouble(
        "config_change",
        ({"how": "route"}, {"how": "tenant"}, {"how": "weights"}),
        planned=True,
    ),
    Trouble(
        "core_cut",
        (
            {"count": 1, "for_s": 4.0, "how": "leader"},
            {"count": 1, "for_s": 4.0, "how": "giver"},
        ),
    ),
    Trouble("node_slow", ({"share": 0.3, "x": 6.0, "for_s": 4.0},)),
    Trouble("give_up", ({"share": 0.3, "for_s": 4.0},)),
    Trouble(
        "platform_lost",
        (
            {"x": 0.4, "for_s": 4.0, "how": "late"},
            {"x": 0.4, "for_s": 4.0},
        ),
    ),
    Trouble(
        "applied_late",
        (
            {"x": 0.5, "for_s": 5.0, "how": "orders"},
            {"x": 0.5, "for_s": 5.0, "how": "all"},
        ),
    ),
    Trouble(
        "scale_in",
        (
            {"service": "@s0", "share": 0.2},
            {"service": "@s0", "share": 0.2, "how": "spot"},
        ),
        planned=True,
    ),
    Trouble(
        "roll_term",
        ({"share": 0.5, "gap_s": 0.8}, {"gap_s": 0.8, "how": "busy"}),
        planned=True,
    ),
    Trouble(
        "srv_grey",
        (
            {"service": "@s0", "share": 0.3, "for_s": 4.0, "how": "errors"},
            {"service": "@s0", "share": 0.3, "for_s": 4.0, "how": "hang"},
            {"service": "@s0", "share": 0.3, "for_s": 4.0, "how": "slow"},
        ),
    ),
    Trouble(
        "node_freeze",
        (
            {"on": "core", "count": 1, "for_s": 4.0, "how": "giver"},
            {"on": "core", "count": 1, "for_s": 4.0, "how": "renewed"},
        ),
    ),
    Trouble("shift", ({"zone": "@z0", "share": 0.5, "for_s": 4.0},)),
    Trouble(
        "platform_compact",
        (
            {"x": 5.5, "for_s": 3.0, "how": "drain keyed"},
            {"x": 5.5, "for_s": 3.0, "how": "rebalance"},
            {"x": 5.5, "for_s": 3.0, "how": "rewind"},
        ),
    ),
    Trouble("kv_slow", ({"service": "@s0", "x": 8.0, "for_s": 4.0},)),
    Trouble(
        "answer_lost",
        (
            {"service": "@s0", "x": 0.1, "for_s": 4.0},
            {"service": "@s0", "x": 0.1, "for_s": 4.0, "how": "reset"},
        ),
    ),
    Trouble("hup", ({"share": 1.0, "gap_s": 0.5},), planned=True),
    Trouble(
        "srv_cut",
        (
            {"service": "@s0", "share": 0.3, "for_s": 3.0, "how": "reborn"},
            {"service": "@s0", "share": 0.3, "for_s": 3.0, "how": "one_way"},
            {"service": "@s0", "share": 0.3, "for_s": 3.0, "how": "fronts"},
        ),
    ),
    Trouble("revoke", ({"count": 2, "gap_s": 0.5},), planned=True),
    Trouble(
        "replace_core",
        ({"x": 2.0}, {"x": 2.0, "how": "leader"}),
    ),
    Trouble("platform_slow", ({"x": 60.0, "for_s": 4.0},)),
    Trouble(
        "scale_out",
        ({"service": "@s0", "share": 0.5, "gap_s": 2.0},),
        planned=True,
    ),
    Trouble(
        "garble",
        (
            {"service": "@s0", "x": 0.05, "for_s": 4.0, "how": "extra late"},
            {"service": "@s0", "x": 0.05, "for_s": 4.0, "how": "unframed"},
            {"service": "@s0", "x": 0.05, "for_s": 4.0, "how": "early"},
        ),
    ),
    Trouble(
        "clock_step",
        (
            {"x": 4000.0, "share": 0.5, "for_s": 4.0, "how": "ahead"},
            {"x": 4000.0, "share": 0.5, "for_s": 4.0, "how": "back"},
        ),
    ),
    Trouble("config_storm", ({"gap_s": 0.4, "for_s": 3.0},), planned=True),
    Trouble(
        "after_ack_kill",
        ({"count": 2, "for_s": 2.0}, {"for_s": 2.0, "how": "timed"}),
    ),
    Trouble("reset_conns", ({"share": 0.6, "x": 0.8},)),
    Trouble(
        "srv_slow",
        ({"service": "@s0", "share": 0.3, "x": 4.0, "for_s": 4.0},),
    ),
    Trouble("add_nodes", ({"count": 1},), planned=True),
    Trouble(
        "herd_kill",
        (
            {"on": "core"},
            {"on": "core", "for_s": 2.0, "how": "off"},
            {"share": 0.6, "for_s": 2.0, "how": "power"},
        ),
    ),
    Trouble("events_gap", ({"service": "@s0", "for_s": 4.0},)),
    Trouble("lossy", ({"zone": "@z0", "x": 0.05, "for_s": 4.0},)),
    Trouble("big_config", ({"count": 300},), planned=True),
    Trouble(
        "node_cut",
        (
            {"share": 0.3, "for_s": 4.0, "how": "meet"},
            {
                "service": "@s0",
                "share": 0.3,
                "for_s": 4.0,
                "how": "servers reborn",
            },
        ),
    ),
    Trouble(
        "replace_with_reuse",
        (
            {"service": "@s0", "share": 0.2},
            {"service": "@s0", "share": 0.2, "how": "dark"},
        ),
    ),
)


def toml(value: str | int | float) -> str:
    """Return a value as TOML writes it."""
    return f'"{value}"' if isinstance(value, str) else str(value)


def rounds(count: int) -> Iterator[list[tuple[int, int]]]:
    """Yield every pair of `count` things once, in rounds.

    A round holds each thing once.  One thing stays in its place while the
    others move on by one place a round (the circle method); the number of
    things is even.
    """
    others = list(range(1, count))
    for turn in range(count - 1):
        ring = [0, *others[turn:], *others[:turn]]
        half = count // 2
        yield list(zip(ring[:half], reversed(ring[half:]), strict=True))


def day(
    name: str, number: int, floor: float, brought: list[tuple[Trouble, str]]
) -> str:
    """Return the text of a day file that brings the troubles."""
    lines = [
        f'name = "{name}"',
        'slot = "trouble"',
        f"seed = {number}",
        f'closing = {{ kind = "{CLOSINGS[number % 2]}", down_s = 1.0 }}',
        "one = 0.5",
        "zero = 0.2",
        f"goal = {{ floor = {floor} }}",
    ]
    for title, planned in (("plan", True), ("faults", False)):
        entries = [text for what, text in brought if what.planned == planned]
        if entries:
            lines += [f"{title} = [", *entries, "]"]
    return "\n".join(lines) + "\n"


def days_alone() -> Iterator[tuple[str, str]]:
    """Yield name and text of the days that bring each kind on its own."""
    held = len(STARTS_ALONE)
    for number, first in enumerate(range(0, len(TROUBLES), held), 1):
        brought = [
            (trouble, trouble.entry(at_s, 0))
            for at_s, trouble in zip(
                STARTS_ALONE, TROUBLES[first : first + held], strict=False
            )
        ]
        name = f"alone-{number}"
        yield name, day(name, 7200 + number, FLOOR, brought)


def days_of_pairs() -> Iterator[tuple[str, str]]:
    """Yield name and text of the days that bring every pair of kinds."""
    pairs = [
        (turn, pair)
        for turn, held in enumerate(rounds(len(TROUBLES)))
        for pair in held
    ]
    held = len(STARTS_OF_PAIRS)
    for number, first in enumerate(range(0, len(pairs), held), 1):
        brought = []
        for at_s, (turn, (one, other)) in zip(
            STARTS_OF_PAIRS, pairs[first : first + held], strict=False
        ):
            leading, following = TROUBLES[one], TROUBLES[other]
            if turn % 2:
                leading, following = following, leading
            brought += [
                (leading, leading.entry(at_s, turn)),
                (following, following.entry(at_s + PAIR_GAP_S, turn)),
            ]
        name = f"pairs-{number}"
        yield name, day(name, 7300 + number, FLOOR_OF_PAIRS, brought)


def main() -> None:
    """Write the days asked for."""
    target, what, *bounds = sys.argv[1:]
    if what not in ("alone", "pairs"):
        raise SystemExit(f"no such days: {what!r}; use alone or pairs")
    days = days_alone() if what == "alone" else days_of_pairs()
    first = int(bounds[0]) if bounds else 1
    last = int(bounds[1]) if len(bounds) > 1 else None
    for name, text in itertools.islice(days, first - 1, last):
        (pathlib.Path(target) / f"{name}.toml").write_text(text)


if __name__ == "__main__":
    main()
