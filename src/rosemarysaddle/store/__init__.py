"""Durable state of a control host."""

from __future__ import annotations

from rosemarysaddle.store._journal import CorruptJournal, Journal

__all__ = ("CorruptJournal", "Journal")
