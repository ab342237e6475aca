"""Which software version may continue a stream.

What two versions of an endpoint's software write does not fit together, and
endpoints do not check it.  A stream whose version is not known is therefore
not continued.
"""

from __future__ import annotations

import dataclasses
import enum
import typing

import structlog

from briarseam.origins import memory

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery
    from briarseam.discovery import software
    from briarseam.forwarding import calls
    from briarseam.metrics import instruments
    from briarseam.metrics import labels

log = structlog.get_logger("briarseam.forwarding")


class Source(enum.StrEnum):
    """How the version that began a stream is known."""

    ORIGIN = "origin"
    ONLY_VERSION = "only-version"
    OTHER_SERVICE = "other-service"
    NONE = "none"


class Exchange(typing.Protocol):
    """Origins of streams, known to all instances."""

    def store(self, stream: str, origin: memory.Origin) -> None:
        """Record where a stream began."""

    def find(self, stream: str) -> memory.Origin | None:
        """Return where a stream began, if any instance knows it."""


class Records(typing.Protocol):
    """Streams that are recorded at the store while they run."""

    def note_begun(self, stream: str, origin: memory.Origin) -> None:
        """Have a stream recorded soon."""

    def note_ended(self, stream: str) -> None:
        """Drop a stream that its caller has received as a whole."""


class EndpointEntries(typing.Protocol):
    """What the endpoints' entries at the store tell of their starts."""

    def software_of(self, endpoint: discovery.Endpoint) -> str | None:
        """Return the software version of a start; ``None`` if not sure."""


@dataclasses.dataclass(frozen=True)
class StreamOrigins:
    """Records and finds the software versions that began streams.

    Attributes
    ----------
    exchange
        Origins of streams.
    history
        Software versions of each service.
    entries
        Tells the software of endpoints.
    records
        Streams that are recorded while they run.
    taken_up
        Counts streams that callers take up, by how the version is known.
    """

    exchange: Exchange
    history: software.SoftwareHistory
    entries: EndpointEntries
    records: Records
    taken_up: labels.Family[instruments.Counter]

    def find(self, call: calls.Call, service: str) -> str | None:
        """Return the software version that began a caller's stream."""
        version, source = self.look_up(call.resumes, service, call.time_left_s)
        self.taken_up.labelled(source.value).add()
        log.info(
            "stream_taken_up",
            request=call.id,
            stream=call.resumes,
            service=service,
            software=version,
            known_from=source.value,
        )
        return version

    def look_up(
        self, stream: str, service: str, time_left_s: float | None = None
    ) -> tuple[str | None, Source]:
        """Return the version that began a stream, and how it is known."""
        asked_s = self.history.clock()
        if stream:
            origin = self.exchange.find(stream)
            if origin is not None and origin.service == service:
                return origin.software, Source.ORIGIN
            if origin is not None:
                return None, Source.OTHER_SERVICE
        version = self.only_version(stream, service, asked_s)
        if version is not None:
            version = self.confirmed_version(
                stream, service, asked_s, time_left_s
            )
        return version, Source.NONE if version is None else Source.ONLY_VERSION

    def only_version(
        self, stream: str, service: str, at_s: float
    ) -> str | None:
        """Return the only version that began a stream, as far as is known.

        A stream that began before this instance observed the service may
        have begun at a version that is gone.
        """
        if stream and not self.history.is_complete(service, at_s):
            return None
        return self.history.only_version(service, at_s)

    def confirmed_version(
        self,
        stream: str,
        service: str,
        asked_s: float,
        time_left_s: float | None,
    ) -> str | None:
        """Return the only version once no other can have begun a stream.

        Endpoints of another version may have joined since the last read, and
        have begun the stream through another instance.  A later suspension
        does no harm: what joins after the caller asked did not begin it.
        """
        if not self.history.await_read(asked_s, time_left_s):
            return None
        return self.only_version(stream, service, asked_s)

    def record(
        self, call: calls.Call, endpoint: discovery.Endpoint
    ) -> str | None:
        """Record that an endpoint sends events of a caller's stream.

        Returns
        -------
        str or None
            Software version of the endpoint; ``None`` if it is not sure.
        """
        version = self.entries.software_of(endpoint)
        is_short = len(call.stream) <= memory.MAX_ID_CHARACTERS
        if version is not None and is_short:
            origin = memory.Origin(endpoint.service, version)
            self.exchange.store(call.stream, origin)
            self.records.note_begun(call.stream, origin)
        return version

    def record_end(self, call: calls.Call) -> None:
        """Record that a caller has received a stream as a whole."""
        self.records.note_ended(call.stream)
