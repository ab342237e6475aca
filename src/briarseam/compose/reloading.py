"""Taking in a settings file that changed while the process runs."""

from __future__ import annotations

import pathlib
import threading
import typing

import structlog

from briarseam.settings import errors
from briarseam.settings import serving

if typing.TYPE_CHECKING:
    import collections.abc

# The file may change without a signal; looking at it this often costs
# nothing that shows.
POLL_INTERVAL_S = 2.0
log = structlog.get_logger("briarseam.node")


class SettingsReloader:
    """Reads the settings again after a signal or when the file changed.

    A file that can't be used changes nothing: the process goes on with the
    settings it has, and says so.

    Parameters
    ----------
    settings
        The settings in force.
    apply
        Puts newer ones in force.
    """

    def __init__(
        self,
        settings: serving.ServeSettings,
        apply: collections.abc.Callable[[serving.ServeSettings], None],
    ) -> None:
        self.settings = settings
        self.apply = apply
        # Read at the first review, whatever it says: it may have changed
        # since the settings were read.
        self.last_text = ""
        self.requested = threading.Event()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="reloading", daemon=True
        )

    def start(self) -> None:
        """Begin to watch the file."""
        self.thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self.stopping.set()
        self.requested.set()

    def request(self) -> None:
        """Let the file be read now."""
        self.requested.set()

    def run(self) -> None:
        """Watch until stopped."""
        while not self.stopping.is_set():
            requested = self.requested.wait(POLL_INTERVAL_S)
            self.requested.clear()
            text = read_text(self.settings.path)
            if requested or text != self.last_text:
                self.last_text = text
                self.reload(requested)

    def reload(self, requested: bool) -> None:
        """Read the file; put it in force if it is good and asked or new."""
        try:
            loaded = serving.load(self.settings.path)
        except errors.SettingsError as error:
            log.error("settings_not_reloaded", detail=str(error))
            return
        changed = changed_keys(self.settings, loaded)
        if requested or loaded != self.settings:
            self.settings = loaded
            self.apply(loaded)
        log.info("settings_reloaded", changed=changed)


def read_text(path: str) -> str:
    """Return a file's text, empty if it can't be read just now."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        log.warning("settings_not_read", path=path, detail=str(error))
        return ""


def changed_keys(
    old: serving.ServeSettings, new: serving.ServeSettings
) -> list[str]:
    """Return which keys differ, as ``section.key``."""
    before = {(row.section, row.key): row.value for row in old.explain()}
    after = {(row.section, row.key): row.value for row in new.explain()}
    return sorted(
        ".".join(names)
        for names in before.keys() | after.keys()
        if before.get(names) != after.get(names)
    )
