"""Requests that wait for capacity, and their places in the order."""

from __future__ import annotations

import dataclasses
import enum
import functools
import math
import typing


@dataclasses.dataclass(frozen=True, eq=False)
class Waiter:
    """A request that waits for capacity; compared by identity.

    Attributes
    ----------
    service, route, organisation
        Names; the organisation is empty for an anonymous caller.
    priority
        0 is the most urgent.
    arrived_s
        When it arrived, by the boot clock.
    target_s
        When its answer, or the first event of it, counts as late, by the
        boot clock.
    deadline_s
        When its caller stops waiting, by the boot clock.
    work
        Prompt tokens; 1 for a request without a prompt.
    body_bytes
        Size of its body.
    resumed
        Whether it was sent before, or its caller has part of the answer.
    constraints
        Equal for requests that may be sent to the same endpoints.
    wait_until_s
        When it must not wait any more, by the boot clock, though it could be
        answered before its deadline.
    request
        Id of the request, for the log.
    """

    service: str
    route: str
    organisation: str
    priority: int
    arrived_s: float
    target_s: float
    deadline_s: float
    work: int
    body_bytes: int = 0
    resumed: bool = False
    constraints: typing.Hashable = None
    wait_until_s: float = math.inf
    request: str = ""

    @functools.cached_property
    def kind(self) -> Kind:
        """What aging counts by: an organisation may change the priority."""
        return self.route, self.priority

    @functools.cached_property
    def group(self) -> Group:
        """Equal for requests that meet the same endpoints in the same way."""
        return self.route, self.constraints


class Stage(enum.IntEnum):
    """Classes of requests; a lower one is served first.

    Attributes
    ----------
    RESUMED
        Sent before, or partly answered.
    IN_TIME
        Can meet the target latency.
    LATE
        Can be answered, but only late.
    """

    RESUMED = 0
    IN_TIME = 1
    LATE = 2


Kind = tuple[str, int]
Group = tuple[str, typing.Hashable]
Level = tuple[Stage, int]


@dataclasses.dataclass(frozen=True)
class Turn:
    """A waiter's place in the order.

    Attributes
    ----------
    waiter
        The request.
    position
        Number of requests before it.
    work_ahead
        Work that is granted before it at most, of those that wait now.
    first_of_kind
        Whether it is the next one that aging applies to.
    """

    waiter: Waiter
    position: int
    work_ahead: float
    first_of_kind: bool
