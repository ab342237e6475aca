"""Steps of a request: what became of each send, for its log line."""

from __future__ import annotations

import typing

from briarseam.forwarding import outcomes

if typing.TYPE_CHECKING:
    from briarseam import transfers


def describe_send(
    endpoint: str,
    outcome: outcomes.Outcome | None,
    first_event_ms: int | None,
    transfer: transfers.Transfer,
) -> str:
    """Return the step of a send to an endpoint.

    Parameters
    ----------
    endpoint
        Id of the endpoint.
    outcome
        What became of it; ``None`` if the request was ended.
    first_event_ms
        Time until the first event of a stream, if there was one.
    transfer
        How the answer was transferred.
    """
    parts = [f"{endpoint}:{outcomes.name_of(outcome)}"]
    match outcome:
        case (
            outcomes.Unreached(detail)
            | outcomes.Withheld(detail)
            | outcomes.Broken(detail)
        ):
            parts.append(f"({detail})")
        case (
            outcomes.Rejected(status=status) | outcomes.Answered(status=status)
        ):
            parts[0] = f"{parts[0]}-{status}"
    if first_event_ms is not None:
        parts.append(f"first={first_event_ms}ms")
    parts.append(str(transfer))
    return " ".join(part for part in parts if part)


def describe_relay(
    peer: str, outcome: outcomes.Outcome | None, transfer: transfers.Transfer
) -> str:
    """Return the step of a request that was passed on to another instance."""
    step = f"{peer}:relay-{outcomes.name_of(outcome)}"
    return f"{step} {transfer}".rstrip()
