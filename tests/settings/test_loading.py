from __future__ import annotations

import pytest

from briarseam import settings


def test_values_come_with_their_units_and_defaults(write, valid):
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


def test_explain_names_each_source_and_hides_keys(write, valid):
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


def change(old: str, new: str):
    return lambda text: text.replace(old, new, 1)


def append(text: str):
    return lambda before: before + text


BAD = {
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
    "bad unit": (
        change("250ms", "250 fortnights"),
        "agent",
        "heartbeat_interval_ms",
        "one of the units ms, s, m, h",
    ),
    "not whole": (
        change("64KiB", "0.3B"),
        "entry",
        "max_body_bytes",
        "a whole number of bytes",
    ),
    "missing address": (
        change("log = 127.0.0.1:9001\n", ""),
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
        change("127.0.0.1:9001", "localhost:9001"),
        "platform",
        "log",
        "IP:port with an IP address",
    ),
    "bad ip": (
        change("127.0.0.1:9001", "127.0.0.256:9001"),
        "platform",
        "log",
        "IP:port with an IP address",
    ),
    "bad port": (
        change("127.0.0.1:9001", "127.0.0.1:70000"),
        "platform",
        "log",
        "port from 1 to 65535",
    ),
    "no addresses": (
        change("127.0.0.1:8001, 127.0.0.1:8002", ","),
        "instance",
        "entry_addresses",
        "at least one address",
    ),
    "bad choice": (
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
    "bad name": (
        change("name = cph-1", "name = cph 1"),
        "instance",
        "name",
        "got 'cph 1'",
    ),
    "short key": (
        change("fedcba9876543210", "hush"),
        "team night-desk",
        "key",
        "at least 16 bytes",
    ),
    "no key": (
        change("shared_key = 0123456789abcdef\n", ""),
        "agent",
        "shared_key or shared_key_file",
        "exactly one of the two",
    ),
    "no key file": (
        change("shared_key = 0123456789abcdef", "shared_key_file = gone"),
        "agent",
        "shared_key_file",
        "a readable file",
    ),
    "answer beyond a record": (
        append("[claims]\nmax_response_bytes = 1MiB\n"),
        "claims",
        "max_response_bytes",
        "<= 524288",
    ),
    "window beyond the retention": (
        append("[claims]\nwindow_s = 24h\n"),
        "claims",
        "window_s",
        "at most [platform] log_retention_s minus 600",
    ),
    "times out of order": (
        change("250ms", "3s"),
        "agent",
        "suspect_after_ms",
        "more than heartbeat_interval_ms",
    ),
    "lease too short": (
        change("[agent]", "[agent]\nlease_ttl_ms = 10ms"),
        "agent",
        "lease_ttl_ms",
        "between 1000 and 60000",
    ),
    "double section": (
        append("[entry]\n"),
        "entry",
        "",
        "the section only once",
    ),
    "double key": (
        change("zone =", "name ="),
        "instance",
        "name",
        "the key only once",
    ),
    "no section": (
        change("[instance]\n", ""),
        "",
        "",
        "a [section] first",
    ),
    "no value": (change("zone = ", "zone "), "", "", "key = value"),
    "default section": (append("[DEFAULT]\n"), "DEFAULT", "", "one of ["),
}


@pytest.mark.parametrize(
    ("spoil", "section", "key", "expected"), BAD.values(), ids=BAD.keys()
)
def test_bad_settings_name_file_section_key_and_expectation(
    write, valid, spoil, section, key, expected
):
    path = write(spoil(valid))
    with pytest.raises(settings.SettingsError) as caught:
        settings.load(path)
    assert (caught.value.section, caught.value.key) == (section, key)
    message = str(caught.value)
    assert message.startswith(path)
    assert expected in message
    assert "hush" not in message


def test_line_of_a_bad_value_is_told(write, valid):
    path = write(valid.replace("250ms", "soon"))
    with pytest.raises(settings.SettingsError, match=r"cph-1\.ini:11 "):
        settings.load(path)


@pytest.mark.parametrize(
    ("section", "key"),
    [("entyr", "listen"), ("entry", "lisen")],
    ids=["section", "key"],
)
def test_override_of_something_unknown_is_refused(write, valid, section, key):
    override = settings.ValueOverride(section, key, "127.0.0.1:8003")
    with pytest.raises(settings.SettingsError, match="expected one of"):
        settings.load(write(valid), [override])


def test_shared_key_is_read_from_the_file_beside(tmp_path, write, valid):
    (tmp_path / "shared.key").write_text("a key of enough bytes\n")
    text = valid.replace(
        "shared_key = 0123456789abcdef", "shared_key_file = shared.key"
    )
    loaded = settings.load(write(text))
    assert loaded.agent.shared_key.value == b"a key of enough bytes"


def test_unreadable_file_is_a_settings_error(tmp_path):
    with pytest.raises(settings.SettingsError, match="a readable file"):
        settings.load(str(tmp_path / "gone.ini"))
