"""Reloading of the settings file while the process runs."""

from __future__ import annotations

import pathlib
import threading
import typing

import structlog

from briarseam.settings import errors
from briarseam.settings import serving

if typing.TYPE_CHECKING:
    import collections.abc

# The file may change without a signal, so it is polled; at this interval the
# cost is negligible.
POLL_INTERVAL_S = 2.0
log = structlog.get_logger("briarseam.node")


class SettingsReloader:
    """Reloads the settings on request, or when the file has changed.

    If the file is unusable, the error is logged and the current settings
    stay in force.

    Parameters
    ----------
    settings
        The settings in force.
    apply
        Puts new settings in force.
    """

    def __init__(
        self,
        settings: serving.ServeSettings,
        apply: collections.abc.Callable[[serving.ServeSettings], None],
    ) -> None:
        self.settings = settings
        self.apply = apply
        # Empty, so that the first poll always loads the file: it may have
        # changed since ``settings`` were loaded.
        self.last_text = ""
        self.requested = threading.Event()
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="reloading", daemon=True
        )

    def start(self) -> None:
        """Start polling the file."""
        self.thread.start()

    def stop(self) -> None:
        """Stop polling."""
        self.stopping.set()
        self.requested.set()

    def request(self) -> None:
        """Request a reload now."""
        self.requested.set()

    def run(self) -> None:
        """Poll the file until stopped."""
        while not self.stopping.is_set():
            requested = self.requested.wait(POLL_INTERVAL_S)
            self.requested.clear()
            text = read_text(self.settings.path)
            if requested or text != self.last_text:
                self.last_text = text
                self.reload(requested)

    def reload(self, requested: bool) -> None:
        """Load the file; apply valid settings if requested or changed.

        Parameters
        ----------
        requested
            Whether to apply the settings even if they are unchanged.
        """
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
    """Return a file's text; empty if it cannot be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        log.warning("settings_not_read", path=path, detail=str(error))
        return ""


def changed_keys(
    old: serving.ServeSettings, new: serving.ServeSettings
) -> list[str]:
    """Return the keys whose values differ, as ``section.key``."""
    before = {(row.section, row.key): row.value for row in old.explain()}
    after = {(row.section, row.key): row.value for row in new.explain()}
    return sorted(
        ".".join(names)
        for names in before.keys() | after.keys()
        if before.get(names) != after.get(names)
    )
