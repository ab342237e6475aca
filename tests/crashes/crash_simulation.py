"""Simulation of instances that end while a request crashes endpoints."""

from __future__ import annotations

import dataclasses
import random
import typing

from briarseam import malformed
from briarseam.crashes import crash_records
from briarseam.crashes import loss_counts
from briarseam.crashes import loss_keys
from briarseam.crashes import pending_losses
from briarseam.crashes import trial_ledger
from briarseam.crashes import trial_requests
from briarseam.discovery import model
from briarseam.feeds import records
from briarseam.forwarding import crash_checks
from briarseam.forwarding import outcomes
from briarseam.forwarding import supervision
from briarseam.reachability import tracker
from briarseam.wire import replies
from tests import clocks

ENDPOINTS = 8
INSTANCES = 4
STEP_S = 0.05
HEARTBEAT_S = 0.5
REVIEW_S = 0.1
PROBE_S = 0.5
# Seconds until an endpoint is back, and until it has answered.
DOWN_S = 3.0
ANSWER_S = 0.05
# An instance is back after this time, and knows its peers a while later.
RESTART_S = 0.5
MEET_S = 1.0
# In runs in which instances are killed again and again.
KILLS = 12
CRASHES = 3
SETTLE_S = 3.0
SERVICE = "portal"
CRASHING = loss_keys.key_of_request("/crash", "north", b"")
PART = loss_keys.key_of_part("drafts", "", "bb")
GONE = supervision.Ending.CALLER_GONE


class Store:
    """A store with one keyed topic, which may be away."""

    def __init__(self):
        self.era = 0
        self.values = {}
        self.is_away = False

    def newest(self, topic):
        if self.is_away:
            raise records.StoreUnavailableError("away")
        rows = [records.KeyedRecord(*row) for row in self.values.items()]
        return records.KeyedBatch(tuple(rows), 0)

    def put(self, topic, key, value):
        if self.is_away:
            raise records.StoreUnavailableError("away")
        self.values[key] = value


@dataclasses.dataclass
class Endpoint:
    """An endpoint, over all its starts."""

    number: int
    starts: int = 0
    back_s: float = 0.0

    @property
    def start(self) -> model.Endpoint:
        name = f"e{self.number}-{self.starts}"
        return model.Endpoint(name, SERVICE, f"10.0.0.{self.number}:1", "a", 8)


@dataclasses.dataclass
class Run:
    """A request that an endpoint runs."""

    instance: Instance
    state: crash_checks.CrashState
    endpoint: Endpoint
    start: model.Endpoint
    sent_s: float
    crashes: bool
    ends_s: float
    leaves_s: float


class Instance:
    """One process, with all that it knows."""

    def __init__(self, simulation, number):
        clock = simulation.clock
        self.simulation = simulation
        self.number = number
        self.is_alive = True
        # It is read from the store, and nothing is served before.
        self.has_configuration = False
        self.started_s = clock()
        self.counts = loss_counts.LossCounts(clock)
        self.counts.is_ended = lambda name: not simulation.is_known(name)
        self.reachability = tracker.Reachability(
            lambda service: list(simulation.entries.values()), clock
        )
        self.losses = pending_losses.PendingLosses(
            self.counts, self.reachability, simulation, clock
        )
        self.ledger = trial_ledger.TrialLedger(self.counts, clock)
        self.trials = trial_requests.TrialRequests(
            self.counts, self.ledger, self, clock
        )
        self.counts.on_answered = self.trials.forget
        self.records = crash_records.CrashRecords(
            simulation.store,
            "keyed.crashes",
            f"i{number}",
            crash_records.Knowledge(self.counts, self.losses, self.ledger),
            malformed.Tally(),
            clock,
            clock,
        )
        self.trials.record = self.records.write
        self.checks = crash_checks.CrashChecks(
            self.counts, self.losses, self.trials, clock
        )
        self.checks.is_settled = self.records.is_settled

    def ask_trial(self, message):
        if self.simulation.clock() < self.started_s + MEET_S:
            raise replies.NoReplyError("not connected to peers yet")
        return self.simulation.coordinator().ledger.answer(message)

    def end_trial(self, message):
        self.simulation.coordinator().ledger.end(message)

    def sections(self):
        """Return what heartbeats carry, and how peers take it."""
        return (
            ("counts", self.counts.provide_clearings, "consume_clearings"),
            ("losses", self.losses.provide, "consume"),
            ("counts", self.counts.provide, "consume"),
            ("ledger", self.ledger.provide, "consume"),
        )


