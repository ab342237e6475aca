"""The configuration in force, read from the operators' topic."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import malformed
from briarseam.routes import evacuation
from briarseam.routes import model
from briarseam.routes import table as tables
from briarseam.weights import goals

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam.feeds import records

log = structlog.get_logger("briarseam.routes")


class Documents(typing.Protocol):
    """Decodes the operators' documents."""

    def decode_configuration(self, data: bytes) -> model.Configuration:
        """Return a configuration; raises ``MalformedError``."""

    def decode_weight_goal(self, data: bytes) -> goals.WeightGoal:
        """Return a model's target weights; raises ``MalformedError``."""

    def is_configuration(self, key: str) -> bool:
        """Return whether a key names the configuration."""

    def is_weight_goal(self, key: str) -> bool:
        """Return whether a key names a model's weights."""

    def evacuated_zone(self, key: str) -> str | None:
        """Return the availability zone that a key evacuates, if it does."""


def ignore(configuration: model.Configuration) -> None:
    """Do nothing; the default."""
    del configuration


class OperatorFeed:
    """Keeps the newest configuration, target weights and evacuations.

    Until the process restarts, a version is never replaced by an older one,
    in whichever order records are read.

    Parameters
    ----------
    documents
        Decodes the operators' documents.
    on_change
        Called with each new configuration before it takes effect.
    malformed_counter
        Counts malformed documents, which are otherwise ignored.
    evacuations
        The evacuated availability zones, which the records determine.
    on_named
        Called with each configuration that the store names, even if a newer
        one is in force.
    """

    def __init__(
        self,
        documents: Documents,
        on_change: collections.abc.Callable[[model.Configuration], None],
        malformed_counter: malformed.Tally | None = None,
        evacuations: evacuation.Evacuations | None = None,
        on_named: collections.abc.Callable[
            [model.Configuration], None
        ] = ignore,
    ) -> None:
        self.on_named = on_named
        self.evacuations = evacuations or evacuation.Evacuations()
        self.has_read_all = False
        self.malformed_counter = malformed_counter or malformed.Tally()
        self.documents = documents
        self.on_change = on_change
        self.table: tables.RouteTable | None = None
        # The encoded document of the configuration in force.
        self.content = b""
        # Configurations from the store and from peers arrive on different
        # threads.
        self.lock = threading.Lock()
        self.goals = goals.GoalHistory()
        # The newest weights by model that the store names now.  Unlike the
        # goals they go back if the store is restored from a backup.
        self.named: dict[str, int] = {}
        # Who is isolated by the configuration that the store names now.
        self.named_isolated: frozenset[str] = frozenset()
        # How often the whole topic was read.
        self.readings = 0
        self.loaded = threading.Event()

    def current(self) -> tables.RouteTable | None:
        """Return the route table in force; ``None`` before the first."""
        return self.table

    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        table = self.table
        return 0 if table is None else table.configuration.version

    def apply_all(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Apply all documents of the topic."""
        zones = (
            self.documents.evacuated_zone(change.key) for change in changes
        )
        self.evacuations.replace({zone for zone in zones if zone})
        self.has_read_all = True
        # First: whoever sees the new content must not see the old number.
        self.readings += 1
        self.named = {}
        self.named_isolated = frozenset()
        self.apply_changes(changes)
        self.goals.mark_read()

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Apply changed documents."""
        self.evacuations.review()
        for change in changes:
            zone = self.documents.evacuated_zone(change.key)
            if zone is not None:
                self.apply_evacuation(zone, change.value)
                continue
            if change.value is None:
                continue
            try:
                self.apply_document(change.key, change.value)
            except malformed.MalformedError as error:
                # The last valid document stays in force.
                self.malformed_counter.note(
                    malformed.Kind.OPERATOR_DOCUMENT, change.key, error
                )

    def apply_evacuation(self, zone: str, value: bytes | None) -> None:
        """Apply a record that begins or, if deleted, ends an evacuation."""
        if value is None:
            self.evacuations.end(zone)
        else:
            self.evacuations.begin(zone)

    def apply_peer_configuration(
        self, data: bytes, evacuated: collections.abc.Iterable[str] = ()
    ) -> None:
        """Apply the configuration and evacuations that a peer has in force.

        The evacuations are needed only until the store's records are read:
        a process that starts while the store is unavailable would otherwise
        send to a zone that was evacuated before.
        """
        if not self.has_read_all:
            for zone in evacuated:
                self.evacuations.begin(zone)
        try:
            self.apply_configuration(data)
        except malformed.MalformedError as error:
            self.malformed_counter.note(
                malformed.Kind.OPERATOR_DOCUMENT, "from a peer", error
            )

    def apply_document(self, key: str, data: bytes) -> None:
        """Apply one document; raises ``MalformedError``."""
        if self.documents.is_configuration(key):
            configuration = self.apply_configuration(data)
            self.on_named(configuration)
            self.named_isolated = configuration.isolated
        elif self.documents.is_weight_goal(key):
            self.apply_goal(data)

    def store_lost(self) -> None:
        """Keep the known configuration and evacuations."""
        self.evacuations.store_lost()

    def apply_configuration(self, data: bytes) -> model.Configuration:
        """Put a configuration in force if it is newer; return it."""
        configuration = self.documents.decode_configuration(data)
        with self.lock:
            if self.table and configuration.version <= self.version():
                return configuration
            self.on_change(configuration)
            self.table = tables.RouteTable(configuration)
            self.content = data
        self.loaded.set()
        log.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
            isolated=sorted(configuration.isolated),
        )
        return configuration

    def apply_goal(self, data: bytes) -> None:
        """Apply a model's target weights."""
        goal = self.documents.decode_weight_goal(data)
        self.named = {**self.named, goal.model: goal.version}
        if self.goals.add(goal):
            log.info("weights_wanted", model=goal.model, version=goal.version)
