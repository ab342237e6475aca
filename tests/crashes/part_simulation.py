"""Simulation of instances that send prompts to engines that crash."""

from __future__ import annotations

import dataclasses
import random

from briarseam.crashes import loss_counts
from briarseam.crashes import trial_ledger
from briarseam.crashes import trial_messages as messages
from briarseam.crashes import trial_requests
from briarseam.forwarding import crash_checks
from tests import clocks

ENGINES = 8
INSTANCES = 5
SUBJECTS = 40
STEP_S = 0.05
# Seconds until an engine is back, a loss is counted, and peers hear of it.
DOWN_S = 3.0
COUNTED_S = 0.4
HEARTBEAT_S = 0.5
# Seconds until an engine begins to answer, and until it has answered.
BEGIN_S = (0.05, 0.5)
ANSWER_S = 1.0
SETTLE_S = 3.0
CRASHES = 5
CRASHING = b"crashing"
FIRST = b"first"
COMPANION = b"companion"


class Instance:
    """What one instance knows."""

    def __init__(self, clock, coordinator):
        self.losses = loss_counts.LossCounts(clock)
        self.ledger = trial_ledger.TrialLedger(self.losses, clock)
        # The first instance grants trials.
        self.trials = trial_requests.TrialRequests(
            self.losses, self.ledger, coordinator or self, clock
        )
        self.losses.on_answered = self.trials.forget

    def ask_trial(self, message):
        return self.ledger.answer(message)

    def end_trial(self, message):
        self.ledger.end(message)


@dataclasses.dataclass
class Prompt:
    """A prompt that an engine runs."""

    instance: Instance
    parts: tuple[bytes, ...]
    begins_s: float
    trial: trial_requests.Granted = trial_requests.Granted()
    is_recorded: bool = False


@dataclasses.dataclass
class Engine:
    """An engine, over all its starts."""

    number: int
    starts: int = 0
    back_s: float = 0.0
    running: list[Prompt] = dataclasses.field(default_factory=list)

    @property
    def id(self) -> str:
        return f"e{self.number}-{self.starts}"


class Simulation:
    """Engines and instances, driven step by step from a seed."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = clocks.ManualClock()
        self.instances = []
        for _ in range(INSTANCES):
            first = self.instances[0] if self.instances else None
            self.instances.append(Instance(self.clock, first))
        self.engines = [Engine(number) for number in range(ENGINES)]
        self.pending = []
        self.ended_s = []
        self.arrived_s = []
        # Time, parts and whether it was sent, of prompts that crash nothing.
        self.sound = []
        self.next_heartbeat_s = self.clock()

    def send(self, parts):
        """Send a prompt at any instance to any engine that runs."""
        instance = self.random.choice(self.instances)
        up = [one for one in self.engines if one.back_s <= self.clock()]
        suspects = instance.losses.suspects(parts)
        is_sent = bool(up)
        granted = trial_requests.Granted()
        if up and suspects:
            lost_s = {
                part: instance.losses.last_lost_s(part) for part in suspects
            }
            granted = instance.trials.begin(lost_s)
            is_sent = isinstance(granted, trial_requests.Granted)
            if not is_sent:
                instance.losses.record_refusal(suspects)
        if CRASHING not in parts:
            self.sound.append((self.clock(), parts, is_sent))
        if not is_sent:
            return
        if CRASHING in parts:
            self.arrived_s.append(self.clock())
        begins_s = self.clock() + self.random.uniform(*BEGIN_S)
        prompt = Prompt(instance, parts, begins_s, granted)
        self.random.choice(up).running.append(prompt)

    def end(self, engine):
        """Let an engine end, with all that it runs."""
        for prompt in engine.running:
            if not prompt.is_recorded:
                blamed = prompt.instance.losses.blamed(prompt.parts)
                due_s = self.clock() + COUNTED_S
                lost = (due_s, prompt.instance, blamed, engine.id)
                self.pending.append((*lost, self.clock()))
            if prompt.trial.keys and not prompt.is_recorded:
                prompt.instance.trials.end(
                    prompt.trial, messages.TrialEnd.LOST
                )
        engine.running = []
        engine.back_s = self.clock() + DOWN_S
        engine.starts += 1
        self.ended_s.append(self.clock())

    def run_engine(self, engine):
        """Let an engine go on with its prompts."""
        now_s = self.clock()
        for prompt in list(engine.running):
            if prompt.begins_s > now_s:
                continue
            if CRASHING in prompt.parts:
                self.end(engine)
                return
            age_s = now_s - prompt.begins_s
            if age_s >= crash_checks.SETTLE_S and not prompt.is_recorded:
                prompt.is_recorded = True
                prompt.instance.losses.record_answer(
                    prompt.parts, prompt.begins_s
                )
                if prompt.trial.keys:
                    prompt.instance.trials.end(
                        prompt.trial, messages.TrialEnd.ANSWERED
                    )
            if age_s >= ANSWER_S:
                engine.running.remove(prompt)

    def step(self):
        """Let a short time pass."""
        self.clock.now_s += STEP_S
        for engine in self.engines:
            self.run_engine(engine)
        due = [one for one in self.pending if one[0] <= self.clock()]
        for row in due:
            self.pending.remove(row)
            _due_s, instance, blamed, endpoint, at_s = row
            for part in blamed:
                instance.losses.record_loss(part, endpoint, at_s)
        if self.clock() >= self.next_heartbeat_s:
            self.next_heartbeat_s += HEARTBEAT_S
            self.exchange()

    def exchange(self):
        """Let all instances tell each other what they know."""
        for number, sender in enumerate(self.instances):
            sender.losses.forget_expired()
            told = sender.losses.provide()
            clearings = sender.losses.provide_clearings()
            trials = sender.ledger.provide()
            for receiver in self.instances:
                if receiver is not sender:
                    receiver.losses.consume(str(number), told)
                    receiver.losses.consume_clearings(str(number), clearings)
                    receiver.ledger.consume(str(number), trials)

    def run(self, seconds, crash_every_s=0.0, companion=0.0, sound_per_s=30):
        """Send sound prompts, and crashing ones if a pause is given."""
        ends_s = self.clock() + seconds
        next_crash_s = self.clock()
        while self.clock() < ends_s:
            if self.random.random() < sound_per_s * STEP_S / 2:
                self.send(self.sound_parts(companion))
                self.send(self.sound_parts(companion))
            if crash_every_s and self.clock() >= next_crash_s:
                next_crash_s += crash_every_s
                parts = (FIRST, COMPANION, CRASHING)
                self.send(parts if companion else (FIRST, CRASHING))
            self.step()

    def sound_parts(self, companion):
        """Return the parts of a prompt that crashes nothing."""
        if self.random.random() < companion:
            return (FIRST, COMPANION)
        return (FIRST, b"subject-%d" % self.random.randrange(SUBJECTS))

    def late(self):
        """Return how often the crashing part arrived after the bound."""
        bound_s = self.ended_s[:CRASHES][-1] + SETTLE_S
        return sum(at_s > bound_s for at_s in self.arrived_s)

    def share(self, from_s, part=FIRST):
        """Return which share of the sound prompts with a part was sent."""
        sent = [
            is_sent
            for at_s, parts, is_sent in self.sound
            if at_s >= from_s and part in parts
        ]
        return sum(sent) / len(sent)
