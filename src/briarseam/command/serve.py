"""``briarseam serve``: one process that serves on the users' platform."""

from __future__ import annotations

import os
import sys
import typing

import structlog

from briarseam import allocator
from briarseam import clocks
from briarseam import loading
from briarseam import log_writer
from briarseam import logs
from briarseam.command import signals
from briarseam.settings import errors
from briarseam.settings import serving

if typing.TYPE_CHECKING:
    import argparse

# The platform kills a process that is still there a second after it should
# have ended; threads that are still at work end with the process.
STOP_WAIT_S = 0.2
log = structlog.get_logger("briarseam.node")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the options of the subcommand."""
    place = parser.add_mutually_exclusive_group(required=True)
    place.add_argument(
        "--settings",
        metavar="FILE",
        help="settings of this process, an INI file",
    )
    place.add_argument(
        "--settings-from",
        metavar="VARIABLE",
        help="environment variable that names the settings file",
    )


def execute(args: argparse.Namespace) -> int:
    """Serve until SIGTERM or SIGINT, then shut down gracefully."""
    allocator.return_freed_memory()
    settings = serving.load(settings_path(args))
    stop = signals.watch()
    # Until the parts stand a reload has nothing to change.
    stop.on_reload(lambda: None)
    writer = log_writer.BoundedWriter(sys.stdout)
    writer.start()
    logs.set_up(
        settings.logging,
        settings.instance.name,
        typing.cast("typing.TextIO", writer),
    )
    # Imported here: the settings are checked before anything is loaded.
    with loading.without_collections():
        from briarseam.compose import node as compose

    node = compose.Node(settings)
    stop.on_reload(node.reloading.request)
    node.start()
    log.info(
        "started",
        zone=settings.instance.zone,
        callers=str(settings.listen.callers),
        settings=settings.path,
    )
    asked_s = stop.wait()
    late_ms = round((clocks.boot_clock() - asked_s) * 1000)
    log.info("stopping", noticed_after_ms=late_ms)
    node.drain(lambda: stop.hurried, asked_s)
    node.stop(STOP_WAIT_S)
    log.info("stopped", log_lines_left_out=writer.left_out)
    writer.close()
    return 0


def settings_path(args: argparse.Namespace) -> str:
    """Return the settings file that the options name.

    Raises
    ------
    SettingsError
        If the environment variable is not set.
    """
    if args.settings is not None:
        return str(args.settings)
    path = os.environ.get(args.settings_from)
    if not path:
        raise errors.SettingsError(
            args.settings_from, "", "", "the path of a settings file"
        )
    return path
