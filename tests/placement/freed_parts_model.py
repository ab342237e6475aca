"""A model of instances, stores and engines in virtual time.

Several instances run the real logic; the operators' topic, the stores, the
engines and the network between them are modelled.  Stores judge whether a
part is freed before a fetch of it has ended.
"""

from __future__ import annotations

import contextlib
import dataclasses
import json
import random
import types
import typing

from briarseam.discovery import starts
from briarseam.feeds import following
from briarseam.feeds import records
from briarseam.forwarding import calls
from briarseam.placement import cache_sharing
from briarseam.placement import fetch_leases
from briarseam.placement import kept
from briarseam.placement import prompt_chooser
from briarseam.placement import salts
from briarseam.placement import store_index
from briarseam.placement import store_watch
from briarseam.placement import sweeping
from briarseam.routes import following as operators
from briarseam.routes import freshness
from briarseam.routes import model
from briarseam.weights import goals

STEP_S = 0.125
LEASE_S = 4.0
APPLY_S = 2.0
POLL_S = 0.5
HEARTBEAT_S = 0.5
CONNECTION_TIMEOUT_S = 1.0
ENDPOINT_CLOCK_MS = 5_000_000.0
EPOCH = 7
MS = 1000.0
PARTS = (calls.PromptPart("p", 10), calls.PromptPart("q", 10))
ORGANISATIONS = ("a", "b", "c")
ADDRESSES = ("s1", "s2")


class Documents:
    """Decodes the operators' documents, which are short here."""

    def decode_configuration(self, data):
        document = json.loads(data)
        return types.SimpleNamespace(
            version=document["version"],
            isolated=frozenset(document["isolated"]),
            routes=(),
            services={},
        )

    def decode_weight_goal(self, data):
        return goals.WeightGoal("m", json.loads(data)["version"])

    def is_configuration(self, key):
        return key == "config"

    def is_weight_goal(self, key):
        return key == "weights/m"

    def evacuated_zone(self, key):
        del key


class Topic:
    """The operators' topic, which may be restored from an older copy."""

    def __init__(self):
        self.era = 0
        self.log = []
        self.copies = []
        # What operators have written, and write again after a restore.
        self.written = {}

    def write(self, key, **document):
        self.written[key] = document
        self.log.append(
            records.KeyedRecord(key, json.dumps(document).encode())
        )

    def copy(self):
        self.copies.append(list(self.log))

    def restore(self, copy):
        self.era += 1
        self.log = list(copy)

    def write_again(self):
        named = {record.key: record.value for record in self.log}
        for key, document in list(self.written.items()):
            if named.get(key) != json.dumps(document).encode():
                self.write(key, **document)

    def newest(self):
        by_key = {record.key: record for record in self.log}
        return tuple(by_key.values()), records.in_era(self.era, len(self.log))


class TopicClient:
    """An instance's calls to the topic."""

    def __init__(self, world, instance):
        self.world = world
        self.instance = instance

    def check(self):
        if self.world.now_s < self.instance.topic_cut_until_s:
            raise records.StoreUnavailableError("cut off")

    def newest(self, topic):
        del topic
        self.check()
        found, following_offset = self.world.topic.newest()
        return records.KeyedBatch(
            found, following_offset, self.instance.clock()
        )

    def read_keyed(self, topic, start, wait_s):
        del topic, wait_s
        self.check()
        source = self.world.topic
        if records.era_of(start) != source.era:
            raise records.StoreRestoredError("restored")
        found = tuple(source.log[records.number_of(start) :])
        return records.KeyedBatch(
            found, start + len(found), self.instance.clock()
        )


@dataclasses.dataclass
class Fetch:
    """A fetch of parts, from the decision until its end."""

    address: str
    key: tuple[str, str]
    begun_s: float
    end_s: float


