"""Composition of the budget of what clients make a process hold."""

from __future__ import annotations

import os
import typing

from briarseam.clients import budget as budgets

if typing.TYPE_CHECKING:
    from briarseam import settings as settings_module
    from briarseam.metrics import registry as metrics
    from briarseam.settings import serving

MEGABYTE = 1_000_000


def build(settings: serving.ServeSettings) -> budgets.Budget:
    """Return the budget of a process that serves as a whole instance."""
    memory_bytes = settings.capacity.memory_mb * MEGABYTE
    limits = budgets.limits_of(
        memory_bytes or machine_memory(), settings.capacity.descriptors
    )
    return budgets.Budget(
        budgets.Limits(
            settings.load.client_bytes or limits.bytes,
            settings.load.client_descriptors or limits.descriptors,
        )
    )


def of_entry(settings: settings_module.Settings) -> budgets.Budget:
    """Return the budget of an entry process."""
    entry = settings.entry
    limits = budgets.limits_of(machine_memory(), 0)
    return budgets.Budget(
        budgets.Limits(
            entry.max_client_bytes or limits.bytes,
            entry.max_client_descriptors or limits.descriptors,
        )
    )


def machine_memory() -> int:
    """Return the memory of the machine, in bytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")


def register(registry: metrics.Registry, budget: budgets.Budget) -> None:
    """Register the metrics of a budget, and count what it records."""
    limits = budget.limits
    for name, text, reading in (
        (
            "client_bytes",
            "Memory that clients make the process hold, in bytes",
            lambda: budget.bytes,
        ),
        (
            "client_bytes_limit",
            "Memory that they may make it hold; 0 without a limit",
            lambda: limits.bytes,
        ),
        (
            "client_descriptors",
            "Descriptors that clients make the process hold",
            lambda: budget.descriptors,
        ),
        (
            "client_descriptors_limit",
            "Descriptors that they may make it hold; 0 without a limit",
            lambda: limits.descriptors,
        ),
    ):
        registry.callback_gauge(name, text, reading)
    budget.on_evicted = registry.counter(
        "clients_evicted_total",
        "Connections closed since others needed their room",
    ).add
    budget.on_refused = registry.counter(
        "client_budget_refusals_total",
        "Connections, requests and bodies for which there was no room",
    ).add
