"""Demonstration: a whole deployment in one process, under faults."""

from __future__ import annotations

from rosemarysaddle.demo._checker import Checker, Violation
from rosemarysaddle.demo._cluster import Cluster
from rosemarysaddle.demo._deployments import (
    DEPLOYMENTS,
    ClassSpec,
    Deployment,
    Site,
)
from rosemarysaddle.demo._play import DemoReport, play
from rosemarysaddle.demo._records import CallRecord
from rosemarysaddle.demo._trial import TrialReport, run_trial

__all__ = (
    "DEPLOYMENTS",
    "CallRecord",
    "Checker",
    "ClassSpec",
    "Cluster",
    "DemoReport",
    "Deployment",
    "Site",
    "TrialReport",
    "Violation",
    "play",
    "run_trial",
)
