"""Operator commands: administration API client and log analysis."""

from __future__ import annotations

from rosemarysaddle.operate._client import AdminClient, AdminFault
from rosemarysaddle.operate._documents import (
    apply_document,
    diff_document,
    read_document_file,
)
from rosemarysaddle.operate._explain import (
    LogLine,
    explain_request,
    parse_log_lines,
)

__all__ = (
    "AdminClient",
    "AdminFault",
    "LogLine",
    "apply_document",
    "diff_document",
    "explain_request",
    "parse_log_lines",
    "read_document_file",
)
