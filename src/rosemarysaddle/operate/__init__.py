"""Operators' commands over the administration API."""

from __future__ import annotations

from rosemarysaddle.operate._client import AdminClient, AdminFault
from rosemarysaddle.operate._documents import (
    apply_document,
    diff_document,
    load_for_change,
)
from rosemarysaddle.operate._explain import (
    LogLine,
    explain_request,
    read_lines,
)

__all__ = (
    "AdminClient",
    "AdminFault",
    "LogLine",
    "apply_document",
    "diff_document",
    "explain_request",
    "load_for_change",
    "read_lines",
)