class Store:
    """A store of parts; it frees without knowing who reads."""

    def __init__(self, world, address):
        self.world = world
        self.address = address
        self.parts = {}
        self.events = []
        self.fetches = []

    def save(self, key):
        if key not in self.parts:
            self.parts[key] = 10
            self.events.append(store_index.PartEvent(*key, 10))

    def free(self, parts, until_ms):
        now_s = self.world.now_s
        if self.world.shown_ms() >= until_ms:
            raise store_watch.StoreUnavailableError("too late")
        for key in parts:
            if self.parts.pop(key, None) is None:
                continue
            self.world.freed += 1
            self.events.append(store_index.PartEvent(*key, 0))
            self.world.violations += [
                fetch
                for fetch in self.fetches
                if fetch.key == key and fetch.end_s > now_s
            ]


class FreeCalls:
    """An instance's calls to free parts, which may arrive late."""

    def __init__(self, world):
        self.world = world

    def free(self, address, epoch, parts, until_ms):
        assert epoch == EPOCH
        store = self.world.stores[address]
        parts = list(parts)
        random_ = self.world.random
        delay_s = random_.choice((0.0, 0.0, random_.uniform(0.0, 8.0)))
        if not delay_s:
            store.free(parts, until_ms)
            return

        def arrive():
            with contextlib.suppress(store_watch.StoreUnavailableError):
                store.free(parts, until_ms)

        self.world.later(delay_s, arrive)
        raise store_watch.StoreUnavailableError("no answer")


