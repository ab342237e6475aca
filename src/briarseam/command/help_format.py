"""How ``--help`` is laid out."""

from __future__ import annotations

import argparse
import textwrap
import typing

if typing.TYPE_CHECKING:
    import collections.abc

NARROW_COLUMNS = 60
NARROW_HELP_POSITION = 6


class HelpFormatter(argparse.ArgumentDefaultsHelpFormatter):
    """Tells a default where there is one; fits a phone's terminal.

    Below 60 columns each option has a line of its own with its text below,
    since two columns would leave a few words a line, and the usage shows
    what must be given alone.

    Parameters
    ----------
    prog
        Name of the program in the usage line.
    """

    def __init__(self, prog: str) -> None:
        super().__init__(prog)
        if self._width < NARROW_COLUMNS:
            self._max_help_position = NARROW_HELP_POSITION

    def _get_help_string(self, action: argparse.Action) -> str | None:
        default = action.default
        if default is None or default is False or default == "":
            return action.help
        return super()._get_help_string(action)

    def _format_usage(
        self,
        usage: str | None,
        actions: collections.abc.Iterable[argparse.Action],
        groups: collections.abc.Iterable[typing.Any],
        prefix: str | None,
    ) -> str:
        # argparse asks with an empty prefix to name the actions' programs.
        if prefix == "" or self._width >= NARROW_COLUMNS:
            return super()._format_usage(usage, actions, groups, prefix)
        needed = [one for one in actions if one.required]
        shown = self._format_actions_usage(needed, [])
        text = textwrap.fill(
            f"usage: {self._prog} [OPTIONS] {shown}",
            self._width,
            subsequent_indent="  ",
            break_on_hyphens=False,
        )
        return f"{text}\n\n"
