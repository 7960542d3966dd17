"""Operators' commands over the administration API."""

from __future__ import annotations

from rosemarysaddle.operate._client import AdminClient, AdminFault
from rosemarysaddle.operate._documents import (
    apply_document,
    diff_document,
    load_for_change,
)

__all__ = (
    "AdminClient",
    "AdminFault",
    "apply_document",
    "diff_document",
    "load_for_change",
)
