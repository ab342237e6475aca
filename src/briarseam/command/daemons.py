"""Running a daemon from its start to its graceful end."""

from __future__ import annotations

import typing

from briarseam import allocator
from briarseam import logs
from briarseam.command import options
from briarseam.command import signals
from briarseam.timeline import kinds
from briarseam.timeline import lines

if typing.TYPE_CHECKING:
    import argparse
    import collections.abc

    from briarseam import settings as settings_module
    from briarseam.timeline import ring as rings


class Daemon(typing.Protocol):
    """What the daemons of an instance have in common."""

    @property
    def ring(self) -> rings.Ring:
        """Events of this process."""

    def start(self) -> str:
        """Begin to serve and return the address."""

    def drain(self, interrupted: collections.abc.Callable[[], bool]) -> object:
        """Leave and wait until nothing is in flight."""

    def stop(self) -> None:
        """Stop all parts."""


def execute(
    args: argparse.Namespace,
    role: str,
    build: collections.abc.Callable[[settings_module.Settings], Daemon],
) -> int:
    """Run a daemon until SIGTERM or SIGINT, then shut down gracefully.

    Parameters
    ----------
    args
        Parsed options; they name the settings.
    role
        What the daemon is to its instance, for logs and the address line.
    build
        Composes it.
    """
    allocator.return_freed_memory()
    settings = options.load_settings(args)
    stop = signals.watch()
    daemon = build(settings)
    logs.set_up(
        settings.logging,
        f"{role}/{settings.instance.name}",
        note=lines.LineNotes(daemon.ring),
    )
    daemon.ring.note(kinds.Kind.STARTED)
    print(f"{role} {daemon.start()}", flush=True)
    stop.wait()
    daemon.ring.note(kinds.Kind.LEAVING)
    daemon.drain(lambda: stop.hurried)
    daemon.stop()
    return 0
