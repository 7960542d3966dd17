"""Soak test: runs the real programs under injected faults.

The programs run as separate processes on loopback addresses.  Stand-ins
for the platform and its targets run in the process of the soak.
"""

from __future__ import annotations

from rosemarysaddle.soak._builds import checked_out_build
from rosemarysaddle.soak._check import CallHistory, find_violations
from rosemarysaddle.soak._member_faults import ALL_FAULTS
from rosemarysaddle.soak._plays import PLAYS
from rosemarysaddle.soak._run import SoakReport, run_play, run_soak

__all__ = (
    "ALL_FAULTS",
    "PLAYS",
    "CallHistory",
    "SoakReport",
    "checked_out_build",
    "find_violations",
    "run_play",
    "run_soak",
)
