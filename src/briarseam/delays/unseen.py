"""Work at an endpoint that was unknown when a request was sent to it."""

from __future__ import annotations

import bisect
import collections
import dataclasses
import typing

if typing.TYPE_CHECKING:
    from briarseam.delays import sends


@dataclasses.dataclass(frozen=True)
class Unseen:
    """Work at an endpoint beyond what the sending instance knew.

    Attributes
    ----------
    requests
        Number of requests; negative if some that the instance counted had
        already ended.
    tokens
        Prompt tokens to compute of requests without a first event; 0 if the
        request sent has no prompt, as the instance then does not look up
        waiting tokens.
    """

    requests: int
    tokens: int


@dataclasses.dataclass
class RunningTotal:
    """A sum over time.

    Attributes
    ----------
    times
        Times at which it changed, in order.
    values
        Sum from each of these times on.
    """

    times: list[float]
    values: list[int]

    def value_before(self, at_s: float) -> int:
        """Return the sum just before a time."""
        index = bisect.bisect_left(self.times, at_s)
        return self.values[index - 1] if index else 0


def running_total(changes: list[tuple[float, int]]) -> RunningTotal:
    """Return the running sum of changes."""
    result = RunningTotal([], [])
    value = 0
    for at_s, change in sorted(changes):
        value += change
        result.times.append(at_s)
        result.values.append(value)
    return result


def unseen_work(all_sends: list[sends.Send]) -> list[Unseen]:
    """Return the unseen work at the endpoint of each send.

    Sends whose end is not in the logs don't count as work at an endpoint:
    their instance was lost, and the time of their end is unknown.
    """
    running: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    waiting: dict[str, list[tuple[float, int]]] = collections.defaultdict(list)
    for send in all_sends:
        endpoint = send.sent.endpoint
        running[endpoint].extend(running_changes(send))
        waiting[endpoint].extend(waiting_changes(send))
    requests = {
        name: running_total(changes) for name, changes in running.items()
    }
    tokens = {
        name: running_total(changes) for name, changes in waiting.items()
    }
    return [
        unseen_at_send(
            send, requests[send.sent.endpoint], tokens[send.sent.endpoint]
        )
        for send in all_sends
    ]


def running_changes(send: sends.Send) -> list[tuple[float, int]]:
    """Return changes of the number of requests at the endpoint."""
    if send.ended_s is None:
        return []
    return [(send.sent_s, 1), (send.ended_s, -1)]


def waiting_changes(send: sends.Send) -> list[tuple[float, int]]:
    """Return changes of the tokens that wait until the first event."""
    if send.ended_s is None:
        return []
    until_s = send.ended_s
    if send.first_ms is not None:
        until_s = min(until_s, send.sent_s + send.first_ms / 1000)
    tokens = send.sent.tokens_to_read
    return [(send.sent_s, tokens), (until_s, -tokens)]


def unseen_at_send(
    send: sends.Send, requests: RunningTotal, tokens: RunningTotal
) -> Unseen:
    """Return the work at the endpoint of a send that was unknown then."""
    sent = send.sent
    known = sent.tokens_waiting_there
    return Unseen(
        requests.value_before(send.sent_s) - sent.requests_there,
        0 if known is None else tokens.value_before(send.sent_s) - known,
    )
