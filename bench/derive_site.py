#!/usr/bin/env python3
"""Write a site file of the users' bench with other sizes and bounds.

    python3 bench/derive_site.py SITE OUT [name=value ...]

The bench then plays the derived deployment like any other:
`fleetbench hunt OUT --days 6 --why TEXT`.  The file of wire names that SITE
names must lie beside OUT.

Values
------
tag
    Ends the derived site's name.
counts
    Instances by zone, as ``3,2,0``.
engines
    Engines by zone, before the share at which the site is played.
tenants
    Number of organisations.
things, load
    Factors on the number of sessions and on the requests a second.
resume=no
    No stream may be resumed.
attempts
    Endpoints that a request may be sent to.
others
    Any bound or machine figure by its name in the site file.
"""

from __future__ import annotations

import pathlib
import re
import sys

MACHINE = ("cpu_share", "cores", "memory_mb", "fds", "link_mbps")


def zones_of(text: str) -> list[str]:
    """Return the zones' names in their order."""
    listed = text.split("zones = [", 1)[1].split("\n]", 1)[0]
    return re.findall(r'name = "([^"]+)", region', listed)


def set_counts(text: str, counts: str, figures: dict[str, str]) -> str:
    """Return the text with other machines in each zone."""
    before, rest = text.split("machines = [\n", 1)
    listed, after = rest.split("\n]", 1)
    model = listed.splitlines()[0]
    lines = []
    for zone, count in zip(zones_of(text), counts.split(","), strict=False):
        if count == "0":
            continue
        line = re.sub(r'zone = "[^"]+"', f'zone = "{zone}"', model)
        line = re.sub(r"\bcount = \d+", f"count = {count}", line)
        for name, value in figures.items():
            line = re.sub(rf"\b{name} = [\d.]+", f"{name} = {value}", line)
        lines.append(line)
    return f"{before}machines = [\n{chr(10).join(lines)}\n]{after}"


def scale(text: str, name: str, factor: float, follows: str = "") -> str:
    """Return the text with each number of a name times a factor."""

    def scaled(found: re.Match[str]) -> str:
        value = float(found[1]) * factor
        shown = f"{value:.3g}" if "." in found[1] else str(round(value))
        return f"{name} = {shown}{follows}"

    return re.sub(rf"\b{name} = ([\d.]+){re.escape(follows)}", scaled, text)


def derive(text: str, values: dict[str, str]) -> str:
    """Return the text of a site file with other values."""
    rest = dict(values)
    tag = rest.pop("tag", "derived")
    text = re.sub(
        r'^name = "(.+)"$', rf'name = "\1-{tag}"', text, count=1, flags=re.M
    )
    figures = {name: rest.pop(name) for name in MACHINE if name in rest}
    if "counts" in rest:
        text = set_counts(text, rest.pop("counts"), figures)
    if "engines" in rest:
        count = rest.pop("engines")
        text = re.sub(
            r'(model = "llm", servers = )\[[^]]*\]',
            lambda found: re.sub(r"count = \d+", f"count = {count}", found[0]),
            text,
        )
    if "things" in rest:
        text = scale(text, "things", float(rest.pop("things")))
    if "load" in rest:
        text = scale(text, "per_s", float(rest.pop("load")), ", clients")
    if rest.pop("resume", "yes") == "no":
        text = text.replace("resume = true", "resume = false")
    if "attempts" in rest:
        text = re.sub(
            r"\battempts = \d+", f"attempts = {rest.pop('attempts')}", text
        )
    if "tenants" in rest:
        count = rest.pop("tenants")
        text = re.sub(r"(\[tenants\]\ncount = )\d+", rf"\g<1>{count}", text)
    for name, value in rest.items():
        text, found = re.subn(
            rf"^{name} = .*$", f"{name} = {value}", text, flags=re.M
        )
        if not found:
            raise SystemExit(f"the site file has no line {name!r}")
    return text


def main() -> None:
    """Derive one file."""
    source, target, *pairs = sys.argv[1:]
    values = dict(pair.split("=", 1) for pair in pairs)
    text = pathlib.Path(source).read_text()
    pathlib.Path(target).write_text(derive(text, values))


if __name__ == "__main__":
    main()
