"""The configuration in force, read from the operators' topic."""

from __future__ import annotations

import threading
import typing

import structlog

from briarseam import malformed
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


class OperatorFeed:
    """Keeps the newest configuration and target weights.

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
    """

    def __init__(
        self,
        documents: Documents,
        on_change: collections.abc.Callable[[model.Configuration], None],
        malformed_counter: malformed.Tally | None = None,
    ) -> None:
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
        self.apply_changes(changes)

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Apply changed documents."""
        for change in changes:
            if change.value is None:
                continue
            try:
                self.apply_document(change.key, change.value)
            except malformed.MalformedError as error:
                # The last valid document stays in force.
                self.malformed_counter.note(
                    malformed.Kind.OPERATOR_DOCUMENT, change.key, error
                )

    def apply_peer_configuration(self, data: bytes) -> None:
        """Apply the configuration that a peer has in force."""
        try:
            self.apply_configuration(data)
        except malformed.MalformedError as error:
            self.malformed_counter.note(
                malformed.Kind.OPERATOR_DOCUMENT, "from a peer", error
            )

    def apply_document(self, key: str, data: bytes) -> None:
        """Apply one document; raises ``MalformedError``."""
        if self.documents.is_configuration(key):
            self.apply_configuration(data)
        elif self.documents.is_weight_goal(key):
            self.apply_goal(data)

    def store_lost(self) -> None:
        """Keep the known configuration, which does not expire."""

    def apply_configuration(self, data: bytes) -> None:
        """Put a configuration in force if it is newer."""
        configuration = self.documents.decode_configuration(data)
        with self.lock:
            if self.table and configuration.version <= self.version():
                return
            self.on_change(configuration)
            self.table = tables.RouteTable(configuration)
            self.content = data
        self.loaded.set()
        log.info(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.routes),
            services=len(configuration.services),
        )

    def apply_goal(self, data: bytes) -> None:
        """Apply a model's target weights."""
        goal = self.documents.decode_weight_goal(data)
        if self.goals.add(goal):
            log.info("weights_wanted", model=goal.model, version=goal.version)
