"""The sections of a settings file, as immutable data classes.

The suffix ``_ms``, ``_s`` or ``_bytes`` of a key gives its unit; in the file
a value may also have another unit of the same quantity (``250ms``, ``3s``,
``64KiB``).
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
BytesOrNone = typing.Annotated[int, msgspec.Meta(ge=0, le=2**40)]
CountOrNone = typing.Annotated[int, msgspec.Meta(ge=0, le=100_000_000)]
Texts = tuple[str, ...]
Paths = Texts


@dataclasses.dataclass(frozen=True)
class Instance:
    """``[instance]``: identity and location of this instance.

    Attributes
    ----------
    name
        Name of this instance in the instance list.
    zone
        Availability zone.
    region
        Region of the availability zone.
    agent_address
        Address at which other agents reach this instance's agent.
    entry_addresses
        Addresses at which callers reach this instance's entry processes.
    cell
        Group of agents that exchange heartbeats; defaults to the zone.
    """

    name: Name
    zone: Name
    region: Name
    agent_address: Address
    entry_addresses: Addresses
    cell: Name = ""


@dataclasses.dataclass(frozen=True)
class Agent:
    """``[agent]``: the agent's stream server, peers and size limits.

    Attributes
    ----------
    listen
        Address on which the agent accepts streams of peers and entry
        processes.
    shared_key
        Authenticates the processes of the system to each other; set in the
        settings file or through ``shared_key_file``.
    shared_key_file
        File with the shared key, relative to the settings file.
    peers_seed
        Agents to contact before the instance list has answered.
    heartbeat_interval_ms
        Time between two heartbeats to a peer.
    suspect_after_ms
        Silence of a peer after which it gets no new work.
    lookup_ttl_s
        Time for which callers may cache the addresses from a lookup.
    stale_after_ms
        Time without an update from the log or any peer after which new work
        is refused.
    lease_ttl_ms
        Time that a lease lasts without renewal; after the loss of its holder
        no agent gives engines orders for that long.
    max_index_entries
        Maximum number of kept cache blocks in the index.
    max_timeline_events
        Maximum number of events kept for the time line.
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
    """``[entry]``: the HTTP server for callers.

    Attributes
    ----------
    listen
        Address on which callers connect.
    agent
        Address of this instance's agent.
    threads
        Maximum number of caller connections served concurrently.
    max_body_bytes
        Largest request body accepted.
    resume_grace_s
        Time for which a run is kept after its caller's connection broke.
    engine_silence_ms
        Time without a token from an engine after which its run counts as
        lost.
    max_client_bytes
        Maximum size of all that callers make the process hold; 0 for two
        fifths of the machine's memory.
    max_client_descriptors
        Maximum number of descriptors that they make it hold; 0 for three
        quarters of those that are not for files.
    """

    listen: Address
    agent: Address
    threads: Count = 400
    max_body_bytes: Bytes = 2**20
    resume_grace_s: Seconds = 30.0
    engine_silence_ms: Milliseconds = 5000
    max_client_bytes: BytesOrNone = 0
    max_client_descriptors: CountOrNone = 0


@dataclasses.dataclass(frozen=True)
class Platform:
    """``[platform]``: addresses and timing of the platform's services.

    Attributes
    ----------
    log
        Address of the append-only log service.
    instances
        Address of the instance list.
    weights
        Address of the weight store.
    log_timeout_ms
        Timeout of a request to the log, in addition to the time of a long
        poll.
    log_poll_ms
        Duration of one long poll. The age of an agent's proof that its
        configuration is current reaches about three times this value.
    log_retention_s
        Minimum time for which the log keeps a record; snapshots of the
        configuration are renewed four times in this period.
    instances_timeout_ms
        Timeout of a request to the instance list.
    instances_poll_ms
        Interval between two reads of the instance list.
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
    """``[claims]``: records that make a non-idempotent call run at most once.

    Attributes
    ----------
    batch_ms
        Time over which claims are batched into one append.
    window_s
        Age at which an idempotency key is refused; at least ten minutes
        shorter than the log's retention.
    max_response_bytes
        Maximum size of an answer kept for callers that repeat a key. Each is
        held in memory and in a record of the log, which is limited to
        1 MiB.
    """

    batch_ms: Milliseconds = 20
    window_s: Seconds = 43_200.0
    max_response_bytes: typing.Annotated[
        int, msgspec.Meta(ge=1, le=512 * 2**10)
    ] = 16 * 2**10


@dataclasses.dataclass(frozen=True)
class Logging:
    """``[logging]``: level and format of log lines.

    Attributes
    ----------
    level
        Lowest level that is logged.
    format
        One JSON object per line, or human-readable columns.
    """

    level: typing.Literal["debug", "info", "warning", "error"] = "info"
    format: typing.Literal["json", "console"] = "json"


@dataclasses.dataclass(frozen=True)
class Limits:
    """``[limits]``: limits that bound the memory of an instance.

    Attributes
    ----------
    max_in_flight
        Maximum number of requests in flight through this instance.
    max_queued
        Maximum number of requests queued on this instance.
    max_queued_per_organisation
        Maximum number of requests of one organisation queued on this
        instance.
    max_metric_label_values
        Maximum number of distinct values of a metric label; further values
        are counted as other.
    stop_bound_s
        Maximum duration of a graceful shutdown; requests still in flight
        after it are cut off.
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
        Authenticates configuration changes of the team.
    old_key
        Previous key; needed while the log holds records made with it.
    paths
        Prefixes of the configuration paths that the team owns.
    """

    name: Name
    key: Secret
    paths: Paths
    old_key: Secret | None = None
