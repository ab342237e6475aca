"""The sections of a settings file, as immutable data classes.

A key ending in ``_ms``, ``_s`` or ``_bytes`` is in that unit; in the file it
may also carry another unit of its kind (``250ms``, ``3s``, ``64KiB``).
"""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from briarseam.settings import address
from briarseam.settings import secret

Address = address.Address
Addresses = tuple[Address, ...]
Secret = secret.Secret

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")
]
Milliseconds = typing.Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=31_536_000)]
Bytes = typing.Annotated[int, msgspec.Meta(ge=1, le=2**40)]
Count = typing.Annotated[int, msgspec.Meta(ge=1, le=100_000_000)]
Paths = tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Instance:
    """``[instance]``: who and where this instance is.

    Attributes
    ----------
    name
        Name in the instance list.
    zone
        Availability zone.
    region
        Region that the availability zone lies in.
    agent_address
        Where other agents reach this instance's agent.
    entry_addresses
        Where callers reach this instance's entry processes.
    cell
        Group of agents that exchange heartbeats; the zone unless set.
    """

    name: Name
    zone: Name
    region: Name
    agent_address: Address
    entry_addresses: Addresses
    cell: Name = ""


@dataclasses.dataclass(frozen=True)
class Agent:
    """``[agent]``: the agent's stream server, peers and bounds of state.

    Attributes
    ----------
    listen
        Where the agent takes streams of peers and entry processes.
    shared_key
        Proves membership between the processes of the system; given in the
        file or through ``shared_key_file``.
    shared_key_file
        File that holds the shared key, relative to the settings file.
    peers_seed
        Agents to ask before the instance list has answered.
    heartbeat_interval_ms
        Time between two heartbeats to a peer.
    suspect_after_ms
        Silence after which a peer gets no new work.
    lookup_ttl_s
        Time that callers keep the addresses they were given.
    stale_after_ms
        Time without news from the log or any peer after which new work is
        refused.
    lease_ttl_ms
        Time that a lease lasts without renewal; after a holder's loss
        nobody gives engines orders for that long.
    max_index_entries
        Blocks of kept cache indexed.
    max_timeline_events
        Events kept for the time line.
    """

    listen: Address
    shared_key: Secret | None = None
    shared_key_file: str = ""
    peers_seed: Addresses = ()
    heartbeat_interval_ms: Milliseconds = 1000
    suspect_after_ms: Milliseconds = 3000
    lookup_ttl_s: Seconds = 5.0
    stale_after_ms: Milliseconds = 10_000
    lease_ttl_ms: Milliseconds = 6000
    max_index_entries: Count = 20_000
    max_timeline_events: Count = 5000


@dataclasses.dataclass(frozen=True)
class Entry:
    """``[entry]``: the HTTP server towards callers.

    Attributes
    ----------
    listen
        Where callers connect.
    agent
        This instance's agent.
    threads
        Caller connections served at the same time.
    max_body_bytes
        Largest request body accepted.
    resume_grace_s
        Time a run is kept for a caller whose connection broke.
    engine_silence_ms
        Silence of an engine between two tokens after which its run counts
        as lost.
    """

    listen: Address
    agent: Address
    threads: Count = 400
    max_body_bytes: Bytes = 2**20
    resume_grace_s: Seconds = 30.0
    engine_silence_ms: Milliseconds = 5000


@dataclasses.dataclass(frozen=True)
class Platform:
    """``[platform]``: the platform's services.

    Attributes
    ----------
    log
        Append-only log service.
    instances
        Instance list.
    weights
        Weight store.
    log_timeout_ms
        Wait for an answer of the log, beyond the time of a long poll.
    log_poll_ms
        Length of one long poll; an agent's proof of being current is up to
        about three times as old.
    log_retention_s
        How long the log keeps a record, at least; snapshots of the
        configuration are renewed four times in it.
    instances_timeout_ms
        Wait for an answer of the instance list.
    instances_poll_ms
        Time between two readings of the instance list.
    """

    log: Address
    instances: Address
    weights: Address
    log_timeout_ms: Milliseconds = 2000
    log_poll_ms: Milliseconds = 1000
    log_retention_s: Seconds = 86_400.0
    instances_timeout_ms: Milliseconds = 2000
    instances_poll_ms: Milliseconds = 2000


@dataclasses.dataclass(frozen=True)
class Claims:
    """``[claims]``: records that let a non-idempotent call run once at most.

    Attributes
    ----------
    batch_ms
        Time over which claims are gathered into one append.
    window_s
        Age at which an idempotency key is refused; less than the log's
        retention by ten minutes at least.
    max_response_bytes
        Largest answer kept for callers that repeat a key; each lies in
        memory and in a record of the log, which takes 1 MiB.
    """

    batch_ms: Milliseconds = 20
    window_s: Seconds = 43_200.0
    max_response_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1, le=512 * 2**10)
    ] = 16 * 2**10


@dataclasses.dataclass(frozen=True)
class Logging:
    """``[logging]``: log lines.

    Attributes
    ----------
    level
        Least severe level written.
    format
        One JSON object a line, or columns for a person.
    """

    level: typing.Literal["debug", "info", "warning", "error"] = "info"
    format: typing.Literal["json", "console"] = "json"


@dataclasses.dataclass(frozen=True)
class Limits:
    """``[limits]``: bounds that keep an instance within its memory.

    Attributes
    ----------
    max_in_flight
        Requests running through this instance.
    max_queued
        Requests waiting on this instance.
    max_queued_per_organisation
        Requests of one organisation waiting on this instance.
    max_metric_label_values
        Distinct values of one metric label; further ones count as other.
    stop_bound_s
        Longest graceful shutdown; what is in flight then is cut off.
    """

    max_in_flight: Count = 2000
    max_queued: Count = 1000
    max_queued_per_organisation: Count = 200
    max_metric_label_values: Count = 64
    stop_bound_s: Seconds = 600.0


@dataclasses.dataclass(frozen=True)
class Team:
    """``[team NAME]``: a team of operators.

    Attributes
    ----------
    name
        Name of the team, from the section's heading.
    key
        Proves that a change of configuration is the team's.
    old_key
        Proved it before; kept while the log holds records made with it.
    paths
        Prefixes of the configuration paths that the team owns.
    """

    name: Name
    key: Secret
    paths: Paths
    old_key: Secret | None = None
