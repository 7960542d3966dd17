"""Histograms and counters of what a host does."""

from __future__ import annotations

from rosemarysaddle.observe._metrics import Metrics, Stage

__all__ = ("Metrics", "Stage")
