"""Fault soak: the real programs under faults from outside.

The programs run as separate processes on loopback addresses, before
stand-ins of the platform and of its targets that live in the soak.
"""

from __future__ import annotations

from rosemarysaddle.soak._check import CallHistory, find_violations
from rosemarysaddle.soak._run import SoakReport, run_soak

__all__ = ("CallHistory", "SoakReport", "find_violations", "run_soak")
