from __future__ import annotations

import pathlib
import tomllib

from packaging import requirements
from packaging import utils

ROOT = pathlib.Path(__file__).parent.parent


def pinned() -> dict[str, str]:
    lines = (ROOT / "constraints.txt").read_text().split()
    pairs = (line.partition("==") for line in lines)
    return {utils.canonicalize_name(name): pin for name, _, pin in pairs}


def test_every_declared_package_is_pinned_within_its_bounds():
    project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
    declared = list(project["dependencies"])
    for extra in project["optional-dependencies"].values():
        declared += extra
    pins = pinned()
    for text in declared:
        requirement = requirements.Requirement(text)
        pin = pins[utils.canonicalize_name(requirement.name)]
        assert requirement.specifier.contains(pin), text


def test_rich_is_not_installed():
    """Each agent takes megabytes more than its bound: structlog imports
    rich wherever it is installed, and a new release of some library that
    CherryPy depends on has brought it in.
    """
    assert "rich" not in pinned()
