"""Load a settings file, rejecting unknown keys and invalid values."""

from __future__ import annotations

import dataclasses
import pathlib
import types
import typing

from briarseam.settings import convert
from briarseam.settings import errors
from briarseam.settings import ini
from briarseam.settings import model
from briarseam.settings import secret
from briarseam.settings import sections

if typing.TYPE_CHECKING:
    import _typeshed

SECTION_TYPES = {
    "instance": sections.Instance,
    "agent": sections.Agent,
    "entry": sections.Entry,
    "platform": sections.Platform,
    "claims": sections.Claims,
    "logging": sections.Logging,
    "limits": sections.Limits,
}
CLAIMS_MARGIN_S = 600.0
TEAM_PREFIX = "team "
# With a shorter TTL an ordinary pause of the process ends a lease; with a
# longer one ``leases.records`` rejects the records of the lease.
MIN_LEASE_TTL_MS = 1000
MAX_LEASE_TTL_MS = 60_000
NO_PRESET_VALUES: typing.Mapping[str, str] = types.MappingProxyType({})

SectionT = typing.TypeVar("SectionT", bound="_typeshed.DataclassInstance")
Sources = dict[tuple[str, str], model.Source]


@dataclasses.dataclass(frozen=True)
class ValueOverride:
    """A value from the command line, which overrides the file's.

    Attributes
    ----------
    section
        Section, without brackets.
    key
        Key in the section.
    text
        The value, as it would be written in the file.
    """

    section: str
    key: str
    text: str


@dataclasses.dataclass(frozen=True)
class Loader:
    """State of loading one settings file.

    Attributes
    ----------
    path
        The settings file.
    file_sections
        Sections by name, as written in the file.
    overrides
        Values from the command line.
    sources
        Source of each value, by section and key; filled as sections load.
    """

    path: str
    file_sections: dict[str, ini.Section]
    overrides: tuple[ValueOverride, ...]
    sources: Sources

    def load_section(
        self,
        name: str,
        section_type: type[SectionT],
        preset: typing.Mapping[str, str] = NO_PRESET_VALUES,
    ) -> SectionT:
        """Return one section, validated.

        Parameters
        ----------
        name
            Name of the section in the file.
        section_type
            Data class of the section.
        preset
            Values of fields that are not keys in the file.
        """
        hints = typing.get_type_hints(section_type, include_extras=True)
        keys = [
            field
            for field in dataclasses.fields(section_type)
            if field.name not in preset
        ]
        self.reject_unknown_keys(name, [field.name for field in keys])
        values: dict[str, typing.Any] = dict(preset)
        for field in keys:
            value = self.load_value(name, field, hints[field.name])
            if value is not dataclasses.MISSING:
                values[field.name] = value
        return section_type(**values)

    def reject_unknown_keys(self, name: str, known: list[str]) -> None:
        """Raise for an unknown key in the file or among the overrides."""
        expected = f"one of the keys {', '.join(known)}"
        for key, entry in self.section_entries(name).items():
            if key not in known:
                raise self.error(name, key, expected, line=entry.line)
        for override in self.overrides:
            if override.section == name and override.key not in known:
                raise self.error(name, override.key, expected)

    def section_entries(self, name: str) -> dict[str, ini.Entry]:
        """Return the entries of a section, none if it is not in the file."""
        if name in self.file_sections:
            return self.file_sections[name].entries
        return {}

    def load_value(
        self,
        section: str,
        field: dataclasses.Field[typing.Any],
        value_type: object,
    ) -> object:
        """Return a field's value, or ``MISSING`` to use its default."""
        key = field.name
        for override in self.overrides:
            if (override.section, override.key) == (section, key):
                self.sources[section, key] = model.CommandLine()
                return self.convert_value(
                    section, key, value_type, override.text, None
                )
        entry = self.section_entries(section).get(key)
        if entry is not None:
            self.sources[section, key] = model.FileLine(self.path, entry.line)
            return self.convert_value(
                section, key, value_type, entry.text, entry.line
            )
        if field.default is dataclasses.MISSING:
            raise self.missing_key_error(
                section, key, convert.describe_expected(key, value_type)
            )
        self.sources[section, key] = model.Default()
        return dataclasses.MISSING

    def convert_value(
        self,
        section: str,
        key: str,
        value_type: object,
        text: str,
        line: int | None,
    ) -> model.Value:
        """Convert a value to its type, or raise an error with its line."""
        try:
            return convert.parse_value(key, value_type, text)
        except ValueError as error:
            secret_value = convert.is_secret(value_type)
            got = "a shorter key" if secret_value else repr(text)
            raise self.error(
                section, key, str(error), got=got, line=line
            ) from error

    def missing_key_error(
        self, section: str, key: str, expected: str
    ) -> errors.SettingsError:
        """Return the error for a required key that is missing."""
        line = (
            self.file_sections[section].line
            if section in self.file_sections
            else None
        )
        return self.error(section, key, expected, got="nothing", line=line)

    def error(
        self,
        section: str,
        key: str,
        expected: str,
        *,
        got: str = "",
        line: int | None = None,
    ) -> errors.SettingsError:
        """Return an error of this file."""
        return errors.SettingsError(
            self.path, section, key, expected, got=got, line=line
        )

    def invalid_value_error(
        self, section: str, key: str, expected: str, value: object
    ) -> errors.SettingsError:
        """Return the error for a value that fails a check after conversion."""
        line = None
        match self.sources.get((section, key)):
            case model.FileLine(line=number):
                line = number
        return self.error(
            section, key, expected, got=repr(str(value)), line=line
        )


