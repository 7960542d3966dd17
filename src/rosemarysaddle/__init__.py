"""Database proxy with session consistency."""

from __future__ import annotations

__all__ = ()
