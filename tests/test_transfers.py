"""What the log and the metrics tell of the transfer of an answer."""

from __future__ import annotations

import http.client

import pytest
import urllib3
import urllib3.exceptions

from briarseam import transfers

Framing = transfers.Framing
End = transfers.End


def caused_by(cause):
    """Return an error of urllib3 with a cause."""
    error = urllib3.exceptions.ProtocolError("Connection broken")
    error.__cause__ = cause
    return error


@pytest.mark.parametrize(
    ("error", "end"),
    [
        pytest.param(
            caused_by(http.client.IncompleteRead(b"", 5)),
            End.CLOSED,
            id="short-body",
        ),
        pytest.param(
            http.client.RemoteDisconnected(), End.CLOSED, id="no-head"
        ),
        pytest.param(caused_by(ConnectionResetError()), End.RESET, id="reset"),
        pytest.param(
            http.client.BadStatusLine("x"), End.ERROR, id="malformed"
        ),
    ],
)
def test_errors_tell_how_a_transfer_ended(error, end):
    assert transfers.end_of(error) is end


@pytest.mark.parametrize(
    ("headers", "status", "framing"),
    [
        ({"Content-Length": "5"}, 200, Framing.LENGTH),
        ({"Transfer-Encoding": "chunked"}, 200, Framing.CHUNKED),
        ({}, 200, Framing.CONNECTION),
        ({"Content-Length": "five"}, 200, Framing.CONNECTION),
        ({}, 204, Framing.LENGTH),
    ],
)
def test_framing_follows_from_the_head(headers, status, framing):
    response = urllib3.HTTPResponse(b"", headers, status, request_method="GET")
    assert transfers.framing_of(response) is framing


def test_answer_to_head_has_no_body():
    response = urllib3.HTTPResponse(b"", {}, 200, request_method="HEAD")
    assert transfers.framing_of(response) is Framing.LENGTH


@pytest.mark.parametrize(
    ("transfer", "text"),
    [
        (transfers.Transfer(), ""),
        (transfers.Transfer(Framing.LENGTH), "framing=length"),
        (
            transfers.Transfer(Framing.CONNECTION, End.CLOSED, 17),
            "framing=connection end=closed remainder=17B",
        ),
    ],
)
def test_log_names_framing_end_and_remainder(transfer, text):
    assert str(transfer) == text
