"""Timing for deployments whose control hosts may restart together."""

from __future__ import annotations

from typing import Final

__all__ = (
    "CONTROL_TICK_S",
    "ENTRY_TICK_S",
    "LEASE_MS",
    "PROMOTE_TIMEOUT_MS",
    "RENEWAL_INTERVAL_MS",
)

# Longer than a restart of all control hosts at once (1 s) and the
# election that follows it.
LEASE_MS: Final = 4_000
RENEWAL_INTERVAL_MS: Final = 1_000
# The platform takes up to 1 s to promote a target; the rest allows for
# a slow answer.
PROMOTE_TIMEOUT_MS: Final = 4_000
ENTRY_TICK_S: Final = 0.1
CONTROL_TICK_S: Final = 0.05
