"""Request metrics of a host: duration histograms and counters."""

from __future__ import annotations

from rosemarysaddle.observe._metrics import Metrics, Stage

__all__ = ("Metrics", "Stage")
