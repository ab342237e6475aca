"""The time line as one HTML page that needs nothing else.

Time runs downwards, so that the page scrolls as a phone does.  Each process
is a lane at the left, each event a dot in its lane with its words beside
it, and a line leads from each event to the next, so that a jump between
lanes shows a message.  Distances are not to scale; the time since the event
before stands at each.
"""

from __future__ import annotations

import dataclasses
import html
import typing

from briarseam.timeline import rows as building

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.timeline import messages

WIDTH = 390
MARGIN = 10
LANES_WIDTH = 96
LANE_STEP = 16
LETTER_WIDTH = 7.0
LINE_HEIGHT = 15
ROW_GAP = 9
DOT_RADIUS = 5
HUES = 12

STYLE = """
:root { color-scheme: light dark; --ink: #1b1f24; --dim: #57606a;
  --paper: #ffffff; --rule: #d0d7de; --plain: #57606a; --good: #1a7f37;
  --warning: #9a6700; --bad: #cf222e; }
@media (prefers-color-scheme: dark) { :root { --ink: #e6edf3;
  --dim: #9da7b1; --paper: #0d1117; --rule: #30363d; --plain: #9da7b1;
  --good: #3fb950; --warning: #d29922; --bad: #ff7b72; } }
body { margin: 0 auto; max-width: 780px; background: var(--paper);
  color: var(--ink); font: 15px/1.4 system-ui, sans-serif; }
header, footer { padding: 10px; }
h1 { font-size: 18px; margin: 0 0 4px; overflow-wrap: anywhere; }
p { margin: 4px 0; overflow-wrap: anywhere; }
ul { list-style: none; margin: 6px 0 0; padding: 0; font-size: 13px;
  display: flex; flex-wrap: wrap; gap: 2px 12px; }
.note { color: var(--bad); font-weight: 600; }
svg { display: block; width: 100%; height: auto; }
text { fill: var(--ink); font: 11.5px ui-monospace, monospace; }
.kind { font-weight: 700; font-size: 13px; }
.dim { fill: var(--dim); }
.lane { stroke: var(--rule); stroke-width: 1; }
.hop { stroke: var(--dim); stroke-width: 1.5; fill: none; }
.plain { fill: var(--plain); } .good { fill: var(--good); }
.warning { fill: var(--warning); } .bad { fill: var(--bad); }
"""


@dataclasses.dataclass(frozen=True)
class Lanes:
    """Where the processes' lanes lie.

    Attributes
    ----------
    numbers
        Number of each process's lane, in order of appearance.
    """

    numbers: typing.Mapping[str, int]

    @property
    def step(self) -> float:
        """Return the distance between lanes; many lanes lie closer."""
        return min(LANE_STEP, LANES_WIDTH / max(1, len(self.numbers)))

    def x(self, process: str) -> float:
        """Return where a process's lane lies."""
        return MARGIN + self.step * (self.numbers[process] + 0.5)

    @property
    def words_x(self) -> float:
        """Return where the words beside the lanes begin."""
        return 2 * MARGIN + self.step * len(self.numbers)

    @property
    def columns(self) -> int:
        """Return how many letters fit beside the lanes."""
        return int((WIDTH - MARGIN - self.words_x) / LETTER_WIDTH)


def render(found: messages.Events, title: str) -> str:
    """Return the page.

    Parameters
    ----------
    found
        Merged events.
    title
        What was asked for.
    """
    rows = building.build_rows(found)
    lanes = build_lanes(rows)
    return "\n".join(
        [
            "<!doctype html>",
            '<html lang="en"><head><meta charset="utf-8">',
            '<meta name="viewport" content="width=device-width">',
            # Ids come from callers too: should one that holds markup ever
            # get past the escaping, no script of it may run.
            '<meta http-equiv="Content-Security-Policy" '
            "content=\"default-src 'none'; style-src 'unsafe-inline'\">",
            f"<title>{html.escape(title)}</title>",
            f"<style>{STYLE}</style></head><body>",
            *header(found, title, lanes),
            picture(rows, lanes),
            "</body></html>",
            "",
        ]
    )


