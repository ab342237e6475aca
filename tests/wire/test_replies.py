from __future__ import annotations

import pytest

from briarseam.wire import codec
from briarseam.wire import replies


def test_reply_of_the_expected_type_is_returned():
    reply = codec.Failed("error", "broken")
    assert replies.require_type(reply, codec.Failed) is reply


def test_reply_of_another_type_raises_no_reply():
    with pytest.raises(replies.NoReplyError):
        replies.require_type(codec.Failed("error", "broken"), int)
