"""HTTP interface for callers, operators and targets."""

from __future__ import annotations

from rosemarysaddle.serve._entry import EntryServer
from rosemarysaddle.serve._service import ApiPath, StatementService

__all__ = ("ApiPath", "EntryServer", "StatementService")
