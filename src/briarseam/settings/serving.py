"""Settings of ``briarseam serve``: one process that does it all."""

from __future__ import annotations

import dataclasses
import typing

import msgspec

from briarseam.settings import ini
from briarseam.settings import loading
from briarseam.settings import model
from briarseam.settings import sections

Ratio = typing.Annotated[float, msgspec.Meta(ge=0, le=100)]
# Grows with the deployment: 54 with 7 instances, 210 with 85.
SendCount = typing.Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
PositiveNumber = typing.Annotated[float, msgspec.Meta(gt=0, le=1_000_000)]
# What a full core of speed 1 sends and receives: 6 ms of it go into a
# request, by processor time over requests of a day, and some 15 KB of
# prompt and events.
MBPS_PER_PROCESSOR = 20.0


@dataclasses.dataclass(frozen=True)
class Instance:
    """``[instance]``: who and where this instance is.

    Attributes
    ----------
    name
        Unique over all instances.
    zone, region
        Availability zone, and the region that it lies in.
    first_start
        Whether the whole deployment starts for the first time, so that
        nothing was left by instances of before.
    """

    name: sections.Name
    zone: sections.Name
    region: sections.Name
    first_start: bool = True


@dataclasses.dataclass(frozen=True)
class Capacity:
    """``[capacity]``: what this instance's machine can bear.

    Attributes
    ----------
    processor_share
        Share of a core that it has.
    processor_speed
        How fast that core is; only the ratio between instances counts.
    link_mbps
        Bandwidth of its own link.
    """

    processor_share: PositiveNumber = 1.0
    processor_speed: PositiveNumber = 1.0
    link_mbps: PositiveNumber = 1000.0

    def weight(self) -> float:
        """Return the work that it can take, relative to others."""
        processor = self.processor_share * self.processor_speed
        return min(processor, self.link_mbps / MBPS_PER_PROCESSOR)


@dataclasses.dataclass(frozen=True)
class Listen:
    """``[listen]``: where this process takes connections.

    Attributes
    ----------
    callers
        Requests of callers.
    readiness
        Questions whether this instance is ready.
    lookups
        Questions which addresses to use.
    peers
        Heartbeats of other instances.
    metrics
        Scrapes of metrics.
    """

    callers: sections.Address
    readiness: sections.Address
    lookups: sections.Address
    peers: sections.Address
    metrics: sections.Address


@dataclasses.dataclass(frozen=True)
class Store:
    """``[store]``: the platform's metadata store.

    Attributes
    ----------
    address
        Where it listens.
    """

    address: sections.Address


@dataclasses.dataclass(frozen=True)
class Bounds:
    """``[bounds]``: what the deployment asks of all its instances.

    Attributes
    ----------
    endpoint_drain_ms
        Time within which an endpoint that leaves must get no new work.
    shutdown_s
        Time from SIGTERM to the end of the process.
    retry_ratio
        Sends to a second endpoint for each request, over all instances.
    retry_window_s
        Time over which they are counted.
    retry_slack
        Such sends in a window beyond the ratio.
    lease_ms
        Time for which the instance that gives orders keeps that duty.
    engines_check_fence
        Whether engines refuse orders of a former holder of that duty.
    version_ms
        Time within which all engines have the weights that were named.
    lookup_ttl_max_s
        Longest time that callers keep the addresses they were given.
    """

    endpoint_drain_ms: sections.Milliseconds = 2000
    shutdown_s: sections.Seconds = 8.0
    retry_ratio: Ratio = 0.1
    retry_window_s: sections.Seconds = 10.0
    retry_slack: SendCount = 20.0
    lease_ms: sections.Milliseconds = 3000
    engines_check_fence: bool = False
    version_ms: sections.Milliseconds = 15_000
    lookup_ttl_max_s: sections.Seconds = 5.0


SECTION_TYPES = {
    "instance": Instance,
    "capacity": Capacity,
    "listen": Listen,
    "store": Store,
    "bounds": Bounds,
    "logging": sections.Logging,
}


@dataclasses.dataclass(frozen=True)
class ServeSettings:
    """The validated settings of one process.

    Attributes
    ----------
    path
        The file they were read from.
    instance, capacity, listen, store, bounds, logging
        The sections.
    sources
        Where each value came from, by section and key.
    """

    path: str
    instance: Instance
    capacity: Capacity
    listen: Listen
    store: Store
    bounds: Bounds
    logging: sections.Logging
    sources: loading.Sources = dataclasses.field(
        default_factory=dict, compare=False
    )

    def explain(self) -> tuple[model.ExplainedValue, ...]:
        """Return every value in force with its source."""
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
        If anything in it is unknown, missing or bad.
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
        logging=loader.load_section("logging", sections.Logging),
        sources=loader.sources,
    )
