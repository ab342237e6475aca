from __future__ import annotations

import pytest

from briarseam.admission import answer_id

KEY = b"k" * 32


def sealed(number, organisation="north"):
    identity = answer_id.AnswerId(
        organisation, "engine", f"run-{number}", "draft", "v1"
    )
    return answer_id.seal(identity, KEY)


def test_id_does_not_look_like_an_option():
    """Without the prefix, one id in 64 begins with a dash, and a command
    line takes it for an option.
    """
    assert not any(sealed(n).startswith("-") for n in range(500))


def test_unsealed_id_has_the_sealed_content():
    """Any entry can resume an answer from its id alone."""
    answer = answer_id.unseal(sealed(7), KEY)
    assert (answer.organisation, answer.run_id) == ("north", "run-7")


@pytest.mark.parametrize(
    "forge",
    [
        pytest.param(lambda token: token[:-4] + "AAAA", id="changed"),
        pytest.param(lambda token: token[1:], id="cut"),
        pytest.param(lambda token: "", id="empty"),
        pytest.param(lambda token: "a" + "!" * 40, id="no-base64"),
        pytest.param(lambda token: token + "é", id="no-ascii"),
    ],
)
def test_a_forged_id_is_refused(forge):
    """A changed id could name an answer of another organisation."""
    with pytest.raises(answer_id.AnswerIdError):
        answer_id.unseal(forge(sealed(7)), KEY)


def test_an_id_of_another_key_is_refused():
    """Ids of another deployment are sealed under another key."""
    with pytest.raises(answer_id.AnswerIdError):
        answer_id.unseal(sealed(7), b"x" * 32)
