"""Keeps an agent's configuration up to date and knows how current it is.

Two agents of a cell follow the log; the others send long polls to those two
and receive each record as it arrives.  An agent that receives nothing from
them reads the log itself, then queries other peers.
"""

from __future__ import annotations

import dataclasses
import math
import random
import threading
import typing

import structlog

from briarseam import backoff
from briarseam.backing import log as logs
from briarseam.configuration import handlers
from briarseam.configuration import loading
from briarseam.configuration import peers as peer_calls
from briarseam.configuration import records
from briarseam.configuration import snapshots
from briarseam.configuration import snapshotting
from briarseam.configuration import state as states

if typing.TYPE_CHECKING:
    from briarseam.configuration import messages
    from briarseam.configuration import schema
    from briarseam.configuration import teams as team_types
    from briarseam.wire import connection as connections
    from briarseam.wire import server

# A peer whose proof is older than this is not current: query others as well.
MAX_PROOF_AGE_S = 4.0
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
SAMPLE_SIZE = 3
log = structlog.get_logger("briarseam.configuration")


@dataclasses.dataclass(frozen=True)
class Options:
    """Options of a reader.

    Attributes
    ----------
    log_wait_ms
        Duration of a long poll of the log.
    peer_wait_ms
        Duration of a long poll of a peer that reads the log.
    all_agents_read
        Make every agent follow the log, as a baseline for benchmarks.
    snapshots
        When snapshots are due.
    """

    log_wait_ms: int = 1000
    peer_wait_ms: int = 1000
    all_agents_read: bool = False
    snapshots: snapshotting.Options = snapshotting.Options()


def options_for(log_poll_ms: int, log_retention_s: float) -> Options:
    """Return the options for the settings of a platform's log.

    Parameters
    ----------
    log_poll_ms
        Duration of a long poll of the log.
    log_retention_s
        How long the log keeps a record, in seconds.
    """
    max_age_s = log_retention_s / snapshotting.RENEWALS_PER_RETENTION
    return Options(
        log_wait_ms=log_poll_ms,
        snapshots=snapshotting.Options(max_age_s=max_age_s),
    )


