from __future__ import annotations

import threading

from tests.timeline import conftest

from briarseam.testing import waiting
from briarseam.timeline import event as events
from briarseam.timeline import feed as feeds
from briarseam.timeline import messages
from briarseam.timeline import peers
from briarseam.timeline import service
from briarseam.wire import connection as connections

EVERYWHERE = messages.FetchEvents(scope=messages.Scope.EVERYWHERE)


def ask(agent, fetch=EVERYWHERE):
    client = agent.client("operator")
    try:
        reply = client.call(fetch, 10.0)
    finally:
        client.close()
    assert isinstance(reply, messages.Events)
    return reply


def wait_for_feeds(agent, count):
    waiting.until(
        lambda: (
            len(agent.feeds.feeds) == count
            and all(feed.waiter for feed in agent.feeds.feeds.values())
        )
    )


def errors_of(reply):
    return {
        source.process: source.error
        for source in reply.sources
        if source.error
    }


def peers_of(agent, addresses):
    me = connections.Identity("agent", "asker")
    return peers.Peers(me, conftest.KEY, lambda: addresses).others()


def test_events_of_entries_agent_and_peers_come_in_one_order(
    make_agent, make_feed
):
    # A request passes an entry, its agent and another agent.  The operator
    # asks anywhere and sees one story.
    second = make_agent("a2")
    addresses = {"a2": second.server.address}
    first = make_agent("a1", peers_of("a1", addresses))
    entry = make_feed(first, "entry/a1")
    wait_for_feeds(first, 1)
    entry.ring.note("accepted", request="r1")
    first.clock.observe(entry.ring.clock.now())
    first.ring.note("granted", request="r1")
    second.clock.observe(first.clock.now())
    second.ring.note("imported", request="r1")
    second.ring.note("member")
    wanted = events.Filter(request="r1")
    reply = ask(
        first,
        messages.FetchEvents(wanted, messages.Scope.EVERYWHERE),
    )
    assert [(event.process, event.kind) for event in reply.events] == [
        ("entry/a1", "accepted"),
        ("agent/a1", "granted"),
        ("agent/a2", "imported"),
    ]
    processes = [source.process for source in reply.sources]
    assert processes == ["agent/a1", "agent/a2", "entry/a1"]
    assert errors_of(reply) == {}


def test_request_is_found_by_its_run_with_all_its_events(make_agent):
    # The operator has the run's name from an engine's log.  The accept
    # stands under the request's own id only.
    agent = make_agent()
    agent.ring.note("accepted", request="r1")
    agent.ring.note("granted", request="r1", run="run7")
    agent.ring.note("granted", request="r2", run="run8")
    agent.ring.note("ended", request="r1", run="run7")
    wanted = events.Filter(request="run7")
    reply = ask(agent, messages.FetchEvents(wanted, messages.Scope.EVERYWHERE))
    kinds = [event.kind for event in reply.events]
    assert kinds == ["accepted", "granted", "ended"]


def test_peer_that_is_away_is_named(make_agent, silent_address):
    # One agent is dead and one frozen.  Their absence must not look like
    # a quiet time, and the others' events must come all the same.
    addresses = {"dead": "127.0.0.1:1", "frozen": silent_address}
    agent = make_agent("a1", peers_of("a1", addresses))
    agent.ring.note("member")
    reply = ask(agent)
    assert [event.kind for event in reply.events] == ["member"]
    assert sorted(errors_of(reply)) == ["dead", "frozen"]


def test_entry_that_hangs_is_named(make_agent, make_feed):
    # One entry process of two waits at its agent but does not answer.
    agent = make_agent()
    good = make_feed(agent, "entry/good")
    good.ring.note("accepted")
    stuck = threading.Event()
    bad = make_feed(agent, "entry/stuck")
    select = bad.ring.selected
    bad.ring.selected = lambda wanted: stuck.wait(10) and select(wanted)
    wait_for_feeds(agent, 2)
    reply = ask(agent)
    stuck.set()
    assert [event.kind for event in reply.events] == ["accepted"]
    assert errors_of(reply) == {"entry/stuck": "did not answer"}


def test_entry_answers_question_after_question(make_agent, make_feed):
    # An operator looks again and again while a request runs.
    agent = make_agent()
    entry = make_feed(agent, "entry/a1")
    wait_for_feeds(agent, 1)
    for count in range(1, 4):
        entry.ring.note("accepted", number=count)
        assert len(ask(agent).events) == count


