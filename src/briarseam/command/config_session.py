"""What every action of ``briarseam config`` works with."""

from __future__ import annotations

import typing

from briarseam.backing import log as logs
from briarseam.command import config_output
from briarseam.command import options
from briarseam.configuration import declarations
from briarseam.configuration import loading
from briarseam.configuration import snapshots
from briarseam.configuration import teams as team_types

if typing.TYPE_CHECKING:
    import argparse

    from briarseam import settings as settings_types
    from briarseam.configuration import fold as folds


class Session:
    """What every action needs: the log, the teams and the options."""

    def __init__(self, args: argparse.Namespace) -> None:
        self.args = args
        self.settings: settings_types.Settings = options.load_settings(args)
        self.teams = team_types.from_settings(self.settings.teams)
        self.client = logs.LogClient(str(self.settings.platform.log))
        shared = self.settings.agent.shared_key
        self.key = snapshots.derive_key(shared.value if shared else b"")
        self.output = config_output.Output(args)

    def load(self) -> folds.Fold:
        """Return the tree at the log's end."""
        return loading.load(self.client, self.teams, self.key)

    def team(self) -> str:
        """Return the author's team.

        Raises
        ------
        DeclarationError
            When it is not known or there are several to choose from.
        """
        names = sorted(self.teams.by_name)
        chosen = getattr(self.args, "team", None)
        if chosen is None and len(names) == 1:
            return names[0]
        if chosen not in names:
            known = ", ".join(names) or "none"
            raise declarations.DeclarationError(
                "--team", "", f"one of the teams in the settings: {known}"
            )
        return str(chosen)

    def entries(self) -> list[str]:
        """Return the entry addresses to ask for the agents' offsets."""
        chosen = getattr(self.args, "entry", None)
        if chosen is not None:
            return [str(chosen)]
        return [str(a) for a in self.settings.instance.entry_addresses]
