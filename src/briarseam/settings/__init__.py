"""Settings of one instance, read from an INI file into data classes.

``load`` reads and validates a file; ``Settings.explain`` lists each value with
its source.
"""

from __future__ import annotations

from briarseam.settings.address import Address as Address
from briarseam.settings.address import parse as parse_address
from briarseam.settings.errors import SettingsError as SettingsError
from briarseam.settings.loading import ValueOverride as ValueOverride
from briarseam.settings.loading import load as load
from briarseam.settings.model import ExplainedValue as ExplainedValue
from briarseam.settings.model import Settings as Settings
from briarseam.settings.secret import Secret as Secret
from briarseam.settings.sections import Agent as Agent
from briarseam.settings.sections import Claims as Claims
from briarseam.settings.sections import Entry as Entry
from briarseam.settings.sections import Instance as Instance
from briarseam.settings.sections import Limits as Limits
from briarseam.settings.sections import Logging as Logging
from briarseam.settings.sections import Platform as Platform
from briarseam.settings.sections import Team as Team

__all__ = [
    "Address",
    "Agent",
    "Claims",
    "Entry",
    "ExplainedValue",
    "Instance",
    "Limits",
    "Logging",
    "Platform",
    "Secret",
    "Settings",
    "SettingsError",
    "Team",
    "ValueOverride",
    "load",
    "parse_address",
]
