"""Log lines about entries that could not be applied."""

from __future__ import annotations

from typing import TYPE_CHECKING

from rosemarysaddle import _log as logging

if TYPE_CHECKING:
    from rosemarysaddle.decide import ClusterState

__all__ = ("log_skipped_entries",)


def log_skipped_entries(state: ClusterState) -> None:
    """Log the entries that a state has skipped, each once."""
    faults, state.faults = state.faults, []
    for fault in faults:
        logging.error("event=entry-skipped %s", fault)