def test_operators_asking_at_once_each_get_all(make_agent, make_feed):
    # Two operators look at two requests at the same moment.  An entry
    # answers one question at a time; neither may get the other's answer.
    agent = make_agent()
    entry = make_feed(agent, "entry/a1")
    wait_for_feeds(agent, 1)
    for name in ("r1", "r2"):
        entry.ring.note("accepted", request=name)
    replies = {}

    def look(name):
        fetch = messages.FetchEvents(
            events.Filter(request=name), messages.Scope.INSTANCE
        )
        replies[name] = ask(agent, fetch)

    threads = [
        threading.Thread(target=look, args=(name,)) for name in ("r1", "r2")
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for name, reply in replies.items():
        assert [event.request for event in reply.events] == [name]


def test_entry_finds_its_agent_again_after_a_restart(
    make_agent, make_feed, monkeypatch
):
    # The agent is replaced under a running entry, whose feed must come
    # back by itself.
    monkeypatch.setattr(feeds, "RETRY_S", 0.05)
    agent = make_agent()
    entry = make_feed(agent, "entry/a1")
    wait_for_feeds(agent, 1)
    agent.server.stop()
    successor = make_agent("a1")
    entry.dial = lambda: successor.dial("entry/a1")
    wait_for_feeds(successor, 1)
    entry.ring.note("accepted")
    assert [event.kind for event in ask(successor).events] == ["accepted"]


def test_call_left_over_by_a_broken_connection_takes_no_question():
    # The entry's first waiting call broke, its second waits.  Given to the
    # first, the question would never be answered.
    feed = feeds.EntryFeeds()
    replies = []

    def wait():
        waiting_for = feeds.AwaitFetch("e", 10.0)
        replies.append(feed.on_await(None, waiting_for))

    threads = [threading.Thread(target=wait) for _ in range(2)]
    for thread in threads:
        thread.start()
    waiting.until(lambda: len(replies) == 1)
    assert replies[0].ticket == 0
    asker = threading.Thread(
        target=feed.collect, args=(messages.FetchEvents(), 5.0)
    )
    asker.start()
    waiting.until(lambda: len(replies) == 2)
    assert replies[1].ticket > 0
    handed = messages.Events((), ())
    feed.on_hand_over(None, feeds.HandOver("e", replies[1].ticket, handed))
    for thread in (asker, *threads):
        thread.join()


def test_ended_entries_are_forgotten():
    # Entry processes are replaced all day; the agent must not wait for
    # those of last week at each question, nor keep them in memory.
    now = [0.0]
    feed = feeds.EntryFeeds(forget_after_s=50.0, clock=lambda: now[0])
    feed.on_await(None, feeds.AwaitFetch("gone", 0.0))
    now[0] = 51.0
    feed.on_await(None, feeds.AwaitFetch("here", 0.0))
    feed.collect(messages.FetchEvents(), 0.0)
    assert list(feed.feeds) == ["here"]


def test_limit_holds_over_all_processes(make_agent):
    # A small screen asks for the newest few.
    second = make_agent("a2")
    addresses = {"a2": second.server.address}
    first = make_agent("a1", peers_of("a1", addresses))
    for number in range(10):
        first.ring.note("tick", number=number)
        second.ring.note("tock", number=number)
    fetch = messages.FetchEvents(scope=messages.Scope.EVERYWHERE, limit=5)
    reply = ask(first, fetch)
    assert len(reply.events) == 5
    assert reply.cut == 15


def test_service_takes_no_negative_limit(make_agent):
    # A caller's mistake must not empty the answer.
    agent = make_agent()
    agent.ring.note("member")
    fetch = messages.FetchEvents(scope=messages.Scope.PROCESS, limit=-1)
    assert len(ask(agent, fetch).events) == 1


def test_agents_that_take_too_long_do_not_hold_the_answer(
    make_agent, monkeypatch
):
    # Half of all agents are cut off, and asking them takes its turn after
    # turn.  The operator must get the rest now, and their names.
    monkeypatch.setattr(service, "OTHERS_TIMEOUT_S", 0.1)
    release = threading.Event()

    def slow(name, fetch):
        release.wait(10)
        raise service.AskPeerError("came too late")

    agent = make_agent("a1", service.Others(lambda: ["slow"], slow))
    agent.ring.note("member")
    reply = ask(agent)
    release.set()
    assert errors_of(reply) == {"slow": "did not answer"}
    assert len(reply.events) == 1


def test_second_question_waits_for_the_first():
    # Two operators ask before the entry has come for either question.  Had
    # the second taken the first one's place, the first operator would be
    # told that the entry did not answer.
    feed = feeds.EntryFeeds()
    feed.on_await(None, feeds.AwaitFetch("e", 0.0))
    replies = []

    def collect():
        replies.extend(feed.collect(messages.FetchEvents(), 5.0))

    askers = [threading.Thread(target=collect) for _ in range(2)]
    for asker in askers:
        asker.start()
    waiting.until(lambda: feed.last_ticket == 2 or feed.collecting.locked())
    for _ in askers:
        wanted = feed.on_await(None, feeds.AwaitFetch("e", 2.0))
        source = messages.Source("e", oldest=wanted.ticket)
        handed = messages.Events((), (source,))
        feed.on_hand_over(None, feeds.HandOver("e", wanted.ticket, handed))
    for asker in askers:
        asker.join()
    assert sorted(reply.sources[0].oldest for reply in replies) == [1, 2]
