"""Names and addresses of control hosts."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Final

from rosemarysaddle.store import Journal

if TYPE_CHECKING:
    from pathlib import Path

    from rosemarysaddle.schema import Node

__all__ = ("load_or_create_host_name", "peer_address")

IDENTITY_FILE: Final = "identity"


def load_or_create_host_name(folder: Path, settings: Node) -> str:
    """Name of this host, which lasts as long as its disk."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    if path.exists():
        found = path.read_text(encoding="utf-8").strip()
        if found:
            return found
    address = f"{settings.ip}:{settings.peers_port}"
    name = address
    if not settings.first_start:
        name = f"{address}#{secrets.token_hex(4)}"
    Journal.write_file(path, name)
    return name


def peer_address(seed: str, port: int) -> str:
    """Address for the other hosts of a seed."""
    ip, _, _ = seed.rpartition(":")
    return f"{ip}:{port}"