class ConfigurationReader:
    """Holds the configuration in force at this agent.

    Parameters
    ----------
    client
        The log.
    teams
        Teams that may author changes.
    identity
        Identity of the local process.
    key
        The agents' shared key.
    members
        Returns wire addresses by name of the live members of the cell, with
        or without this agent.
    other_cell_members
        Returns wire addresses by name of agents of other cells.
    options
        Options of the reader.
    """

    def __init__(
        self,
        client: logs.LogClient,
        teams: team_types.Teams,
        identity: connections.Identity,
        key: bytes,
        members: peer_calls.Members = dict,
        other_cell_members: peer_calls.Members = dict,
        options: Options | None = None,
    ) -> None:
        self.client = client
        self.teams = teams
        self.options = options or Options()
        self.counters = states.Counters()
        self.tree = states.SharedTree(teams, self.counters)
        self.peers = peer_calls.Peers(
            identity, key, members, other_cell_members
        )
        self.snapshot_key = snapshots.derive_key(key)
        self.snapshotter = snapshotting.Snapshotter(
            client,
            self.tree,
            self.snapshot_key,
            self.reader_rank,
            self.options.snapshots,
        )
        self.handlers = handlers.PeerHandlers(
            self.tree, self.ready, self.proof_age_ms
        )
        self.proof_at = -math.inf
        self.peer_contact_at = -math.inf
        self.history_lost = False
        self.peer_offsets: dict[str, int] = {}
        self.deprioritized = ""
        self.stopping = threading.Event()
        self.thread = threading.Thread(
            target=self.run, name="configuration", daemon=True
        )

    def start(self) -> None:
        """Start loading and following the configuration."""
        self.thread.start()
        self.snapshotter.start()

    def stop(self) -> None:
        """Stop after the current poll."""
        self.stopping.set()
        self.snapshotter.stop()
        self.peers.close()

    def register(self, router: server.Router) -> None:
        """Register the handlers of peers' messages with ``router``."""
        self.handlers.register(router)

    def view(self) -> schema.View:
        """Return the typed tree in force at this agent."""
        return self.tree.view

    def offset(self) -> int:
        """Return the offset of the last record in force at this agent."""
        return self.tree.view.offset

    def ready(self) -> bool:
        """Return whether a tree is loaded, which new work requires."""
        return self.tree.loaded

    def staleness_s(self) -> float:
        """Return the time without contact to the log or a peer, in seconds.

        An agent over the limit refuses new work as not run, because it may
        miss changes that all other agents follow.  An answer from a peer
        that is not ahead counts as contact: otherwise an outage of the log,
        during which nothing can be published, would end all service.
        """
        if not self.ready():
            return math.inf
        last_contact_at = max(self.proof_at, self.peer_contact_at)
        return max(0.0, states.now_s() - last_contact_at)

    def log_age_s(self) -> float:
        """Return the age of the last proof that the tree is current.

        The proof is that the tree's offset was the end of the log.
        """
        return max(0.0, states.now_s() - self.proof_at)

    def proof_age_ms(self) -> int:
        """Return :meth:`log_age_s` in ms; -1 for never."""
        age_s = self.log_age_s()
        return -1 if math.isinf(age_s) else int(age_s * 1000)

    def record_peer_offset(self, name: str, offset: int) -> None:
        """Record the offset from a peer's heartbeat."""
        self.peer_offsets[name] = offset

    def reader_rank(self) -> int | None:
        """Return this agent's rank among the log's readers, else None."""
        if self.options.all_agents_read:
            return 0
        readers = self.peers.readers()
        name = self.peers.identity.name
        return readers.index(name) if name in readers else None

    def run(self) -> None:
        """Load the configuration, then follow it until stopped."""
        pauses = backoff.Backoff(MIN_PAUSE_S, MAX_PAUSE_S)
        while not self.stopping.is_set():
            if self.poll():
                pauses.reset()
                continue
            self.stopping.wait(pauses.next_s())

    def poll(self) -> bool:
        """Poll once for new records; return whether a source was current."""
        if self.tree.fold.stopped is not None:
            return False
        if not self.ready():
            return self.load()
        before = self.offset()
        proved = self.poll_sources()
        if self.offset() == before:
            self.poll_peers_ahead()
        return proved

    def poll_sources(self) -> bool:
        """Poll the sources in turn until one proves to be current."""
        polled: set[str] = set()
        if self.reader_rank() is None:
            for name in self.reading_peers():
                wait_ms = 0 if polled else self.options.peer_wait_ms
                polled.add(name)
                if self.follow_peer(name, wait_ms):
                    return True
                self.deprioritized = name
            if self.follow_log(0):
                return True
        elif self.follow_log(self.options.log_wait_ms):
            return True
        return self.poll_others(polled)

    def poll_others(self, polled: set[str]) -> bool:
        """Poll some other peers of the cell and some of other cells."""
        others = [
            name for name in self.peers.addresses() if name not in polled
        ]
        other_cell_members = list(self.peers.other_cell_addresses())
        names = [*sample(others), *sample(other_cell_members)]
        return any([self.follow_peer(name, 0) for name in names])

    def reading_peers(self) -> list[str]:
        """Return the peers that read the log, in the order to poll them.

        Half of the cell's agents use the reverse order.  The last peer that
        returned no answer or no proof is polled last: otherwise a frozen
        reader would cost a timeout in every round until membership removes
        it.
        """
        names = self.peers.readers()
        if peer_calls.rank(self.peers.identity.name) % 2:
            names.reverse()
        return sorted(names, key=lambda name: name == self.deprioritized)

    def poll_peers_ahead(self) -> None:
        """Poll the peers whose heartbeats carried a higher offset."""
        for name, offset in list(self.peer_offsets.items()):
            if offset > self.offset():
                self.follow_peer(name, 0)

    def follow_log(self, wait_ms: int) -> bool:
        """Read the log once; return whether this agent is current."""
        sent_at = states.now_s()
        offset = self.offset()
        try:
            batch = self.client.read(records.STREAM, offset, wait_ms)
            loading.check_batch(batch, offset)
        except logs.LogUnavailableError:
            return False
        except loading.HistoryLostError as error:
            self.record_history_lost(error)
            return self.load()
        finally:
            self.counters.log_reads += 1
        data = [record.data for record in batch.records]
        self.counters.log_bytes += sum(map(len, data))
        self.tree.extend(offset + 1, data)
        if self.offset() + 1 >= batch.next:
            self.record_proof(sent_at)
            return True
        return bool(data) and self.tree.fold.stopped is None

    def follow_peer(self, name: str, wait_ms: int) -> bool:
        """Poll a peer once; return whether it has recent proof."""
        address = self.peers.address_of(name)
        if address is None:
            self.peer_offsets.pop(name, None)
            return False
        sent_at = states.now_s()
        offset = self.offset()
        self.counters.peer_reads += 1
        try:
            reply = self.peers.fetch_records(address, offset, wait_ms)
            if reply.ready and not reply.retained:
                self.counters.state_fetches += 1
                self.tree.replace(self.peers.fetch_state(address))
        except peer_calls.PeerError:
            return False
        return self.apply_reply(reply, sent_at, offset)

    def apply_reply(
        self, reply: messages.Records, sent_at: float, after: int
    ) -> bool:
        """Apply a peer's records; return whether it has recent proof.

        Parameters
        ----------
        reply
            The peer's answer.
        sent_at
            When the query was sent.
        after
            Offset that the query named.
        """
        if not reply.ready:
            return False
        self.counters.peer_bytes += sum(map(len, reply.data))
        self.tree.extend(after + 1, reply.data)
        self.tree.digest_differs(reply.offset, reply.digest)
        if self.offset() < reply.offset:
            return bool(reply.data)
        # The age counts from the sending of the query: an agent that was
        # frozen must not treat an old answer in its socket as current.
        self.peer_contact_at = max(self.peer_contact_at, sent_at)
        if reply.proof_age_ms < 0:
            return False
        age_s = reply.proof_age_ms / 1000
        if self.offset() == reply.offset:
            self.record_proof(sent_at - age_s)
        return age_s <= MAX_PROOF_AGE_S

    def load(self) -> bool:
        """Load the tree from the log, or else from peers."""
        started_at = states.now_s()
        try:
            fold = loading.load(self.client, self.teams, self.snapshot_key)
        except logs.LogUnavailableError:
            return self.load_from_peers()
        except loading.HistoryLostError as error:
            self.record_history_lost(error)
            return self.load_from_peers()
        self.tree.replace(fold)
        if self.offset() != fold.offset:
            return False
        if fold.stopped is None:
            self.history_lost = False
            self.record_proof(started_at)
        return True

    def load_from_peers(self) -> bool:
        """Load the highest state among the cell's peers, or else others.

        An instance stores no state, so it does not know the offset of the
        instance that it replaces.  Until the log can be read, the highest
        state of its peers is the most current one available.
        """
        cell = list(self.peers.addresses().values())
        other_cell_members = list(self.peers.other_cell_addresses().values())
        return self.load_highest(cell) or self.load_highest(
            sample(other_cell_members)
        )

    def load_highest(self, addresses: list[str]) -> bool:
        """Load the highest state among these; return whether one exists."""
        started_at = states.now_s()
        fold = self.peers.highest_state(addresses)
        if fold is None:
            return False
        if self.tree.replace(fold):
            self.peer_contact_at = max(self.peer_contact_at, started_at)
        return True

    def record_proof(self, at_s: float) -> None:
        """Record that the tree was at the log's end at ``at_s``."""
        self.proof_at = max(self.proof_at, at_s)

    def record_history_lost(self, error: loading.HistoryLostError) -> None:
        """Count an occurrence of lost history and log the first one."""
        self.counters.history_lost += 1
        if not self.history_lost:
            log.error("configuration_history_lost", detail=str(error))
        self.history_lost = True


def sample(items: list[str]) -> list[str]:
    """Return a random sample of the items."""
    return random.sample(items, min(SAMPLE_SIZE, len(items)))