class Instance:
    """One instance: the real classes, without their threads."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.offset_s = world.random.uniform(0.0, 1000.0)
        self.topic_cut_until_s = 0.0
        self.suspended_until_s = 0.0
        self.heard_until_s = {}
        self.inbox = []
        self.next_poll_s = world.now_s + world.random.uniform(0, POLL_S)
        self.next_heartbeat_s = self.next_poll_s
        self.next_renewal_s = self.next_poll_s
        self.next_review_s = self.next_poll_s
        self.cursors = dict.fromkeys(ADDRESSES, 0)
        self.sharing = cache_sharing.CacheSharing(self.is_outdated)
        self.feed = operators.OperatorFeed(
            Documents(),
            self.sharing.apply,
            on_named=self.sharing.apply_named,
        )
        self.follower = following.Follower(
            TopicClient(world, self), "operators", self.feed, POLL_S
        )
        self.freshness = freshness.ConfigurationFreshness(
            lambda: self.follower.complete_until_s,
            APPLY_S,
            lambda: True,
            self.clock,
        )
        self.feed.goals.clock = self.clock
        self.leases = fetch_leases.FetchLeases(
            lambda: LEASE_S,
            lambda: self.feed.goals.newest,
            lambda: world.variant.read_until_s(self),
            self.clock,
        )
        self.index = kept.KeptIndex(self.clock)
        self.index.set_stores(
            [
                model.StoreTraits(address, "z", 10_000, 1.0, 0.0, True)
                for address in ADDRESSES
            ]
        )
        self.sweeper = sweeping.Sweeper(
            FreeCalls(world),
            self.index,
            world.sources(self),
            name,
            # Instances may each take themselves for the only one.
            lambda: [name],
            self.clock,
        )
        self.chooser = prompt_chooser.PromptChooser(
            *[None] * 3,
            self.index,
            *[None] * 2,
            types.SimpleNamespace(allows=lambda regions, zone: True),
            None,
            self.sharing,
            self.leases.end_of_fetch,
        )

    def clock(self):
        return self.world.now_s + self.offset_s

    def confirm(self):
        """Read the topic at once, as the node does."""
        position = self.follower.next
        if position is None:
            return None
        try:
            batch = self.follower.store.read_keyed("operators", position, 0)
        except (
            records.RecordsExpiredError,
            records.StoreUnavailableError,
        ):
            return None
        return None if batch.records else batch.complete_until_s

    def is_outdated(self):
        return not self.freshness.is_fresh()

    def heartbeat(self):
        """Return the sections of a heartbeat in the order of delivery."""
        return (
            self.freshness.delays.provide(),
            self.freshness.provide(),
            self.sharing.provide(),
            self.feed.content,
            self.feed.goals.ages(),
        )

    def hear(self, member, heartbeat):
        made, age, separate, configuration, ages = heartbeat
        self.freshness.delays.consume(member, made)
        self.freshness.consume(member, age)
        self.sharing.consume(member, separate)
        if configuration:
            self.feed.apply_peer_configuration(configuration)

        def hear_weights():
            for name, version, age_s in ages:
                self.feed.goals.add(goals.WeightGoal(name, version), age_s)

        # The sections that follow are applied a moment later.
        self.world.later(STEP_S, hear_weights)

    def run(self):
        """Do what is due now."""
        now_s = self.world.now_s
        if now_s < self.suspended_until_s:
            return
        inbox, self.inbox = self.inbox, []
        for member, heartbeat in inbox:
            self.hear(member, heartbeat)
        actions = [
            ("next_poll_s", POLL_S, self.poll),
            ("next_heartbeat_s", HEARTBEAT_S, self.send_heartbeats),
            ("next_renewal_s", fetch_leases.RENEW_S, self.leases.renew),
            ("next_review_s", sweeping.REVIEW_S, self.sweeper.review),
        ]
        self.world.random.shuffle(actions)
        for due, interval_s, action in actions:
            if now_s >= getattr(self, due):
                setattr(self, due, now_s + interval_s)
                action()
        if self.world.random.random() < 0.3:
            self.request()

    def poll(self):
        try:
            self.follower.read_once()
            self.follower.record_store_regained()
        except records.StoreUnavailableError as error:
            self.follower.record_store_lost(str(error))
        for address, store in self.world.stores.items():
            self.read_store(address, store)

    def read_store(self, address, store):
        shown_ms = self.world.shown_ms()
        cursor, self.cursors[address] = (
            self.cursors[address],
            len(store.events),
        )
        if not self.index.stores[address].readable:
            parts = tuple(
                store_index.PartEvent(*key, tokens)
                for key, tokens in store.parts.items()
            )
            content = store_index.Content(
                EPOCH, 0, parts, starts.UNKNOWN_MS, shown_ms
            )
            self.index.apply_content(address, content)
            return
        told = tuple(
            event
            for event in store.events[cursor:]
            if event.tokens or self.world.random.random() < 0.8
        )
        changes = store_index.Changes(
            EPOCH, 0, False, told, starts.UNKNOWN_MS, shown_ms
        )
        self.index.apply_changes(address, changes)

    def send_heartbeats(self):
        for peer in self.world.instances.values():
            if peer is not self:
                self.world.send(self, peer, self.heartbeat())

    def request(self):
        """Decide on one request, which reaches its engine later."""
        random_ = self.world.random
        newest = self.feed.goals.newest.get("m")
        newest_version = newest.version if newest else 1
        lag = 0 if self.world.is_quiet else random_.choice((0, 0, 1, 2))
        version = max(1, newest_version - lag)
        organisation = random_.choice((None, *ORGANISATIONS))
        request = types.SimpleNamespace(
            call=types.SimpleNamespace(
                prompt=types.SimpleNamespace(model="m", shared=PARTS)
            ),
            organisation=(
                organisation and types.SimpleNamespace(name=organisation)
            ),
            regions=None,
        )
        plan = self.chooser.plan(request, version)
        self.world.run_request(plan)


def sources_of(instance):
    """Return the sources of a sweeper, as the node composes them."""

    def isolated():
        if instance.world.variant.groups_in_force:
            return instance.sharing.division.isolated
        return instance.feed.named_isolated

    return sweeping.Sources(
        named=lambda: instance.feed.named,
        readings=lambda: instance.feed.readings,
        confirm=lambda: instance.world.variant.confirm(instance),
        is_superseded=lambda scope: cache_sharing.is_superseded(
            scope, isolated()
        ),
    )


# Mean time between events, in seconds.
CHANGES = {
    "name_weights": 8.0,
    "configure": 25.0,
    "copy_topic": 25.0,
    "suspend": 15.0,
    "cut_topic": 20.0,
    "cut_peers": 25.0,
    "isolate_instance": 25.0,
    "restart_one": 25.0,
    "restart_all": 130.0,
    "restore": 40.0,
}
# The topic is restored often, and few instances hear from others.
RESTORES = {
    "name_weights": 8.0,
    "configure": 10.0,
    "copy_topic": 8.0,
    "suspend": 10.0,
    "cut_topic": 10.0,
    "cut_peers": 8.0,
    "isolate_instance": 12.0,
    "restart_one": 10.0,
    "restart_all": 130.0,
    "restore": 14.0,
}


@dataclasses.dataclass(frozen=True)
class Variant:
    """How often events happen, and what a run leaves out."""

    intervals_s: typing.Mapping[str, float] = dataclasses.field(
        default_factory=lambda: CHANGES
    )
    ends_fetches: bool = True
    groups_in_force: bool = False
    # Of heartbeats that are on their way for seconds.
    late_share: float = 0.0
    # Whether leases are also renewed by what peers tell.
    trusts_peers: bool = False
    # Whether the topic is read just before parts are freed.
    confirms_frees: bool = True

    def read_until_s(self, instance):
        """Return until when an instance knows the topic, for its leases."""
        read_until_s = instance.follower.complete_until_s
        if self.trusts_peers:
            return max(read_until_s, instance.freshness.told_until_s)
        return read_until_s

    def confirm(self, instance):
        """Return until when an instance knows the topic, for its frees."""
        return instance.confirm() if self.confirms_frees else instance.clock()


class World:
    """Everything, with events drawn from a seed."""

    sources = staticmethod(sources_of)

    def __init__(self, seed, variant, count=3):
        self.random = random.Random(seed)
        self.variant = variant
        self.now_s = 1000.0
        self.pending = []
        self.violations = []
        # Whether all engines have the newest weights.
        self.is_quiet = False
        self.fetched = 0
        self.freed = 0
        self.cut_pairs = {}
        self.topic = Topic()
        self.version = 1
        self.configuration = 1
        self.topic.write("config", version=1, isolated=[])
        self.topic.write("weights/m", version=1)
        self.topic.copy()
        self.stores = {address: Store(self, address) for address in ADDRESSES}
        self.instances = {}
        for number in range(count):
            self.start_instance(f"i{number}")

    def start_instance(self, name):
        self.instances[name] = Instance(self, name)

    def shown_ms(self):
        """Return what the endpoints' clock shows."""
        return self.now_s * MS + ENDPOINT_CLOCK_MS

    def later(self, delay_s, action):
        self.pending.append((self.now_s + delay_s, action))

    def send(self, sender, receiver, heartbeat):
        pair = frozenset((sender.name, receiver.name))
        if self.now_s < self.cut_pairs.get(pair, 0.0):
            return
        if self.random.random() < 0.1:
            return
        name = receiver.name

        def arrive():
            peer = self.instances[name]
            if peer is not receiver:
                return
            # A peer that does not answer gets one heartbeat, which it finds
            # when it goes on.
            if self.now_s < peer.suspended_until_s and any(
                member == sender.name for member, _ in peer.inbox
            ):
                return
            peer.inbox.append((sender.name, heartbeat))

        delay_s = 0.0
        share = self.variant.late_share
        if share and self.random.random() < share:
            delay_s = self.random.uniform(0.0, 12.0)
        self.later(delay_s or self.random.choice((0.0, 0.1)), arrive)

    def run_request(self, plan):
        """Run a request at an engine that is busy with others."""
        delay_s = self.random.choice((0.0, 0.3, self.random.uniform(0, 9)))
        length_s = self.random.choice((0.2, self.random.uniform(0, 9)))
        end_s = self.now_s + delay_s + length_s
        if self.variant.ends_fetches:
            until_s = (plan.fetch_until_ms - ENDPOINT_CLOCK_MS) / MS
            end_s = min(end_s, until_s)
        for part, address in zip(PARTS, plan.stores.fetch_from, strict=False):
            key = (plan.salt, part.id)
            if address and key in self.stores[address].parts:
                self.fetched += 1
                self.stores[address].fetches.append(
                    Fetch(address, key, self.now_s, end_s)
                )
        for part, address in zip(PARTS, plan.stores.save_to, strict=False):
            if address:
                key = (plan.salt, part.id)
                self.later(0.5, lambda a=address, k=key: self.save(a, k))

    def save(self, address, key):
        self.stores[address].save(key)

    # Events.

    def name_weights(self):
        self.version += 1
        self.topic.write("weights/m", version=self.version)

    def configure(self):
        self.configuration += 1
        count = self.random.choice((0, 1, 1, 2))
        self.topic.write(
            "config",
            version=self.configuration,
            isolated=sorted(self.random.sample(ORGANISATIONS, count)),
        )

    def suspend(self):
        instance = self.random.choice(list(self.instances.values()))
        instance.suspended_until_s = self.now_s + self.random.choice(
            (0.5, 2.0, self.random.uniform(2, 25))
        )

    def cut_topic(self):
        instance = self.random.choice(list(self.instances.values()))
        instance.topic_cut_until_s = self.now_s + self.random.choice(
            (1.0, 4.0, self.random.uniform(4, 30))
        )

    def cut_peers(self):
        """Cut one instance off from all others."""
        name = self.random.choice(list(self.instances))
        until_s = self.now_s + self.random.uniform(1, 40)
        for peer in self.instances:
            self.cut_pairs[frozenset((name, peer))] = until_s

    def isolate_instance(self):
        """Cut one instance off from the topic and from its peers."""
        name = self.random.choice(list(self.instances))
        until_s = self.now_s + self.random.uniform(5, 30)
        self.instances[name].topic_cut_until_s = until_s
        for peer in self.instances:
            self.cut_pairs[frozenset((name, peer))] = until_s + 5.0

    def restart_one(self):
        cut_until_s = self.random.choice((0.0, self.now_s + 6.0))
        name = self.random.choice(list(self.instances))
        self.start_instance(name)
        self.instances[name].topic_cut_until_s = cut_until_s

    def restart_all(self):
        for name in list(self.instances):
            self.start_instance(name)

    def copy_topic(self):
        self.topic.copy()

    def restore(self):
        """Restore the topic, which instances notice one after another."""
        self.topic.restore(self.random.choice(self.topic.copies))
        for instance in self.instances.values():
            instance.topic_cut_until_s = self.now_s + self.random.choice(
                (0.0, self.random.uniform(0, 4))
            )
        self.later(self.random.uniform(1, 20), self.topic.write_again)

    def draw_event(self):
        for name, interval_s in self.variant.intervals_s.items():
            if self.random.random() < STEP_S / interval_s:
                getattr(self, name)()

    def step(self, with_events=True):
        self.now_s += STEP_S
        if with_events:
            self.draw_event()
        due = [item for item in self.pending if item[0] <= self.now_s]
        self.pending = [item for item in self.pending if item[0] > self.now_s]
        for _at_s, action in due:
            action()
        for instance in list(self.instances.values()):
            instance.run()
        for store in self.stores.values():
            store.fetches = [
                fetch for fetch in store.fetches if fetch.end_s > self.now_s
            ]

    def run(self, seconds, with_events=True):
        for _ in range(round(seconds / STEP_S)):
            self.step(with_events)

    def settle(self):
        """End all cuts and suspensions, and repair the topic."""
        self.is_quiet = True
        self.cut_pairs = {}
        self.topic.write_again()
        for instance in self.instances.values():
            instance.topic_cut_until_s = 0.0
            instance.suspended_until_s = 0.0

    def stale_parts(self):
        """Return parts of weights that the topic names no longer."""
        return [
            key
            for store in self.stores.values()
            for key in store.parts
            if salts.parse(key[0]).version < self.version
        ]
