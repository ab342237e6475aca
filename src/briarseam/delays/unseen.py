"""Work at endpoints that was not known when a request was sent there."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from briarseam.delays import sends


@dataclasses.dataclass(frozen=True)
class Unseen:
    """What was at an endpoint beyond what its chooser knew.

    Attributes
    ----------
    requests
        Requests; negative if some that it counted had ended.
    tokens
        Prompt tokens to compute of requests without a first event; 0 for a
        request without a prompt, which does not look for them.
    """

    requests: int
    tokens: int


@dataclasses.dataclass
class Total:
    """A sum that changes with time.

    Attributes
    ----------
    times
        When it changed, in order.
    values
        What it was from then on.
    """

    times: list[float]
    values: list[int]

    def before(self, at_s: float) -> int:
        """Return the sum just before a time."""
        place = bisect.bisect_left(self.times, at_s)
        return self.values[place - 1] if place else 0


def total(changes: list[tuple[float, int]]) -> Total:
    """Return the running sum of changes."""
    found = Total([], [])
    value = 0
    for at_s, change in sorted(changes):
        value += change
        found.times.append(at_s)
        found.values.append(value)
    return found


def find(all_sends: list[sends.Send]) -> list[Unseen]:
    """Return for each send what was unseen at its endpoint.

    Sends whose end is not in the logs don't count as work at an endpoint:
    their instance was lost, and when they ended is not known.
    """
    running: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    waiting: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    for send in all_sends:
        endpoint = send.sent.endpoint
        running[endpoint].extend(while_running(send))
        waiting[endpoint].extend(while_waiting(send))
    requests = {name: total(found) for name, found in running.items()}
    tokens = {name: total(found) for name, found in waiting.items()}
    return [
        unseen_by(
            send, requests[send.sent.endpoint], tokens[send.sent.endpoint]
        )
        for send in all_sends
    ]


def while_running(send: sends.Send) -> list[tuple[float, int]]:
    """Return a request more as it is sent and one less as it ends."""
    if send.ended_s is None:
        return []
    return [(send.sent_s, 1), (send.ended_s, -1)]


def while_waiting(send: sends.Send) -> list[tuple[float, int]]:
    """Return its tokens to compute as sent, and less at the first event."""
    if send.ended_s is None:
        return []
    until_s = send.ended_s
    if send.first_ms is not None:
        until_s = min(until_s, send.sent_s + send.first_ms / 1000)
    tokens = send.sent.tokens_to_read
    return [(send.sent_s, tokens), (until_s, -tokens)]


def unseen_by(send: sends.Send, requests: Total, tokens: Total) -> Unseen:
    """Return what was at the endpoint of a send beyond what it knew."""
    sent = send.sent
    known = sent.tokens_waiting_there
    return Unseen(
        requests.before(send.sent_s) - sent.requests_there,
        0 if known is None else tokens.before(send.sent_s) - known,
    )
