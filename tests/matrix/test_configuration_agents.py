"""A change on its way to real agents, each fault at one of them."""

from __future__ import annotations

import pytest
from tests.matrix import processes

from briarseam import settings
from briarseam.backing import log as logs
from briarseam.configuration import loading
from briarseam.configuration import messages
from briarseam.configuration import peers
from briarseam.configuration import plans
from briarseam.configuration import publish
from briarseam.configuration import snapshots
from briarseam.configuration import teams
from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.wire import client as clients
from briarseam.wire import connection as connections

IN_FORCE_WITHIN_S = 6.0
NOBODY = "127.0.0.1:1"
# Longer than an agent that is not cut off goes without proof.
CUT_OFF_FOR_MS = 4500
PATH = f"models/{deployment.MODEL}"
KEY = deployment.SHARED_KEY.encode()
NUMBERS = (0, 1, 2)


class Operator:
    """Publishes changes and asks each agent for its offset."""

    def __init__(self, cluster):
        self.cluster = cluster
        path = cluster.machines[0].agent.settings
        self.teams = teams.from_settings(settings.load(path).teams)
        self.client = logs.LogClient(cluster.log.address)
        self.wire = [
            clients.Client(
                machine.from_entry.target,
                connections.Identity("agent", "operator"),
                KEY,
            )
            for machine in cluster.machines
        ]

    def publish(self):
        """Publish one change; return its offset."""
        key = snapshots.derive_key(KEY)
        fold = loading.load(self.client, self.teams, key)
        value = fold.entries[PATH].value
        changed = value | {"max_tokens": 4000 + fold.offset}
        step = plans.plan_step(fold, PATH, changed, None)
        plan = plans.Plan(deployment.TEAM, fold.offset, (step,), (), 0)
        outcome = publish.Publisher(self.client, self.teams, fold).apply(
            plan.change("test")
        )
        return outcome.offset

    def offset(self, number):
        """Return an agent's offset, -1 while it does not answer."""
        request = messages.FetchRecords(peers.ABOVE_ANY_OFFSET)
        try:
            return self.wire[number].call(request, 1.0).offset
        except connections.WireError:
            return -1

    def proof_age_ms(self, number):
        """Return for how long an agent has not seen the log's end."""
        request = messages.FetchRecords(peers.ABOVE_ANY_OFFSET)
        return self.wire[number].call(request, 1.0).proof_age_ms

    def wait(self, offset, numbers=NUMBERS):
        """Wait until these agents have an offset in force."""
        waiting.until(
            lambda: all(self.offset(one) >= offset for one in numbers),
            IN_FORCE_WITHIN_S,
            f"offset {offset} at {numbers}",
        )


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    folder = tmp_path_factory.mktemp("configuration-agents")
    with processes.Cluster(folder, instances=3) as started:
        yield started


@pytest.fixture
def operator(cluster):
    yield Operator(cluster)
    for machine in cluster.machines:
        machine.to_log.target = cluster.log.address
        machine.from_peers.target = machine.from_entry.target
    cluster.heal()


def cut(link):
    """Cut a link for good."""
    link.target = NOBODY
    for one in list(link.links):
        one.close()


def prompt(cluster, number):
    """Send a prompt to an instance; return its refusal, empty for none."""
    asker = caller.Caller(
        cluster.machines[number].entry_address,
        deployment.token_of(deployment.ORGANISATIONS[0]),
    )
    return asker.ask(deployment.prompt_body("a few words")).problem or {}


def strike(machine, fault):
    """Carry out one fault at one agent."""
    match fault:
        case "kill":
            machine.agent.kill()
        case "freeze":
            machine.agent.freeze()
        case "log-cut":
            cut(machine.to_log)
        case "peers-cut":
            cut(machine.from_peers)


def number_of(role):
    """Return an instance that reads the log, or one that does not."""
    names = peers.ranked(f"instance-{number}" for number in NUMBERS)
    return int(names[0 if role == "reads-the-log" else -1][-1])


@pytest.mark.parametrize("fault", ["kill", "freeze", "log-cut", "peers-cut"])
@pytest.mark.parametrize("role", ["reads-the-log", "listens"])
def test_a_change_is_in_force_at_all_others_within_seconds(
    cluster, operator, role, fault
):
    # One agent fails just before a change is accepted.  The others must
    # have it within seconds, whichever of them the failed one served; it
    # itself follows once it is mended, and never shows an older offset.
    struck = number_of(role)
    before = operator.publish()
    operator.wait(before)
    strike(cluster.machines[struck], fault)
    offset = operator.publish()
    others = [number for number in NUMBERS if number != struck]
    operator.wait(offset, others)
    if fault.endswith("cut"):
        operator.wait(offset, [struck])
    cluster.machines[struck].agent.thaw()
    if fault != "kill":
        assert operator.offset(struck) >= before
    cluster.machines[struck].agent.revive()
    operator.wait(offset)


def test_an_instance_replaced_while_the_log_is_down_has_what_was_in_force(
    cluster, operator
):
    # The log is down when an instance is lost.  Its successor must serve
    # under the configuration in force, from its peers.
    offset = operator.publish()
    operator.wait(offset)
    cluster.log.set(outage=True)
    agent = cluster.machines[1].agent
    agent.kill()
    agent.start()
    operator.wait(offset)


def test_nobody_takes_work_after_a_whole_restart_without_the_log(
    cluster, operator
):
    # Every agent is lost while the log is down.  An agent that took the
    # empty tree for the configuration would tell each caller that it is
    # unknown; they must be told to come back.
    offset = operator.publish()
    operator.wait(offset)
    cluster.log.set(outage=True)
    for machine in cluster.machines:
        machine.agent.kill()
    for machine in cluster.machines:
        machine.agent.start()
    refused = prompt(cluster, 0)
    assert (refused["ran"], refused["reason"]) == ("no", "not-current")
    assert [operator.offset(number) for number in NUMBERS] == [0, 0, 0]
    cluster.log.set(outage=False)
    operator.wait(offset)


def test_an_agent_cut_off_from_all_refuses_new_work_and_then_catches_up(
    cluster, operator
):
    # One agent hears neither the log nor any peer, while its entry and its
    # callers still reach it.  Past the limit it must refuse as not run,
    # since it may miss that an endpoint or an organisation is gone.
    lonely = cluster.machines[2]
    links = [machine.from_peers for machine in cluster.machines]
    links.append(lonely.to_log)

    def is_cut_off():
        for link in links:
            cut(link)
        return operator.proof_age_ms(2) > CUT_OFF_FOR_MS

    # A connection that was being made at the first cut outlives it.
    waiting.until(is_cut_off, what="agent 2 to be cut off")
    offset = operator.publish()
    operator.wait(offset, [0, 1])

    def refusal():
        problem = prompt(cluster, 2)
        return problem.get("reason") == "not-current" and problem

    assert waiting.until(refusal, 15, "a refusal")["ran"] == "no"
    assert operator.offset(2) < offset
    lonely.to_log.target = cluster.log.address
    operator.wait(offset)
