"""Names of control hosts and peer addresses of seeds."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from pathlib import Path

    from rosemarysaddle.schema import Node

__all__ = ("load_or_create_host_name", "peer_address")

IDENTITY_FILE: Final = "identity"


def load_or_create_host_name(folder: Path, settings: Node) -> str:
    """Load the name of this host from disk, or create and store one.

    The name lasts as long as the disk. On the first start of a
    deployment it is the peer address. A host that gets a new disk
    later also gets a random suffix, so that its name differs from the
    earlier one.

    :param folder: data folder of the host
    """
    # Entry hosts use this module too and have no journal.
    from rosemarysaddle.store import Journal  # noqa: PLC0415

    folder.mkdir(parents=True, exist_ok=True)
    path = folder / IDENTITY_FILE
    if path.exists():
        stored_name = path.read_text(encoding="utf-8").strip()
        if stored_name:
            return stored_name
    address = f"{settings.ip}:{settings.peers_port}"
    name = address
    if not settings.first_start:
        name = f"{address}#{secrets.token_hex(4)}"
    Journal.write_file(path, name)
    return name


def peer_address(seed: str, port: int) -> str:
    """Build the address at which a seed listens for its peers.

    :param seed: address of a seed in the settings
    :param port: port for peers, the same on each control host
    """
    ip, _, _ = seed.rpartition(":")
    return f"{ip}:{port}"
