"""The time line as text: a table, or at most 40 columns."""

from __future__ import annotations

import typing

from briarseam import wrapping
from briarseam.timeline import rows as building

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.timeline import messages

GAP = "  "


def render(found: messages.Events, narrow: bool) -> str:
    """Return the time line as lines of text.

    Parameters
    ----------
    found
        Merged events.
    narrow
        Whether to stay within 40 columns.
    """
    rows = building.build_rows(found)
    lines = narrow_lines(rows) if narrow else table_lines(rows)
    after = [building.summary(found), *building.notes(found)]
    if narrow:
        after = [line for text in after for line in wrapping.wrapped(text, "")]
    if lines:
        lines.append("")
    return "\n".join([*lines, *after])


def table_lines(
    rows: collections.abc.Sequence[building.Row],
) -> list[str]:
    """Return one line an event, columns aligned."""
    cells = [
        [row.time, row.after.rjust(9), row.process, row.kind] for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        GAP.join(
            [
                *map(str.ljust, line, widths),
                " ".join(row.about),
            ]
        ).rstrip()
        for line, row in zip(cells, rows, strict=True)
    ]


def narrow_lines(
    rows: collections.abc.Sequence[building.Row],
) -> list[str]:
    """Return a block an event: when and what, who, about what."""
    lines: list[str] = []
    for row in rows:
        lines += wrapping.wrapped(
            f"{row.time} {row.kind} {row.after}".rstrip(), ""
        )
        words = building.packed(
            (row.process, *row.about),
            wrapping.NARROW_COLUMNS - len(wrapping.INDENT),
        )
        lines += [wrapping.INDENT + line for line in words]
    return lines
