"""Messages between the hosts: framing, connections and liveness."""

from __future__ import annotations

from rosemarysaddle.link._address import Address
from rosemarysaddle.link._codec import DecodeFault, decode, encode
from rosemarysaddle.link._fabric import Fabric, PlainFabric
from rosemarysaddle.link._peers import PeerNetwork

__all__ = (
    "Address",
    "DecodeFault",
    "Fabric",
    "PeerNetwork",
    "PlainFabric",
    "decode",
    "encode",
)
