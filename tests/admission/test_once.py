from __future__ import annotations

import socket
import typing

import pytest

from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting

COME_BACK = ("not-current", "in-progress", "log-unavailable")
SUBMISSION = {"kitchen": "Havnens"}


@pytest.fixture(scope="module")
def started(tmp_path_factory) -> typing.Iterator[deployment.Deployment]:
    folder = tmp_path_factory.mktemp("once")
    shape = deployment.Shape(instances=2, services=2)
    with deployment.Deployment(folder, shape) as running:
        yield running


@pytest.fixture
def running(started) -> typing.Iterator[deployment.Deployment]:
    yield started
    for service in started.services.values():
        service.set(status=0, close_before=0, close_after=0, service_s=0)
    started.log.set(outage=False)


def submit(running, key, body=SUBMISSION, instance=0, organisation="north"):
    """Submit, and again while told that nothing ran yet."""

    def attempt() -> caller.CallResult | None:
        result = running.caller(organisation, instance).call(
            deployment.SERVICE, deployment.CALL, {**body, "key": key}, key
        )
        again = result.body.get("reason") in COME_BACK
        return None if again else result

    return waiting.until(attempt)


def runs(running, key) -> int:
    return sum(
        service.runs.get(key, 0) for service in running.services.values()
    )


@pytest.mark.parametrize("other", [0, 1], ids=["same entry", "other entry"])
def test_submission_sent_again_is_replayed(running, other):
    """A caller loses the answer to a submission and sends it again."""
    key = caller.new_key()
    first = submit(running, key)
    again = submit(running, key, instance=other)
    assert first.status == 200
    assert again == caller.CallResult(200, first.body, again.headers)
    assert "Idempotent-Replayed" not in first.headers
    assert again.headers["Idempotent-Replayed"] == "true"
    assert runs(running, key) == 1


def test_keys_of_two_organisations_do_not_meet(running):
    key = caller.new_key()
    submit(running, key, organisation="north")
    submit(running, key, organisation="south")
    assert runs(running, key) == 2


@pytest.mark.parametrize(
    ("key", "status"),
    [("", 400), ("renewal-7", 400), (caller.new_key(0.0), 422)],
    ids=["none", "not a UUIDv7", "older than the window"],
)
def test_key_that_cannot_be_taken_is_refused(running, key, status):
    result = submit(running, key)
    assert result.status == status
    assert result.body["ran"] == ("unknown" if status == 422 else "no")
    assert runs(running, key) == 0


def test_key_with_another_body_is_refused(running):
    key = caller.new_key()
    submit(running, key)
    other = submit(running, key, {"kitchen": "Torvets"})
    assert (other.status, other.body["ran"]) == (422, "no")
    assert runs(running, key) == 1


@pytest.mark.parametrize(
    ("switch", "count"),
    [("close_before", 0), ("close_after", 1)],
    ids=["before its effect", "after its effect"],
)
def test_answer_lost_is_unknown_and_never_run_again(running, switch, count):
    """The authority gets a renewal twice.

    The service's connection is cut, with or without its effect; the
    caller sends the submission again to another entry.
    """
    for service in running.services.values():
        service.set(**{switch: 1})
    key = caller.new_key()
    first = submit(running, key)
    again = submit(running, key, instance=1)
    assert first.body["ran"] == "unknown"
    assert again.body["reason"] == "outcome-unknown"
    assert runs(running, key) == count


def test_refusal_of_the_service_leaves_the_key_free(running):
    """A submission can never be filed after the service was overloaded."""
    for service in running.services.values():
        service.set(status=503)
    key = caller.new_key()
    first = submit(running, key)
    for service in running.services.values():
        service.set(status=0)
    assert first.body["ran"] == "no"
    assert submit(running, key).status == 200
    assert runs(running, key) == 1


def test_prompt_that_may_not_repeat_is_replayed(running):
    """A booking made by a prompt is sent again by its caller."""
    key = caller.new_key()
    body = deployment.prompt_body("book the 06:10 transfer", idempotent=False)
    first = running.caller().ask(body, key)
    again = waiting.until(
        lambda: (
            answer
            if (answer := running.caller(instance=1).ask(body, key)).done
            else None
        )
    )
    assert first.done
    assert again.tokens == first.tokens
    started = [dict(engine.book.starts) for engine in running.engines.values()]
    assert sum(len(counts) for counts in started) == 1


def test_log_outage_refuses_at_once_and_frees_the_key(running):
    """The log is away as a submission comes in.

    Nothing is sent.  An earlier try under the key may have run where this
    instance cannot see it, so its caller is told to keep the key.
    """
    key = caller.new_key()
    submit(running, caller.new_key())
    running.log.set(outage=True)
    first = running.caller().call(
        deployment.SERVICE, deployment.CALL, {"key": key}, key
    )
    running.log.set(outage=False)
    assert first.body["ran"] == "unknown"
    assert "same key" in first.body["detail"]
    assert int(first.headers["Retry-After"]) >= 1
    again = waiting.until(
        lambda: (
            result
            if (
                result := running.caller().call(
                    deployment.SERVICE, deployment.CALL, {"key": key}, key
                )
            ).status
            == 200
            else None
        )
    )
    assert again.status == 200
    assert runs(running, key) == 1
    # Each shard's follower backs off by itself; the tests that come after
    # this one start from a system that is whole again.
    waiting.until(lambda: all_shards_follow(running), what="all follow")


def all_shards_follow(running):
    """Tell whether every followed shard reaches the log again."""
    return all(
        shard.follower.available
        for instance in running.instances
        for shard in instance.agent.claims.followed.all()
    )


def is_run(result: caller.CallResult) -> bool:
    """Tell whether a call ran; fail if nobody can tell."""
    assert result.status == 200 or result.body["ran"] == "no"
    return result.status == 200


def is_refused(address: str) -> bool:
    """Tell whether connections are refused.

    A service that stops may still take a connection and then close it:
    whether it ran the call nobody knows, and the call is not passed on.
    """
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 1.0).close()
    except ConnectionRefusedError:
        return True
    return False


def test_endpoint_that_cannot_be_reached_is_passed_over(running):
    """One of two services is down; its submissions go to the other.

    Passing one over takes from the organisation's retry budget; a caller
    beyond it is told "not run" and when to come back.
    """
    gone = running.services["service-0"]
    gone.stop()
    waiting.until(lambda: is_refused(gone.address))
    for _ in range(4):
        key = caller.new_key()
        waiting.until(lambda key=key: is_run(submit(running, key)))
        assert runs(running, key) == 1