def load(
    path: str, overrides: typing.Sequence[ValueOverride] = ()
) -> model.Settings:
    """Return the settings of a file.

    Parameters
    ----------
    path
        An INI file.
    overrides
        Values that override those of the file.

    Raises
    ------
    SettingsError
        If a section or key is unknown, a required key is missing or a
        value is invalid.
    """
    loader = Loader(path, ini.read(path), tuple(overrides), {})
    reject_unknown_sections(loader)
    # `Settings.explain` lists the sections in the order of loading.
    instance = load_instance(loader)
    agent = load_agent(loader)
    entry = loader.load_section("entry", sections.Entry)
    platform = loader.load_section("platform", sections.Platform)
    return model.Settings(
        path=path,
        instance=instance,
        agent=agent,
        entry=entry,
        platform=platform,
        claims=load_claims(loader, platform),
        logging=loader.load_section("logging", sections.Logging),
        limits=loader.load_section("limits", sections.Limits),
        teams=load_teams(loader),
        sources=loader.sources,
    )


def reject_unknown_sections(loader: Loader) -> None:
    """Raise for an unknown section in the file or among the overrides."""
    expected = f"one of [{'], ['.join(SECTION_TYPES)}], [team NAME]"
    for section in loader.file_sections.values():
        known = section.name in SECTION_TYPES
        if not known and not section.name.startswith(TEAM_PREFIX):
            raise loader.error(section.name, "", expected, line=section.line)
    for override in loader.overrides:
        known = override.section in SECTION_TYPES
        if not known and override.section not in loader.file_sections:
            raise loader.error(override.section, "", expected)


def load_instance(loader: Loader) -> sections.Instance:
    """Return ``[instance]``; the cell defaults to the zone."""
    instance = loader.load_section("instance", sections.Instance)
    if not instance.entry_addresses:
        raise loader.invalid_value_error(
            "instance", "entry_addresses", "at least one address", ""
        )
    return dataclasses.replace(instance, cell=instance.cell or instance.zone)


def load_agent(loader: Loader) -> sections.Agent:
    """Return ``[agent]`` with its shared key and consistent times."""
    agent = loader.load_section("agent", sections.Agent)
    if agent.suspect_after_ms <= agent.heartbeat_interval_ms:
        raise loader.invalid_value_error(
            "agent",
            "suspect_after_ms",
            "more than heartbeat_interval_ms",
            agent.suspect_after_ms,
        )
    if agent.stale_after_ms < agent.suspect_after_ms:
        raise loader.invalid_value_error(
            "agent",
            "stale_after_ms",
            "at least suspect_after_ms",
            agent.stale_after_ms,
        )
    if not MIN_LEASE_TTL_MS <= agent.lease_ttl_ms <= MAX_LEASE_TTL_MS:
        raise loader.invalid_value_error(
            "agent",
            "lease_ttl_ms",
            f"between {MIN_LEASE_TTL_MS} and {MAX_LEASE_TTL_MS}",
            agent.lease_ttl_ms,
        )
    if bool(agent.shared_key) == bool(agent.shared_key_file):
        raise loader.error(
            "agent", "shared_key or shared_key_file", "exactly one of the two"
        )
    if agent.shared_key:
        return agent
    return dataclasses.replace(
        agent, shared_key=read_shared_key_file(loader, agent)
    )


def read_shared_key_file(
    loader: Loader, agent: sections.Agent
) -> secret.Secret:
    """Read the shared key from its file, relative to the settings file."""
    path = pathlib.Path(loader.path).parent / agent.shared_key_file
    try:
        return secret.parse(path.read_bytes())
    except (OSError, ValueError) as error:
        raise loader.invalid_value_error(
            "agent",
            "shared_key_file",
            f"a readable file with {secret.EXPECTED}",
            agent.shared_key_file,
        ) from error


def load_claims(
    loader: Loader, platform: sections.Platform
) -> sections.Claims:
    """Return ``[claims]`` with a window shorter than the log's retention."""
    claims = loader.load_section("claims", sections.Claims)
    max_window_s = platform.log_retention_s - CLAIMS_MARGIN_S
    if claims.window_s > max_window_s:
        # An idempotency key that stays valid after the log drops the record of
        # its claim could be claimed again.
        raise loader.invalid_value_error(
            "claims",
            "window_s",
            f"at most [platform] log_retention_s minus {CLAIMS_MARGIN_S:g}",
            claims.window_s,
        )
    return claims


def load_teams(loader: Loader) -> tuple[sections.Team, ...]:
    """Return the teams in the order of the file."""
    teams = []
    for name in loader.file_sections:
        if name.startswith(TEAM_PREFIX):
            teams.append(load_team(loader, name))
    return tuple(teams)


def load_team(loader: Loader, section: str) -> sections.Team:
    """Return one ``[team NAME]``."""
    name = section.removeprefix(TEAM_PREFIX)
    line = loader.file_sections[section].line
    try:
        convert.validate(name, sections.Name)
    except ValueError as error:
        raise loader.error(
            section, "", f"a team name: {error}", line=line
        ) from error
    team = loader.load_section(section, sections.Team, {"name": name})
    if not team.paths:
        raise loader.invalid_value_error(
            section, "paths", "at least one path", ""
        )
    return team
