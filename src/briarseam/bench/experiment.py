"""Experiment files: INI, validated, as data classes."""

from __future__ import annotations

import configparser
import dataclasses
import typing

import msgspec

Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
FAULT_PREFIX = "fault "
ARM_PREFIX = "arm "
WORKLOAD_PREFIX = "workload."


class ExperimentError(Exception):
    """An experiment file that cannot be used."""


@dataclasses.dataclass(frozen=True)
class Workload:
    """``[workload]``: what callers ask.

    Attributes
    ----------
    seed
        Same seed, same requests at the same times.
    duration_s
        How long requests are sent, for each arm.
    warmup_s
        Requests sent within this are left out of the figures.
    rate_per_s
        Requests a second, on average; arrivals are random.
    sessions
        Sessions that return.
    organisations
        Names of those that send; the first ones are large.
    skew
        Exponent of the sizes of organisations; 0 makes all equal.
    model
        Model asked for.
    pieces_min, pieces_max
        Length of a session's first prompt, in thousand tokens.
    growth_tokens
        What a session's prompt grows by at each return.
    return_median_s
        Median gap after which a session returns.
    return_sigma
        Spread of the gaps (of their logarithm).
    once_share
        Part of requests that are of sessions which never return.
    max_tokens
        Tokens of an answer.
    deadline_ms
        Deadline of the first token.
    resends
        How often callers that are told to come back do so at most.
    burst_organisation
        Who sends first-time prompts on top of the rest for a while; empty
        for nobody.
    burst_at_s, burst_for_s, burst_rate_per_s
        From when, for how long, and how many a second.
    prime
        Whether every session is sent once before the clock starts, so that
        all later requests of it return.
    """

    seed: int
    duration_s: Positive
    warmup_s: float
    rate_per_s: Positive
    sessions: Count
    organisations: tuple[str, ...]
    model: str
    pieces_min: Positive
    pieces_max: Positive
    growth_tokens: int = 300
    return_median_s: Positive = 15.0
    return_sigma: float = 0.8
    once_share: Share = 0.2
    skew: float = 1.0
    max_tokens: Count = 24
    deadline_ms: Count = 10_000
    resends: int = 0
    prime: bool = False
    burst_organisation: str = ""
    burst_at_s: float = 0.0
    burst_for_s: float = 0.0
    burst_rate_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Arm:
    """``[arm NAME]``: settings of the system under which load is run.

    Attributes
    ----------
    name
        From the heading.
    sets
        Configuration values, ``path.field`` to text.
    workload
        What callers ask in this arm: the file's, with what the arm gives as
        ``workload.FIELD`` instead.
    """

    name: str
    sets: dict[str, str]
    workload: Workload


@dataclasses.dataclass(frozen=True)
class Fault:
    """``[fault NAME]``: a switch of a stand-in, turned for a while.

    Attributes
    ----------
    name
        From the heading.
    at_s
        When, from the start of each arm.
    for_s
        How long.
    address
        ``ip:port`` of the stand-in.
    switch, value, normal
        The switch, its value during the fault, and otherwise.
    """

    name: str
    at_s: float
    for_s: Positive
    address: str
    switch: str
    value: str
    normal: str


@dataclasses.dataclass(frozen=True)
class Experiment:
    """A whole experiment file.

    Attributes
    ----------
    name
        Name of the results.
    workload
        What callers ask.
    arms
        Run one after the other; the first is the baseline.
    faults
        Fired in each arm.
    """

    name: str
    workload: Workload
    arms: tuple[Arm, ...]
    faults: tuple[Fault, ...]


def load(path: str) -> Experiment:
    """Return the experiment of a file.

    Raises
    ------
    ExperimentError
        With file, section and what was expected.
    """
    parser = configparser.RawConfigParser(delimiters=("=",))
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        with open(path, encoding="utf-8") as file:
            parser.read_file(file)
    except (OSError, configparser.Error, UnicodeDecodeError) as error:
        raise ExperimentError(f"{path}: {error}") from error
    name = section(path, parser, "experiment").get("name", "")
    if not name:
        raise ExperimentError(f"{path} [experiment] name: expected a name")
    fields: dict[str, typing.Any] = dict(section(path, parser, "workload"))
    names = fields.get("organisations", "").split(",")
    fields["organisations"] = [one.strip() for one in names if one.strip()]
    workload = convert(path, "workload", fields, Workload)
    arms = tuple(
        arm_of(path, heading, dict(parser[heading]), fields)
        for heading in parser.sections()
        if heading.startswith(ARM_PREFIX)
    )
    if not arms:
        raise ExperimentError(f"{path}: expected an [arm NAME]")
    faults = tuple(
        convert(
            path,
            heading,
            {
                "name": heading.removeprefix(FAULT_PREFIX),
                **parser[heading],
            },
            Fault,
        )
        for heading in parser.sections()
        if heading.startswith(FAULT_PREFIX)
    )
    return Experiment(name, workload, arms, faults)


def arm_of(
    path: str,
    heading: str,
    given: dict[str, str],
    fields: dict[str, typing.Any],
) -> Arm:
    """Return an arm, its own fields of the workload put in."""
    own = {
        name.removeprefix(WORKLOAD_PREFIX): text
        for name, text in given.items()
        if name.startswith(WORKLOAD_PREFIX)
    }
    sets = {
        name: text
        for name, text in given.items()
        if not name.startswith(WORKLOAD_PREFIX)
    }
    workload = convert(path, heading, {**fields, **own}, Workload)
    return Arm(heading.removeprefix(ARM_PREFIX), sets, workload)


def section(
    path: str, parser: configparser.RawConfigParser, name: str
) -> dict[str, str]:
    """Return a section that must be there."""
    if not parser.has_section(name):
        raise ExperimentError(f"{path}: expected a section [{name}]")
    return dict(parser[name])


Made = typing.TypeVar("Made")


def convert(
    path: str,
    heading: str,
    fields: dict[str, typing.Any],
    kind: type[Made],
) -> Made:
    """Return a section's data class, its values checked."""
    known = set(typing.get_type_hints(kind))
    unknown = sorted(set(fields) - known)
    if unknown:
        raise ExperimentError(
            f"{path} [{heading}] {unknown[0]}: expected one of "
            f"{', '.join(sorted(known))}"
        )
    try:
        return msgspec.convert(fields, kind, strict=False)
    except msgspec.ValidationError as error:
        raise ExperimentError(f"{path} [{heading}]: {error}") from error
