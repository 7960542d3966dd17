"""Times of a deployment whose control hosts may all restart at once."""

from __future__ import annotations

from typing import Final

__all__ = (
    "CONTROL_TICK_S",
    "ENTRY_TICK_S",
    "LEASE_MS",
    "PROMOTE_TIMEOUT_MS",
    "RENEWAL_INTERVAL_MS",
)

# Outlasts a restart of all control hosts (1 s) and an election then.
LEASE_MS: Final = 4_000
RENEWAL_INTERVAL_MS: Final = 1_000
# The platform takes up to a second; the rest is for a slow answer.
PROMOTE_TIMEOUT_MS: Final = 4_000
ENTRY_TICK_S: Final = 0.1
CONTROL_TICK_S: Final = 0.05
