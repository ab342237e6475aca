from __future__ import annotations

import argparse

import pytest

from briarseam import settings
from briarseam.command import options


@pytest.fixture
def parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        formatter_class=argparse.ArgumentDefaultsHelpFormatter
    )
    options.add_settings(parser)
    parser.add_argument("--wait", type=options.duration_ms, default="3s")
    parser.add_argument("--at", type=options.address)
    parser.add_argument("--size", type=options.size_bytes, default="64KiB")
    return parser


def test_overrides_go_before_the_file(parser, write, valid):
    args = parser.parse_args(
        ["--settings", write(valid), "--set", "entry.listen=127.0.0.1:8009"]
    )
    loaded = options.load_settings(args)
    assert loaded.entry.listen == settings.Address("127.0.0.1", 8009)


def test_defaults_with_units_are_converted(parser):
    args = parser.parse_args(["--settings", "x"])
    assert (args.wait, args.size) == (3000, 65_536)


@pytest.mark.parametrize(
    ("argv", "expected"),
    [
        (["--wait", "soon"], "expected a number with a unit"),
        (["--at", "localhost:1"], "expected IP:port"),
        (["--set", "entry"], "expected SECTION.KEY=VALUE"),
    ],
    ids=["duration", "address", "override"],
)
def test_bad_values_tell_what_was_expected(parser, argv, expected, capsys):
    with pytest.raises(SystemExit):
        parser.parse_args(["--settings", "x", *argv])
    assert expected in capsys.readouterr().err
