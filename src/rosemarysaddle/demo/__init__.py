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
from rosemarysaddle.demo._recorder import CallRecord
from rosemarysaddle.demo._run import DemoReport, run_demo
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
    "run_demo",
    "run_trial",
)
