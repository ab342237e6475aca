from __future__ import annotations

import socket
import typing

import pytest

from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting

RETRYABLE = ("not-current", "in-progress", "log-unavailable")
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
    """Submit a call, and retry while the refusal is temporary."""

    def attempt() -> caller.CallResult | None:
        result = running.caller(organisation, instance).call(
            deployment.SERVICE, deployment.CALL, {**body, "key": key}, key
        )
        again = result.body.get("reason") in RETRYABLE
        return None if again else result

    return waiting.until(attempt)


def run_count(running, key) -> int:
    return sum(
        service.runs.get(key, 0) for service in running.services.values()
    )


@pytest.mark.parametrize("other", [0, 1], ids=["same entry", "other entry"])
def test_submission_sent_again_is_replayed(running, other):
    """A caller that lost the answer to a submission sends it again."""
    key = caller.new_key()
    first = submit(running, key)
    again = submit(running, key, instance=other)
    assert first.status == 200
    assert again == caller.CallResult(200, first.body, again.headers)
    assert "Idempotent-Replayed" not in first.headers
    assert again.headers["Idempotent-Replayed"] == "true"
    assert run_count(running, key) == 1


def test_keys_of_two_organisations_are_independent(running):
    key = caller.new_key()
    submit(running, key, organisation="north")
    submit(running, key, organisation="south")
    assert run_count(running, key) == 2


@pytest.mark.parametrize(
    ("key", "status"),
    [("", 400), ("renewal-7", 400), (caller.new_key(0.0), 422)],
    ids=["none", "not a UUIDv7", "older than the window"],
)
def test_invalid_or_expired_key_is_refused(running, key, status):
    result = submit(running, key)
    assert result.status == status
    assert result.body["ran"] == ("unknown" if status == 422 else "no")
    assert run_count(running, key) == 0


def test_key_with_another_body_is_refused(running):
    key = caller.new_key()
    submit(running, key)
    other = submit(running, key, {"kitchen": "Torvets"})
    assert (other.status, other.body["ran"]) == (422, "no")
    assert run_count(running, key) == 1


@pytest.mark.parametrize(
    ("switch", "count"),
    [("close_before", 0), ("close_after", 1)],
    ids=["before its effect", "after its effect"],
)
def test_lost_answer_is_unknown_and_not_run_again(running, switch, count):
    """Guards against a submission that runs twice.

    The service's connection is cut before or after the call takes effect,
    and the caller sends the submission again to another entry.
    """
    for service in running.services.values():
        service.set(**{switch: 1})
    key = caller.new_key()
    first = submit(running, key)
    again = submit(running, key, instance=1)
    assert first.body["ran"] == "unknown"
    assert again.body["reason"] == "outcome-unknown"
    assert run_count(running, key) == count


def test_refusal_by_the_service_releases_the_key(running):
    """Otherwise a submission that an overloaded service refused could never
    be sent again.
    """
    for service in running.services.values():
        service.set(status=503)
    key = caller.new_key()
    first = submit(running, key)
    for service in running.services.values():
        service.set(status=0)
    assert first.body["ran"] == "no"
    assert submit(running, key).status == 200
    assert run_count(running, key) == 1


def test_non_idempotent_prompt_is_replayed(running):
    """A caller sends a prompt with side effects again."""
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


def test_log_outage_refuses_at_once_and_releases_the_key(running):
    """A submission arrives while the log is unavailable.

    Nothing is sent.  An earlier try under the key may have run without this
    instance's knowledge, so the caller is told to send the same key again.
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
    assert run_count(running, key) == 1
    # Each shard's follower backs off separately; the following tests need
    # all of them to have recovered.
    waiting.until(lambda: all_shards_follow(running), what="all follow")


def all_shards_follow(running):
    """Return whether the follower of every shard reaches the log."""
    return all(
        shard.follower.available
        for instance in running.instances
        for shard in instance.agent.claims.followed.all()
    )


def has_run(result: caller.CallResult) -> bool:
    """Return whether a call ran; fail if that is unknown."""
    assert result.status == 200 or result.body["ran"] == "no"
    return result.status == 200


def is_refused(address: str) -> bool:
    """Return whether connections are refused.

    A stopping service may still accept a connection and then close it.
    Whether it ran the call is unknown then, and the call is not retried.
    """
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), 1.0).close()
    except ConnectionRefusedError:
        return True
    return False


def test_unreachable_endpoint_is_skipped(running):
    """One of two services is down, and its submissions go to the other.

    Each of these retries is charged to the organisation's retry budget; once
    that is spent, callers get "not run" and a retry time.
    """
    stopped = running.services["service-0"]
    stopped.stop()
    waiting.until(lambda: is_refused(stopped.address))
    for _ in range(4):
        key = caller.new_key()
        waiting.until(lambda key=key: has_run(submit(running, key)))
        assert run_count(running, key) == 1
