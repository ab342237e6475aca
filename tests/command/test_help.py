"""The help of every subcommand and action."""

from __future__ import annotations

import pytest

from briarseam import command
from briarseam import run

NARROW = 40
ACTIONS = [
    *([one.name] for one in command.COMMANDS),
    *(
        ["config", name]
        for name in ("get", "tree", "diff", "history", "apply", "set")
    ),
    ["condemned", "list"],
    ["condemned", "lift"],
    ["settings", "check"],
]


def help_of(words, columns, monkeypatch, capsys):
    """Return the help that a terminal of so many columns shows."""
    monkeypatch.setenv("COLUMNS", str(columns))
    assert run.run([*words, "--help"]) == 0
    return capsys.readouterr().out


@pytest.mark.parametrize("words", ACTIONS, ids=" ".join)
def test_help_names_only_defaults_that_are_values(words, monkeypatch, capsys):
    # An operator reads "(default: None)" beside an option that must be
    # given, or an empty one, and cannot tell what happens without it.
    # argparse's own formatter prints whatever the default happens to be.
    text = help_of(words, 80, monkeypatch, capsys)
    for nothing in ("None", "False", ")"):
        assert f"(default: {nothing}" not in text


@pytest.mark.parametrize("words", ACTIONS, ids=" ".join)
def test_help_fits_a_phone(words, monkeypatch, capsys):
    # On a phone's terminal a line wider than the screen breaks within
    # words and the two columns of options cannot be told apart.
    text = help_of(words, NARROW, monkeypatch, capsys)
    assert max(map(len, text.splitlines())) <= NARROW


@pytest.mark.parametrize("words", ACTIONS, ids=" ".join)
def test_help_explains_every_argument(words, monkeypatch, capsys):
    # An operator sees DIR or PREFIX with nothing beside it.
    text = help_of(words, NARROW, monkeypatch, capsys)
    listed = text.split("arguments:" if "arguments:" in text else "options:")
    lines = [line for line in listed[1].splitlines() if line.strip()]
    names = [
        number
        for number, line in enumerate(lines)
        if line.startswith("  ") and line[2] != " "
    ]
    for number in names:
        assert lines[number + 1].startswith("    "), lines[number]
