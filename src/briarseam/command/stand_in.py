"""``briarseam stand-in KIND``: run one stand-in for an outside system."""

from __future__ import annotations

import argparse
import dataclasses
import sys
import typing

import msgspec

from briarseam.command import signals
from briarseam.testing import engine
from briarseam.testing import instance_list
from briarseam.testing import log_service
from briarseam.testing import plain_service
from briarseam.testing import stand_in
from briarseam.testing import store
from briarseam.testing import switches
from briarseam.testing import weight_store

EXIT_FAILED = 1
EXIT_USAGE = 2

AnyStandIn = stand_in.StandIn[typing.Any]

SWITCHES: dict[str, type[switches.Switches]] = {
    "log": log_service.Switches,
    "instances": instance_list.Switches,
    "engine": engine.Switches,
    "service": plain_service.Switches,
    "store": store.Switches,
    "weights": weight_store.Switches,
}


@dataclasses.dataclass(frozen=True)
class Pair:
    """One ``NAME=VALUE`` of the command line."""

    name: str
    value: str


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add the subcommand's options."""
    parser.add_argument(
        "kind",
        metavar="KIND",
        choices=sorted(SWITCHES),
        help=f"one of {', '.join(sorted(SWITCHES))}",
    )
    parser.add_argument(
        "--listen",
        metavar="IP:PORT",
        default="127.0.0.1:0",
        help="address to listen on; port 0 takes any free one",
    )
    parser.add_argument(
        "--set",
        dest="pairs",
        metavar="SWITCH=VALUE",
        type=pair,
        action="append",
        default=argparse.SUPPRESS,
        help="a switch at the start; may be repeated",
    )
    parser.add_argument(
        "--model",
        dest="models",
        metavar="MODEL=VERSION",
        type=pair,
        action="append",
        default=argparse.SUPPRESS,
        help="weights that an engine has at the start; may be repeated",
    )
    parser.add_argument(
        "--role",
        metavar="ROLE",
        default="mixed",
        help="role that an engine has at the start",
    )
    parser.add_argument(
        "--instance",
        dest="instances",
        metavar="NAME=ROLE,IP:PORT,ZONE",
        type=pair,
        action="append",
        default=argparse.SUPPRESS,
        help="a row of the instance list at the start; may be repeated",
    )
    parser.add_argument(
        "--seed",
        type=int,
        default=0,
        help="fixes which cache events an engine loses",
    )
    parser.epilog = describe_switches()


def describe_switches() -> str:
    """Return all switches with their defaults, for the help."""
    described = []
    for kind, kind_switches in SWITCHES.items():
        fields = dataclasses.fields(kind_switches)
        names = ", ".join(f"{each.name}={each.default}" for each in fields)
        described.append(f"Switches of {kind}: {names}.")
    described.append(
        "Names ending in _ms are milliseconds, in _s seconds, in _per_s a "
        "rate per second; 0 sets no limit on a rate."
    )
    return " ".join(described).replace("%", "%%")


def pair(text: str) -> Pair:
    """Return what ``NAME=VALUE`` says."""
    name, equals, value = text.partition("=")
    if not (name and equals):
        raise argparse.ArgumentTypeError(f"expected NAME=VALUE, got {text!r}")
    return Pair(name, value)


def registration(row: Pair) -> instance_list.Registration:
    """Return what a row of the instance list says.

    Raises
    ------
    ValueError
        If it is not ``ROLE,IP:PORT,ZONE`` with a known role.
    """
    try:
        role, address, zone = row.value.split(",")
        return msgspec.convert(
            {"role": role, "address": address, "zone": zone},
            instance_list.Registration,
        )
    except (ValueError, msgspec.ValidationError) as error:
        raise ValueError(f"{row.name}={row.value}: {error}") from error


def execute(args: argparse.Namespace) -> int:
    """Run the stand-in until SIGTERM or SIGINT."""
    try:
        made = build(args)
    except ValueError as error:
        return fail(error, EXIT_USAGE)
    return serve(made, args.kind)


def serve(made: AnyStandIn, kind: str) -> int:
    """Serve until told to end, having printed the address."""
    ended = signals.watch()
    try:
        made.start()
    except OSError as error:
        return fail(error, EXIT_FAILED)
    print(f"stand-in {kind} listening on {made.address}", flush=True)
    ended.wait()
    made.stop()
    return 0


def fail(error: Exception, status: int) -> int:
    """Print an error and return the exit status."""
    print(f"briarseam: {error}", file=sys.stderr)
    return status


def build(args: argparse.Namespace) -> AnyStandIn:
    """Build the stand-in that the options name.

    Raises
    ------
    ValueError
        If a switch or the address is bad.
    """
    initial = switches.change(
        SWITCHES[args.kind](),
        {each.name: each.value for each in getattr(args, "pairs", ())},
        strict=False,
    )
    listen = args.listen
    match initial:
        case log_service.Switches():
            return log_service.LogService(initial, listen)
        case instance_list.Switches():
            listed = instance_list.InstanceList(initial, listen)
            for row in getattr(args, "instances", ()):
                listed.put(row.name, registration(row))
            return listed
        case plain_service.Switches():
            return plain_service.PlainService(initial, listen)
        case store.Switches():
            return store.Store(initial, listen)
        case weight_store.Switches():
            return weight_store.WeightStore(initial, listen)
        case engine.Switches():
            pairs = getattr(args, "models", ())
            models = {each.name: each.value for each in pairs}
            return engine.Engine(initial, listen, models, args.role, args.seed)
    raise TypeError(initial)
