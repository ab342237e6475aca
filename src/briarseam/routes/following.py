"""The configuration in force, as the operators' topic tells it."""

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
        """Return a model's wanted weights; raises ``MalformedError``."""

    def is_configuration(self, key: str) -> bool:
        """Tell whether a key names the configuration."""

    def is_weight_goal(self, key: str) -> bool:
        """Tell whether a key names a model's weights."""


class OperatorFeed:
    """Keeps the newest configuration and wanted weights.

    Within one start of the process a version never gives way to an older
    one, whatever order records are read in.

    Parameters
    ----------
    documents
        Decodes what operators write.
    on_change
        Called with each new configuration, before it is in force.
    tally
        Notes malformed documents, which change nothing.
    """

    def __init__(
        self,
        documents: Documents,
        on_change: collections.abc.Callable[[model.Configuration], None],
        tally: malformed.Tally | None = None,
    ) -> None:
        self.tally = tally or malformed.Tally()
        self.documents = documents
        self.on_change = on_change
        self.table: tables.RouteTable | None = None
        # The configuration in force, as operators wrote it.
        self.content = b""
        # Configurations come from the store and from peers.
        self.lock = threading.Lock()
        self.goals = goals.GoalHistory()
        self.loaded = threading.Event()

    def current(self) -> tables.RouteTable | None:
        """Return the configuration in force; ``None`` before the first."""
        return self.table

    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        table = self.table
        return 0 if table is None else table.configuration.version

    def apply_all(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Take in all documents."""
        self.apply_changes(changes)

    def apply_changes(
        self, changes: collections.abc.Sequence[records.KeyedRecord]
    ) -> None:
        """Take in changed documents."""
        for change in changes:
            if change.value is None:
                continue
            try:
                self.take_document(change.key, change.value)
            except malformed.MalformedError as error:
                # The last good one stays in force.
                self.tally.note(
                    malformed.Kind.OPERATOR_DOCUMENT, change.key, error
                )

    def take_from_peer(self, data: bytes) -> None:
        """Take in a configuration that a peer has in force."""
        try:
            self.take_configuration(data)
        except malformed.MalformedError as error:
            self.tally.note(
                malformed.Kind.OPERATOR_DOCUMENT, "from a peer", error
            )

    def take_document(self, key: str, data: bytes) -> None:
        """Take in one document; raises ``MalformedError``."""
        if self.documents.is_configuration(key):
            self.take_configuration(data)
        elif self.documents.is_weight_goal(key):
            self.take_goal(data)

    def store_lost(self) -> None:
        """Go on with what is known: a configuration does not expire."""

    def take_configuration(self, data: bytes) -> None:
        """Put a newer configuration in force."""
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

    def take_goal(self, data: bytes) -> None:
        """Take in wanted weights."""
        goal = self.documents.decode_weight_goal(data)
        if self.goals.add(goal):
            log.info("weights_wanted", model=goal.model, version=goal.version)
