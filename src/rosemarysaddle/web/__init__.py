"""HTTP server for callers, operators and targets."""

from __future__ import annotations

from rosemarysaddle.web._server import HttpServer

__all__ = ("HttpServer",)
