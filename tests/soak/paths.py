"""Cuts between instances and all endpoints, and whether callers notice."""

from __future__ import annotations

import dataclasses
import enum
import json
import pathlib
import typing

from tests.soak import callers
from tests.soak import links

# What instances without a path must do holds from then on after a cut began.
SETTLE_S = 3.0
MIN_SERVED_SHARE = 2 / 3
# So many requests may fail at instances without a path.
ALLOWED_FAILURES = 10
ALLOWED_FAILURES_SHARE = 1 / 50
# Within which an instance finds out that its path is back.
NOTICE_S = 1.0
OK = 200


class CutKind(enum.Enum):
    """What becomes of an instance's connections to endpoints."""

    RESET = "all are reset, new ones are refused"
    HANGING = "all hang, new ones too"
    NEW_REFUSED = "old ones live, new ones are refused"


@dataclasses.dataclass
class PathCut:
    """A cut between some instances and all endpoints.

    Attributes
    ----------
    instances
        Names of the instances.
    began_s, ended_s
        When, monotonic seconds.
    """

    instances: frozenset[str]
    began_s: float
    ended_s: float = float("inf")


class Paths:
    """An instance's own links to all endpoints.

    Parameters
    ----------
    endpoints
        The addresses of the endpoints.
    host
        Address to listen on.
    """

    def __init__(self, endpoints: list[str], host: str) -> None:
        self.links = {
            address: links.Link(address, host) for address in endpoints
        }

    def write_map(self, path: pathlib.Path) -> None:
        """Write the addresses of the links, for the launcher."""
        addresses = {to: link.address for to, link in self.links.items()}
        path.write_text(json.dumps(addresses))

    def cut(self, kind: CutKind) -> None:
        """Cut all links."""
        for link in self.links.values():
            match kind:
                case CutKind.RESET:
                    link.refuse_new()
                    link.reset()
                case CutKind.HANGING:
                    link.let_new_hang()
                    link.state = links.State.SILENT
                case CutKind.NEW_REFUSED:
                    link.refuse_new()

    def heal(self) -> None:
        """End the cut of all links."""
        for link in self.links.values():
            link.state = links.State.PASSING
            link.accept_new()

    def stop(self) -> None:
        """Stop all links."""
        for link in self.links.values():
            link.stop()


def check(
    cuts: list[PathCut], sent: typing.Iterable[callers.Sent]
) -> typing.Iterator[str]:
    """Yield cuts during which callers of cut-off instances were not served."""
    requests = list(sent)
    names = {one.instance.name for one in requests}
    requests = [
        one for one in requests if not is_without_help(cuts, one, names)
    ]
    for cut in cuts:
        settled_s = cut.began_s + SETTLE_S
        behind: list[bool] = []
        others: list[bool] = []
        for one in requests:
            if not settled_s <= one.sent_s <= one.ended_s < cut.ended_s:
                continue
            if one.instance.troubled_until >= cut.began_s:
                continue
            if is_cut_off(cuts, one) and one.instance.name in cut.instances:
                behind.append(one.status == OK and one.whole)
            elif not is_cut_off(cuts, one):
                others.append(one.status == OK and one.whole)
        if not behind or not others:
            continue
        failures = behind.count(False)
        allowed = ALLOWED_FAILURES + ALLOWED_FAILURES_SHARE * len(
            behind + others
        )
        served = behind.count(True) / len(behind)
        compared = others.count(True) / len(others)
        if served < MIN_SERVED_SHARE * compared and failures > allowed:
            yield (
                f"{sorted(cut.instances)} without a path to endpoints "
                f"answered {behind.count(True)} of {len(behind)} requests, "
                f"the others {others.count(True)} of {len(others)}"
            )


def is_without_help(
    cuts: list[PathCut], one: callers.Sent, names: set[str]
) -> bool:
    """Return whether all instances were cut off at once during a request.

    An instance counts as cut off until it may know that its path is back.
    """
    moments = [
        one.sent_s,
        *(
            cut.began_s
            for cut in cuts
            if one.sent_s <= cut.began_s < one.ended_s
        ),
    ]
    return any(
        all(is_cut_off_at(cuts, name, moment) for name in names)
        for moment in moments
    )


def is_cut_off_at(cuts: list[PathCut], name: str, at_s: float) -> bool:
    """Return whether an instance was cut off, or could not know otherwise."""
    return any(
        name in cut.instances and cut.began_s <= at_s < cut.ended_s + NOTICE_S
        for cut in cuts
    )


def is_cut_off(cuts: list[PathCut], one: callers.Sent) -> bool:
    """Return whether a request's instance was cut off while it was sent."""
    return any(
        one.instance.name in cut.instances
        and cut.began_s < one.ended_s
        and one.sent_s < cut.ended_s
        for cut in cuts
    )