class Simulation:
    """Endpoints, instances and the store, driven from a seed.

    Parameters
    ----------
    seed
        Draws where requests go.
    crash_after_s, leaves_after_s
        When the crashing request crashes its endpoint, and its caller leaves,
        after it was sent.
    part
        Whether it has a part that other requests share.
    endpoints
        Number of endpoints.
    down_s
        Seconds until an endpoint that has ended is back.
    lapse_s
        Seconds until its entry goes; as long unless given.
    heartbeat_s
        Interval at which instances tell each other what they know.
    """

    def __init__(
        self,
        seed: int,
        crash_after_s: float = 0.05,
        leaves_after_s: float = float("inf"),
        part: bool = False,
        endpoints: int = ENDPOINTS,
        down_s: float = DOWN_S,
        lapse_s: float | None = None,
        heartbeat_s: float = HEARTBEAT_S,
    ) -> None:
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.store = Store()
        self.crash_after_s = crash_after_s
        self.leaves_after_s = leaves_after_s
        self.parts = {PART: "bb"} if part else {}
        self.down_s = down_s
        self.lapse_s = down_s if lapse_s is None else lapse_s
        self.heartbeat_s = heartbeat_s
        self.endpoints = [Endpoint(number) for number in range(endpoints)]
        self.entries = {one.start.id: one.start for one in self.endpoints}
        self.lapsing: list[tuple[float, str]] = []
        self.instances = [Instance(self, n) for n in range(INSTANCES)]
        for one in self.instances:
            one.records.load()
            one.has_configuration = True
        self.restarts: list[tuple[float, int]] = []
        self.runs: list[Run] = []
        self.crashed_s: list[float] = []
        self.arrived_s: list[float] = []
        # When sound requests came, and whether they were answered.
        self.sound: list[tuple[float, bool]] = []
        self.numbers = 0
        self.next_s = dict.fromkeys(
            ("heartbeat", "review", "probe", "keep"), 0.0
        )

    # Entries, as all instances read them.

    def is_read(self):
        return True

    def is_known(self, endpoint_id):
        return endpoint_id in self.entries

    def observed_s(self, endpoint_id, since_s):
        known = endpoint_id in self.entries
        return self.clock() - since_s if known else 0.0

    # What happens.

    def up(self) -> list[Endpoint]:
        """Return the endpoints that run."""
        return [one for one in self.endpoints if one.back_s <= self.clock()]

    def alive(self) -> list[Instance]:
        """Return the instances that run."""
        return [one for one in self.instances if one.is_alive]

    def coordinator(self) -> Instance:
        """Return the instance that grants trials."""
        return self.alive()[0]

    def send(self, crashes: bool) -> None:
        """Send the crashing request, or a sound one that is repeated."""
        if not self.alive():
            return
        instance = self.random.choice(self.alive())
        key = CRASHING
        if not crashes:
            path = f"/status/{self.random.randrange(10)}"
            key = loss_keys.key_of_request(path, "north", b"")
        self.numbers += 1
        state = crash_checks.CrashState(f"r{self.numbers}", key, self.parts)
        checks = instance.checks
        up = self.up()
        if (
            not up
            or not instance.has_configuration
            or checks.refusal_on_arrival(state) is not None
            or checks.refusal_of_send(state) is not None
        ):
            checks.end_trial(state)
            if not crashes:
                self.sound.append((self.clock(), False))
            return
        endpoint = self.random.choice(up)
        now_s = self.clock()
        checks.record_start(state)
        leaves_s = float("inf")
        if crashes:
            self.arrived_s.append(now_s)
            leaves_s = now_s + self.leaves_after_s
        ends_s = now_s + (self.crash_after_s if crashes else ANSWER_S)
        self.runs.append(
            Run(
                instance,
                state,
                endpoint,
                endpoint.start,
                now_s,
                crashes,
                ends_s,
                leaves_s,
            )
        )

    def advance(self, run: Run) -> None:
        """Let a request go on."""
        now_s = self.clock()
        checks = run.instance.checks
        if run.leaves_s <= now_s and run.instance.is_alive:
            run.leaves_s = float("inf")
            checks.record_abandoned(run.state, run.start, GONE, run.sent_s)
            run.instance = DEAD
        if run.ends_s > now_s:
            return
        self.runs.remove(run)
        if run.crashes:
            self.end(run.endpoint, run)
            return
        self.sound.append((run.sent_s, True))
        if run.instance.is_alive:
            run.instance.reachability.record_heard(SERVICE)
            run.instance.reachability.record_heard_from(run.start)
            outcome = outcomes.Answered(200)
            checks.record_outcome(run.state, run.start, outcome, run.sent_s)

    def end(self, endpoint: Endpoint, cause: Run | None = None) -> None:
        """Let an endpoint end, with all that it runs."""
        if endpoint.back_s > self.clock():
            return
        if cause is not None:
            self.crashed_s.append(self.clock())
        name = endpoint.start.id
        lost = [one for one in self.runs if one.start.id == name]
        for run in (*lost, *([cause] if cause else [])):
            if run is not cause:
                self.runs.remove(run)
                if not run.crashes:
                    self.sound.append((run.sent_s, False))
            if run.instance.is_alive:
                run.instance.checks.record_outcome(
                    run.state, run.start, outcomes.Broken("reset"), run.sent_s
                )
        self.lapsing.append((self.clock() + self.lapse_s, name))
        endpoint.back_s = self.clock() + self.down_s
        endpoint.starts += 1

    def end_all(self) -> None:
        """Let all endpoints end together, by no request."""
        for endpoint in self.up():
            self.end(endpoint)

    def kill(self, numbers: typing.Iterable[int]) -> None:
        """Kill instances, which are back a while later."""
        for number in numbers:
            if self.instances[number].is_alive:
                self.instances[number].is_alive = False
                self.restarts.append((self.clock() + RESTART_S, number))

    def step(self) -> None:
        """Let a short time pass."""
        self.clock.now_s += STEP_S
        now_s = self.clock()
        for at_s, name in [one for one in self.lapsing if one[0] <= now_s]:
            self.lapsing.remove((at_s, name))
            self.entries.pop(name, None)
        self.entries |= {one.start.id: one.start for one in self.up()}
        for at_s, number in [one for one in self.restarts if one[0] <= now_s]:
            self.restarts.remove((at_s, number))
            self.instances[number] = Instance(self, number)
        for run in list(self.runs):
            if run in self.runs:
                self.advance(run)
        self.work()

    def work(self) -> None:
        """Let instances do what they do now and then."""
        now_s = self.clock()
        due = {name for name, at_s in self.next_s.items() if at_s <= now_s}
        if "review" in due:
            self.next_s["review"] = now_s + REVIEW_S
            for one in self.alive():
                one.has_configuration |= not self.store.is_away
                if not one.records.loaded.is_set():
                    one.records.load()
                one.losses.review()
                one.records.write()
        if "probe" in due:
            self.next_s["probe"] = now_s + PROBE_S
            for one in self.alive():
                self.probe(one.reachability)
        if "heartbeat" in due:
            self.next_s["heartbeat"] = now_s + self.heartbeat_s
            self.exchange()
        if "keep" in due:
            self.next_s["keep"] = now_s + 1.0
            for one in self.alive():
                one.counts.forget_expired()
                one.ledger.forget_expired()

    def probe(self, reachability: tracker.Reachability) -> None:
        """Check endpoints in doubt, and those to which connections fail."""
        up = {one.start.id for one in self.up()}
        reachability.keep_only(self.entries)
        for start in reachability.take_doubted():
            if start.id not in up:
                reachability.record_unreached(start)

    def exchange(self) -> None:
        """Let all instances tell each other what they know."""
        told = [
            (one, part, provide(), consume)
            for one in self.alive()
            for part, provide, consume in one.sections()
        ]
        for sender, part, data, consume in told:
            for receiver in self.alive():
                if receiver is not sender:
                    take = getattr(getattr(receiver, part), consume)
                    take(f"i{sender.number}", data)

    def run(
        self,
        seconds: float,
        crash_every_s: float = 0.0,
        sound_per_s: float = 4,
    ) -> None:
        """Send sound requests, and the crashing one if a pause is given."""
        ends_s = self.clock() + seconds
        next_s = self.clock()
        while self.clock() < ends_s:
            if self.random.random() < sound_per_s * STEP_S:
                self.send(crashes=False)
            if crash_every_s and self.clock() >= next_s:
                next_s = self.clock() + crash_every_s
                self.send(crashes=True)
            self.step()

    # What came of it.

    def late(self) -> int:
        """Return how often the crashing request arrived after the bound."""
        if len(self.crashed_s) < CRASHES:
            return 0
        bound_s = self.crashed_s[CRASHES - 1] + SETTLE_S
        return sum(at_s > bound_s for at_s in self.arrived_s)

    def share(self, from_s: float) -> float:
        """Return which share of the sound requests since was answered."""
        served = [is_served for at_s, is_served in self.sound if at_s > from_s]
        return sum(served) / len(served)


@dataclasses.dataclass
class Dead:
    """Stands for an instance that learns nothing more of a request."""

    is_alive: bool = False
    checks: None = None


DEAD: typing.Any = Dead()


def run_kills(simulation: Simulation, pause_s: float) -> None:
    """Kill one instance or all, again and again; the store may be away."""
    random_ = simulation.random
    for _ in range(KILLS):
        simulation.run(random_.uniform(0.3, 20.0), pause_s)
        some = [random_.randrange(INSTANCES)]
        simulation.kill(range(INSTANCES) if random_.random() < 0.6 else some)
        simulation.store.is_away = random_.random() < 0.15
    simulation.store.is_away = False
    simulation.run(10.0, pause_s)
