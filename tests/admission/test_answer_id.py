from __future__ import annotations

import pytest

from briarseam.admission import answer_id

KEY = b"k" * 32


def sealed(number, organisation="north"):
    names = answer_id.AnswerId(
        organisation, "engine", f"run-{number}", "draft", "v1"
    )
    return answer_id.seal(names, KEY)


def test_an_id_can_be_given_to_a_command():
    """An operator pastes a caller's answer id after ``--request``.  One id
    in 64 began with a dash and was taken for an option.
    """
    assert not any(sealed(n).startswith("-") for n in range(500))


def test_an_id_says_what_was_sealed():
    """Any entry resumes an answer from its id alone."""
    found = answer_id.unseal(sealed(7), KEY)
    assert (found.organisation, found.run_id) == ("north", "run-7")


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
    """A caller changes an id to reach another organisation's answer."""
    with pytest.raises(answer_id.AnswerIdError):
        answer_id.unseal(forge(sealed(7)), KEY)


def test_an_id_of_another_key_is_refused():
    """An id comes from another deployment."""
    with pytest.raises(answer_id.AnswerIdError):
        answer_id.unseal(sealed(7), b"x" * 32)
