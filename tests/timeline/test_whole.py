from __future__ import annotations

import pytest

from briarseam import tokens
from briarseam.command import http
from briarseam.testing import caller
from briarseam.testing import deployment
from briarseam.testing import waiting
from briarseam.testing import words
from briarseam.timeline import messages


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("deployment")
    shape = deployment.Shape(instances=2)
    with deployment.Deployment(folder, shape) as started:
        yield started


def look(running, instance=0, **fields):
    token = tokens.operator_token(
        deployment.TEAM, deployment.TEAM_KEY.encode()
    )
    asker = http.Asker(running.instances[instance].address, token)
    return asker.get("/v1/timeline", messages.Events, fields)


def kinds_of(found):
    return [event.kind for event in found.events]


def test_a_request_is_told_from_accept_to_end(running):
    # A caller quotes the X-Request-Id of its answer; an operator asks at
    # the other instance and sees entry and agent of the first, in order.
    answer = running.caller(instance=0).ask(
        deployment.prompt_body(words.prompt(1200, "told"))
    )
    assert answer.done
    name = answer.headers["X-Request-Id"]
    waiting.until(
        lambda: "settled" in kinds_of(look(running, 1, request=name))
    )
    found = look(running, 1, request=name)
    kinds = kinds_of(found)
    assert kinds[:3] == ["accepted", "admitting", "granted"]
    assert sorted(kinds[3:]) == ["ended", "first-token", "settled"]
    assert kinds.index("ended") < kinds.index("settled")
    assert {event.process.split("/")[0] for event in found.events} == {
        "agent",
        "entry",
    }
    assert len(found.sources) == 4
    assert not [source for source in found.sources if source.error]


def test_a_request_is_found_by_its_answer_id(running):
    # The caller saved only the answer id that its stream began with.
    answer = running.caller().ask(deployment.prompt_body("by answer"))
    found = look(running, request=answer.answer_id)
    assert kinds_of(found)[0] == "accepted"
    assert found.events[0].request == answer.headers["X-Request-Id"]


def test_a_refused_request_is_found_by_its_name(running):
    # A caller was refused and asks why.
    answer = running.caller().ask(deployment.prompt_body("x", model="none"))
    assert answer.status == 404
    found = look(running, request=answer.headers["X-Request-Id"])
    assert kinds_of(found) == ["accepted", "admitting", "refused"]
    assert found.events[-1].fields["reason"] == "unknown-model"


def test_no_word_of_a_prompt_or_answer_is_there(running):
    # The time line is read by operators of all teams.
    prompt = "fridge at nine degrees by Hansen"
    answer = running.caller().ask(deployment.prompt_body(prompt))
    shown = str(look(running).events)
    for word in (*prompt.split(), *answer.tokens, running.caller().token):
        assert f"'{word}'" not in shown


def test_only_operators_may_look(running):
    # An organisation's own token opens no view on the others.
    asker = http.Asker(running.instances[0].address, running.caller().token)
    with pytest.raises(http.AskError, match="401"):
        asker.get("/v1/timeline", messages.Events)


def test_a_limit_that_is_no_number_is_refused(running):
    # A mistyped question gets a clear answer.
    with pytest.raises(http.AskError, match="400"):
        look(running, limit="many")


def test_a_booking_shows_its_claim_under_the_same_request(running):
    # A skipper's booking carries a key.  Asked for by that key, the whole
    # request shows, with the claim that let it run once.
    key = caller.new_key()
    result = running.caller().call(
        deployment.SERVICE, deployment.CALL, {"vessel": 7}, key
    )
    assert result.status == 200
    waiting.until(
        lambda: "claim-ended" in kinds_of(look(running, request=key))
    )
    found = look(running, request=key)
    kinds = kinds_of(found)
    assert kinds[:4] == ["accepted", "admitting", "claimed", "granted"]
    assert {event.request for event in found.events} == {
        found.events[0].request
    }
    assert found.events[2].fields["result"] == "won"
