"""The one entry of the command line."""

from __future__ import annotations

import os
import sys
import typing

from briarseam import command
from briarseam import settings

if typing.TYPE_CHECKING:
    import collections.abc

EXIT_USAGE = 2
EXIT_INTERRUPTED = 130
EXIT_OUTPUT_CLOSED = 141


def run(argv: collections.abc.Sequence[str] | None = None) -> int:
    """Run one subcommand.

    Parameters
    ----------
    argv
        Arguments after the program's name; those of the process unless
        given.

    Returns
    -------
    int
        Exit status: 0 done, 1 failed, 2 bad usage or settings.
    """
    arguments = list(sys.argv[1:] if argv is None else argv)
    try:
        status = attempt(arguments)
        sys.stdout.flush()
    except BrokenPipeError:
        # After `briarseam ... | head` the interpreter, flushing standard
        # output once more as it exits, would print a traceback; nothing is
        # left to flush into a closed pipe once it is the null device.
        quiet = os.open(os.devnull, os.O_WRONLY)
        os.dup2(quiet, sys.stdout.fileno())
        return EXIT_OUTPUT_CLOSED
    return status


def attempt(arguments: list[str]) -> int:
    """Run one subcommand and return its exit status, errors told."""
    try:
        return command.execute(arguments)
    except SystemExit as left:
        return exit_status(left)
    except settings.SettingsError as error:
        print(f"briarseam: {error}", file=sys.stderr)
        return EXIT_USAGE
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def exit_status(left: SystemExit) -> int:
    """Return the status with which argparse leaves."""
    match left.code:
        case None:
            return 0
        case int(status):
            return status
        case message:
            print(message, file=sys.stderr)
            return 1
