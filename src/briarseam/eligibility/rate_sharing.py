"""Division of an endpoint's permitted rate among the instances.

Hundreds of instances can't share a few requests per second by equal parts:
each part is less than one request, and if each sends just one, the endpoint
gets hundreds at once.  Some instances, the same ones for all, therefore
share the rate, and the others send nothing.  No instance needs to know what
another one has sent.
"""

from __future__ import annotations

import typing

from briarseam.eligibility import send_window

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery

# Smallest part of a rate that is given to a sender, in requests per second.
MIN_PART_PER_S = 1.0


class Senders(typing.Protocol):
    """The instances that may send to an endpoint with a limit."""

    def is_sender(self, endpoint: discovery.Endpoint, count: int) -> bool:
        """Return whether this is one of ``count`` senders to an endpoint.

        They are instances of the endpoint's zone first.
        """

    def known_count(self) -> int:
        """Return the number of all instances."""


def sender_count(rate_per_s: float, instances: int) -> int:
    """Return among how many instances a rate is divided."""
    return int(min(max(1, instances), max(1.0, rate_per_s / MIN_PART_PER_S)))


def allowance_of(part_per_s: float) -> send_window.Allowance:
    """Return the allowance for a part of a rate.

    It permits at most a second's worth of requests at once, or one.

    Parameters
    ----------
    part_per_s
        The part, in requests per second; more than 0.
    """
    sends = max(1, int(part_per_s))
    return send_window.Allowance(sends, sends / part_per_s)