def header(
    found: messages.Events,
    title: str,
    lanes: Lanes,
) -> list[str]:
    """Return the heading, what is missing, and the names of the lanes."""
    warnings = [
        f'<p class="note">{html.escape(note)}</p>'
        for note in building.notes(found)
    ]
    names = [
        f"<li>{lane_mark(number)} {html.escape(name)}</li>"
        for name, number in lanes.numbers.items()
    ]
    return [
        f"<header><h1>{html.escape(title)}</h1>",
        f"<p>{html.escape(building.summary(found))}</p>",
        *warnings,
        f"<ul>{''.join(names)}</ul></header>",
    ]


def build_lanes(
    rows: collections.abc.Iterable[building.Row],
) -> Lanes:
    """Return the lanes of the processes that the rows name."""
    numbers: dict[str, int] = {}
    for row in rows:
        numbers.setdefault(row.process, len(numbers))
    return Lanes(numbers)


def picture(rows: collections.abc.Sequence[building.Row], lanes: Lanes) -> str:
    """Return the drawing."""
    shapes: list[str] = []
    points: list[str] = []
    top = float(ROW_GAP)
    for row in rows:
        words = wrapped(row, lanes.columns)
        middle = top + LINE_HEIGHT / 2
        points.append(f"{lanes.x(row.process):.1f},{middle:.1f}")
        shapes.append(dot(row, lanes, middle))
        shapes += texts(row, words, lanes.words_x, top)
        top += LINE_HEIGHT * (1 + len(words)) + ROW_GAP
    rules = [
        f'<line class="lane" x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{top:.0f}"/>'
        for x in map(lanes.x, lanes.numbers)
    ]
    hops = f'<polyline class="hop" points="{" ".join(points)}"/>'
    return (
        f'<svg viewBox="0 0 {WIDTH} {top:.0f}" role="img">'
        f"{''.join(rules)}{hops}{''.join(shapes)}</svg>"
    )


def wrapped(row: building.Row, columns: int) -> list[str]:
    """Return the words below an event's heading, broken to fit."""
    first = building.packed((row.time, row.process), columns)
    return [*first, *building.packed(row.about, columns)]


def dot(row: building.Row, lanes: Lanes, y: float) -> str:
    """Return an event's mark, filled by tone and rimmed by lane."""
    x = lanes.x(row.process)
    rim = colour(lanes.numbers[row.process])
    return (
        f'<circle class="{row.tone}" cx="{x:.1f}" cy="{y:.1f}" '
        f'r="{DOT_RADIUS}" stroke="{rim}" stroke-width="2">'
        f"<title>{html.escape(row.process)}</title></circle>"
    )


def texts(
    row: building.Row,
    words: collections.abc.Sequence[str],
    x: float,
    top: float,
) -> list[str]:
    """Return an event's words."""
    baseline = top + LINE_HEIGHT - 4
    heading = f"{row.kind} {row.after}".rstrip()
    lines = [
        f'<text class="kind {row.tone}" x="{x:.1f}" y="{baseline:.1f}">'
        f"{html.escape(heading)}</text>"
    ]
    for number, line in enumerate(words, start=1):
        y = baseline + LINE_HEIGHT * number
        shade = "dim" if number == 1 else ""
        lines.append(
            f'<text class="{shade}" x="{x:.1f}" y="{y:.1f}" '
            f'xml:space="preserve">{html.escape(line)}</text>'
        )
    return lines


def lane_mark(number: int) -> str:
    """Return the small mark of a lane in the list of names."""
    return (
        '<svg style="display:inline-block;width:10px;height:10px" '
        'viewBox="0 0 10 10">'
        f'<circle cx="5" cy="5" r="4" fill="{colour(number)}"/></svg>'
    )


def colour(lane: int) -> str:
    """Return a lane's colour."""
    hue = lane % HUES * 360 // HUES * 5 % 360
    return f"hsl({hue} 65% 50%)"
