"""Files with which the platform deploys the system."""

from __future__ import annotations

import dataclasses
import pathlib
import re
import tomllib

from briarseam.command import build_parser
from briarseam.command import find
from briarseam.settings import serving

ROOT = pathlib.Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
PLACEHOLDER = re.compile(r"\{\{.*?\}\}")


def template_keys() -> dict[str, set[str]]:
    keys: dict[str, set[str]] = {}
    section = ""
    template = ROOT / DEPLOY["roles"]["briarseam"]["template"]
    for line in template.read_text().splitlines():
        text = PLACEHOLDER.sub("", line).strip()
        if text.startswith("["):
            section = text.strip("[]")
            keys[section] = set()
        elif "=" in text and not text.startswith("#"):
            keys[section].add(text.partition("=")[0].strip())
    return keys


def test_template_sets_only_known_keys():
    """Guards against a key renamed in the settings but not in the template.

    No process would start on the platform.
    """
    for section, keys in template_keys().items():
        section_type = serving.SECTION_TYPES[section]
        known = {field.name for field in dataclasses.fields(section_type)}
        assert keys <= known, section


def test_template_sets_all_keys_without_a_default():
    keys = template_keys()
    for section, section_type in serving.SECTION_TYPES.items():
        required = {
            field.name
            for field in dataclasses.fields(section_type)
            if field.default is dataclasses.MISSING
        }
        assert required <= keys.get(section, set()), section


def test_command_of_the_role_can_be_parsed():
    command = DEPLOY["roles"]["briarseam"]["run"].split()
    arguments = command[command.index("briarseam") + 1 :]
    parsed = build_parser(find(arguments)).parse_args(arguments)
    assert parsed.settings_from


def test_requirements_are_pinned():
    names = {
        line.strip().lower()
        for line in (ROOT / "deploy" / "requirements.txt").read_text().split()
        if line.strip() and not line.startswith("#")
    }
    pinned = {
        line.partition("==")[0].lower()
        for line in (ROOT / "constraints.txt").read_text().splitlines()
    }
    libraries = {"cheroot", "msgpack", "msgspec", "structlog", "urllib3"}
    assert libraries <= names & pinned
