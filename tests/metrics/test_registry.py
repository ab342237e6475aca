from __future__ import annotations

import threading

import pytest

from briarseam import metrics


@pytest.fixture
def registry() -> metrics.Registry:
    return metrics.Registry(max_label_values=3)


def test_scrape_shows_every_kind_with_units(registry):
    registry.counter("refused_total", "Requests\nrefused").add(2)
    registry.gauge("queued", "Requests waiting").set(1.5)
    registry.callback_gauge("rss_bytes", "Resident memory", lambda: 7)
    latency = registry.latencies("ttft_us", "First token", ("model",))
    for duration_us in range(1, 101):
        latency.labelled('a"b').record_us(duration_us)
    assert registry.render() == (
        "# HELP refused_total Requests\\nrefused\n"
        "# TYPE refused_total counter\n"
        "refused_total 2\n"
        "# HELP queued Requests waiting\n"
        "# TYPE queued gauge\n"
        "queued 1.5\n"
        "# HELP rss_bytes Resident memory\n"
        "# TYPE rss_bytes gauge\n"
        "rss_bytes 7\n"
        "# HELP ttft_us First token\n"
        "# TYPE ttft_us summary\n"
        'ttft_us{model="a\\"b",quantile="0.5"} 50\n'
        'ttft_us{model="a\\"b",quantile="0.95"} 95\n'
        'ttft_us{model="a\\"b",quantile="0.99"} 99\n'
        'ttft_us_sum{model="a\\"b"} 5050\n'
        'ttft_us_count{model="a\\"b"} 100\n'
    )


def test_label_values_beyond_the_limit_count_as_other(registry):
    """A caller that sends a new model name with each request would create
    a counter for each name, and the process would run out of memory.
    """
    family = registry.counters("asked_total", "Asked", ("model", "ran"))
    for number in range(10):
        family.labelled(f"model-{number}", "no").add()
    values = {sample.labels: sample.value for sample in registry.samples()}
    assert len(values) == 4
    assert values[("model", metrics.OTHER), ("ran", "no")] == 7


def test_no_count_is_lost_with_many_threads(registry):
    counter = registry.counter("asked_total", "Asked")
    latency = registry.latency("asked_us", "Asked")

    def record() -> None:
        for _ in range(2000):
            counter.add()
            latency.record_us(10)

    threads = [threading.Thread(target=record) for _ in range(4)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert counter.value == 8000
    assert latency.summary().count == 8000


@pytest.mark.parametrize("duration_us", [-5, 10**12], ids=["below", "above"])
def test_durations_out_of_range_are_counted(registry, duration_us):
    latency = registry.latency("asked_us", "Asked")
    latency.record_us(duration_us)
    assert latency.summary().count == 1


def test_duration_of_a_body_that_raises_is_recorded(registry):
    latency = registry.latency("asked_us", "Asked")
    with pytest.raises(KeyError), latency.time():
        raise KeyError
    assert latency.summary().count == 1


def test_failing_callback_gauge_does_not_fail_the_scrape(registry):
    """A gauge that queries a store raises while the store is down; the
    scrape would answer 500 and hide all other metrics.
    """

    def fail() -> float:
        raise OSError("store is down")

    registry.callback_gauge("store_bytes", "Size", fail)
    registry.counter("asked_total", "Asked").add()
    scrape = registry.render()
    assert "store_bytes NaN\n" in scrape
    assert "asked_total 1\n" in scrape


def test_invalid_names_duplicates_and_amounts_are_refused(registry):
    registry.counter("asked_total", "Asked")
    with pytest.raises(ValueError, match="asked_total is already registered"):
        registry.counter("asked_total", "Asked")
    with pytest.raises(ValueError, match="must end in '_total'"):
        registry.counter("asked", "Asked")
    with pytest.raises(ValueError, match="must end in '_us'"):
        registry.latency("asked_ms", "Asked")
    with pytest.raises(ValueError, match="invalid metric or label name"):
        registry.gauges("depth", "Depth", ("bad-label",))
    with pytest.raises(ValueError, match="must not be negative"):
        registry.counter("more_total", "More").add(-1)
