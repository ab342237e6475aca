from __future__ import annotations

import pytest

from briarseam import settings


def test_values_are_converted_from_their_units_and_defaults_apply(
    write, valid
):
    loaded = settings.load(write(valid))
    assert loaded.instance.cell == "cph-hall-a"
    assert loaded.instance.entry_addresses[1] == settings.Address(
        "127.0.0.1", 8002
    )
    assert loaded.agent.heartbeat_interval_ms == 250
    assert loaded.agent.suspect_after_ms == 3000
    assert loaded.agent.shared_key.value == b"0123456789abcdef"
    assert loaded.entry.max_body_bytes == 65_536
    assert loaded.teams[0].name == "night-desk"
    assert loaded.teams[0].paths == ("models", "organisations/kitchen")


def test_explain_gives_each_source_and_hides_secrets(write, valid):
    path = write(valid)
    override = settings.ValueOverride("entry", "listen", "127.0.0.1:8002")
    loaded = settings.load(path, [override])
    explained = {
        (item.section, item.key): (item.value, str(item.source))
        for item in loaded.explain()
    }
    assert explained["agent", "heartbeat_interval_ms"] == (
        "250",
        f"{path}:11",
    )
    assert explained["claims", "batch_ms"] == ("20", "default")
    assert explained["entry", "listen"] == ("127.0.0.1:8002", "command line")
    assert explained["team night-desk", "paths"][1] == f"{path}:25"
    shown = repr(loaded) + repr(explained)
    assert "0123456789abcdef" not in shown
    assert "fedcba9876543210" not in shown


def replace(old: str, new: str):
    return lambda text: text.replace(old, new, 1)


def append(text: str):
    return lambda before: before + text


INVALID = {
    "unknown section": (append("[entyr]\n"), "entyr", "", "one of ["),
    "unknown key": (
        append("[claims]\nbacth_ms = 1\n"),
        "claims",
        "bacth_ms",
        "one of the keys batch_ms",
    ),
    "indented unknown key": (
        append("[claims]\n  bacth_ms = 1\n"),
        "claims",
        "bacth_ms",
        "one of the keys batch_ms",
    ),
    "unknown unit": (
        replace("250ms", "250 fortnights"),
        "agent",
        "heartbeat_interval_ms",
        "one of the units ms, s, m, h",
    ),
    "not a whole number": (
        replace("64KiB", "0.3B"),
        "entry",
        "max_body_bytes",
        "a whole number of bytes",
    ),
    "missing address": (
        replace("log = 127.0.0.1:9001\n", ""),
        "platform",
        "log",
        "IP:port with an IP address and a port from 1 to 65535, got nothing",
    ),
    "missing section": (
        lambda text: text[text.index("[agent]") :],
        "instance",
        "name",
        "a value, got nothing",
    ),
    "host name": (
        replace("127.0.0.1:9001", "localhost:9001"),
        "platform",
        "log",
        "IP:port with an IP address",
    ),
    "invalid IP address": (
        replace("127.0.0.1:9001", "127.0.0.256:9001"),
        "platform",
        "log",
        "IP:port with an IP address",
    ),
    "port out of range": (
        replace("127.0.0.1:9001", "127.0.0.1:70000"),
        "platform",
        "log",
        "port from 1 to 65535",
    ),
    "empty address list": (
        replace("127.0.0.1:8001, 127.0.0.1:8002", ","),
        "instance",
        "entry_addresses",
        "at least one address",
    ),
    "unknown log level": (
        append("[logging]\nlevel = loud\n"),
        "logging",
        "level",
        "got 'loud'",
    ),
    "out of bounds": (
        append("[claims]\nbatch_ms = 0\n"),
        "claims",
        "batch_ms",
        ">= 1",
    ),
    "invalid name": (
        replace("name = cph-1", "name = cph 1"),
        "instance",
        "name",
        "got 'cph 1'",
    ),
    "key too short": (
        replace("fedcba9876543210", "hush"),
        "team night-desk",
        "key",
        "at least 16 bytes",
    ),
    "no shared key": (
        replace("shared_key = 0123456789abcdef\n", ""),
        "agent",
        "shared_key or shared_key_file",
        "exactly one of the two",
    ),
    "missing key file": (
        replace("shared_key = 0123456789abcdef", "shared_key_file = gone"),
        "agent",
        "shared_key_file",
        "a readable file",
    ),
    "answer larger than a log record": (
        append("[claims]\nmax_response_bytes = 1MiB\n"),
        "claims",
        "max_response_bytes",
        "<= 524288",
    ),
    "claims window longer than log retention": (
        append("[claims]\nwindow_s = 24h\n"),
        "claims",
        "window_s",
        "at most [platform] log_retention_s minus 600",
    ),
    "suspect time below heartbeat interval": (
        replace("250ms", "3s"),
        "agent",
        "suspect_after_ms",
        "more than heartbeat_interval_ms",
    ),
    "lease TTL too short": (
        replace("[agent]", "[agent]\nlease_ttl_ms = 10ms"),
        "agent",
        "lease_ttl_ms",
        "between 1000 and 60000",
    ),
    "duplicate section": (
        append("[entry]\n"),
        "entry",
        "",
        "the section only once",
    ),
    "duplicate key": (
        replace("zone =", "name ="),
        "instance",
        "name",
        "the key only once",
    ),
    "key before the first section": (
        replace("[instance]\n", ""),
        "",
        "",
        "a [section] first",
    ),
    "key without a value": (
        replace("zone = ", "zone "),
        "",
        "",
        "key = value",
    ),
    "default section": (append("[DEFAULT]\n"), "DEFAULT", "", "one of ["),
}


@pytest.mark.parametrize(
    ("edit", "section", "key", "expected"),
    INVALID.values(),
    ids=INVALID.keys(),
)
def test_error_gives_file_section_key_and_expected_value(
    write, valid, edit, section, key, expected
):
    path = write(edit(valid))
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(path)
    assert (caught.value.section, caught.value.key) == (section, key)
    message = str(caught.value)
    assert message.startswith(path)
    assert expected in message
    assert "hush" not in message


def test_error_gives_line_of_invalid_value(write, valid):
    path = write(valid.replace("250ms", "soon"))
    with pytest.raises(settings.SettingsError, match=r"cph-1\.ini:11 "):
        settings.load(path)


@pytest.mark.parametrize(
    ("section", "key"),
    [("entyr", "listen"), ("entry", "lisen")],
    ids=["section", "key"],
)
def test_override_of_unknown_section_or_key_is_rejected(
    write, valid, section, key
):
    override = settings.ValueOverride(section, key, "127.0.0.1:8003")
    with pytest.raises(settings.SettingsError, match="expected one of"):
        settings.load(write(valid), [override])


def test_shared_key_file_is_relative_to_settings_file(tmp_path, write, valid):
    (tmp_path / "shared.key").write_text("a key of enough bytes\n")
    text = valid.replace(
        "shared_key = 0123456789abcdef", "shared_key_file = shared.key"
    )
    loaded = settings.load(write(text))
    assert loaded.agent.shared_key.value == b"a key of enough bytes"


def test_unreadable_file_raises_settings_error(tmp_path):
    with pytest.raises(settings.SettingsError, match="a readable file"):
        settings.load(str(tmp_path / "gone.ini"))
