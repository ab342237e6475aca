"""Settings of ``briarseam serve``, which runs an instance as one process."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from briarseam.settings import ini
from briarseam.settings import loading
from briarseam.settings import model
from briarseam.settings import sections

Ratio = typing.Annotated[float, msgspec.Meta(ge=0, le=100)]
# The number of sends grows with the deployment: 54 with 7 instances, 210
# with 85.
SendCount = typing.Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
PositiveNumber = typing.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
WaiterCount = typing.Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
ByteCount = typing.Annotated[int, msgspec.Meta(ge=0, le=2**40)]
# Traffic of a full core of speed 1: over a day, a request takes 6 ms of
# processor time on average, and about 15 KB of prompt and events.
MBPS_PER_PROCESSOR = 20.0


@dataclasses.dataclass(frozen=True)
class Instance:
    """``[instance]``: identity and location of this instance.

    Attributes
    ----------
    name
        Name that is unique among all instances.
    zone, region
        Availability zone and its region.
    zone_regions
        Region of each availability zone, as ``zone:region``.
    first_start
        Whether the whole deployment starts for the first time, so that
        there is no state of earlier instances.
    """

    name: sections.Name
    zone: sections.Name
    region: sections.Name
    zone_regions: sections.Texts = ()
    first_start: bool = True

    def regions(self) -> dict[str, str]:
        """Return the region of each availability zone."""
        pairs = [text.partition(":") for text in self.zone_regions]
        known = {zone.strip(): region.strip() for zone, _, region in pairs}
        return {**known, self.zone: self.region}


@dataclasses.dataclass(frozen=True)
class Capacity:
    """``[capacity]``: capacity of this instance's machine.

    Attributes
    ----------
    processor_share
        Share of a core available to the instance.
    processor_speed
        Relative speed of that core; only the ratio between instances
        matters.
    link_mbps
        Bandwidth of the instance's link, in megabits per second.
    memory_mb
        Memory that the process may use, in MB; 0 if unknown.
    descriptors
        Descriptors that the process may use; 0 if only the system limits
        them.
    """

    processor_share: PositiveNumber = 1.0
    processor_speed: PositiveNumber = 1.0
    link_mbps: PositiveNumber = 1000.0
    memory_mb: ByteCount = 0
    descriptors: ByteCount = 0

    def weight(self) -> float:
        """Return the work that the instance can take, relative to others."""
        processor = self.processor_share * self.processor_speed
        return min(processor, self.link_mbps / MBPS_PER_PROCESSOR)


@dataclasses.dataclass(frozen=True)
class Listen:
    """``[listen]``: addresses on which this process accepts connections.

    Attributes
    ----------
    callers
        Address for requests of callers.
    readiness
        Address for readiness checks of this instance.
    lookups
        Address for lookups of the addresses to use.
    peers
        Address for heartbeats of other instances.
    metrics
        Address for scrapes of metrics.
    relays
        Address for requests of callers that other instances pass on; the
        port after that of `peers` unless given.
    """

    callers: sections.Address
    readiness: sections.Address
    lookups: sections.Address
    peers: sections.Address
    metrics: sections.Address
    relays: sections.Address | None = None

    def relay_address(self) -> sections.Address:
        """Return the address for requests that instances pass on."""
        if self.relays is not None:
            return self.relays
        return dataclasses.replace(self.peers, port=self.peers.port + 1)


@dataclasses.dataclass(frozen=True)
class Store:
    """``[store]``: the platform's metadata store.

    Attributes
    ----------
    address
        Address of the store.
    """

    address: sections.Address


@dataclasses.dataclass(frozen=True)
class Bounds:
    """``[bounds]``: limits that the deployment sets for all its instances.

    Attributes
    ----------
    endpoint_drain_ms
        Time after which a leaving endpoint must get no more new work.
    endpoint_heartbeat_ms
        Interval at which endpoints renew their entries at the store.
    shutdown_s
        Time from SIGTERM to the end of the process.
    retry_ratio
        Maximum ratio of retries, which are sends to a second endpoint, to
        requests, over all instances.
    retry_window_s
        Time window over which retries and requests are counted.
    retry_slack
        Number of retries allowed in a window in addition to the ratio.
    lease_ms
        Lease time of the instance that gives orders.
    engines_check_fence
        Whether engines refuse orders of a former holder of that lease.
    version_ms
        Time within which all engines have loaded the weight version that
        was set.
    lookup_ttl_max_s
        Maximum time for which callers cache the addresses from a lookup.
    evacuation_ms
        Time within which an evacuation of an availability zone is in force.
    configuration_ms
        Time within which a change of the configuration is in force.
    cold_rate_factor, cold_rate_slack
        All instances together send a cold endpoint in any second at most
        the requests that it tolerates times the factor plus the slack.
    """

    endpoint_drain_ms: sections.Milliseconds = 2000
    endpoint_heartbeat_ms: sections.Milliseconds = 1200
    shutdown_s: sections.Seconds = 8.0
    retry_ratio: Ratio = 0.1
    retry_window_s: sections.Seconds = 10.0
    retry_slack: SendCount = 20.0
    lease_ms: sections.Milliseconds = 3000
    engines_check_fence: bool = False
    version_ms: sections.Milliseconds = 15_000
    lookup_ttl_max_s: sections.Seconds = 5.0
    evacuation_ms: sections.Milliseconds = 5000
    configuration_ms: sections.Milliseconds = 2000
    cold_rate_factor: Ratio = 1.5
    cold_rate_slack: SendCount = 5.0


@dataclasses.dataclass(frozen=True)
class Load:
    """``[load]``: decisions under hard load, each off unless switched on.

    Attributes
    ----------
    ordered_waiting
        Whether requests that find no capacity wait in one queue.
    queue_requests, queue_bytes
        Maximum number of queued requests, and size of their bodies.
    predict
        Whether endpoints are compared by predicted times.
    tell_at_once
        Whether large prompts are reported to all instances when sent.
    held_bytes
        Maximum size of what the process holds for callers and endpoints,
        in bytes; 0 for a quarter of its memory.
    endpoint_bytes
        Maximum size of the bodies in flight to one endpoint, over all
        instances, in bytes.
    client_bytes
        Maximum size of all that clients make the process hold, in bytes; 0
        for two fifths of its memory.
    client_descriptors
        Maximum number of descriptors that they make it hold; 0 for three
        quarters of those that are not for files.
    """

    ordered_waiting: bool = False
    queue_requests: WaiterCount = 256
    queue_bytes: ByteCount = 33_554_432
    predict: bool = False
    tell_at_once: bool = False
    held_bytes: ByteCount = 0
    endpoint_bytes: ByteCount = 67_108_864
    client_bytes: ByteCount = 0
    client_descriptors: ByteCount = 0


SECTION_TYPES = {
    "instance": Instance,
    "capacity": Capacity,
    "listen": Listen,
    "store": Store,
    "bounds": Bounds,
    "load": Load,
    "logging": sections.Logging,
}


@dataclasses.dataclass(frozen=True)
class ServeSettings:
    """The validated settings of one process.

    Attributes
    ----------
    path
        The file that the settings were read from.
    instance, capacity, listen, store, bounds, load, logging
        The sections.
    sources
        Source of each value, by section and key.
    """

    path: str
    instance: Instance
    capacity: Capacity
    listen: Listen
    store: Store
    bounds: Bounds
    load: Load
    logging: sections.Logging
    sources: loading.Sources = dataclasses.field(
        default_factory=dict, compare=False
    )

    def explain(self) -> tuple[model.ExplainedValue, ...]:
        """Return all effective values with their sources."""
        return tuple(
            model.ExplainedValue(
                section,
                key,
                model.format_value(getattr(getattr(self, section), key)),
                source,
            )
            for (section, key), source in self.sources.items()
        )


def load(path: str) -> ServeSettings:
    """Return the settings of a file.

    Raises
    ------
    SettingsError
        If a section or key is unknown, a required key is missing or a
        value is invalid.
    """
    loader = loading.Loader(path, ini.read(path), (), {})
    expected = f"one of [{'], ['.join(SECTION_TYPES)}]"
    for section in loader.file_sections.values():
        if section.name not in SECTION_TYPES:
            raise loader.error(section.name, "", expected, line=section.line)
    return ServeSettings(
        path=path,
        instance=loader.load_section("instance", Instance),
        capacity=loader.load_section("capacity", Capacity),
        listen=loader.load_section("listen", Listen),
        store=loader.load_section("store", Store),
        bounds=loader.load_section("bounds", Bounds),
        load=loader.load_section("load", Load),
        logging=loader.load_section("logging", sections.Logging),
        sources=loader.sources,
    )
