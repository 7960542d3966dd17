"""Messaging between hosts: encoding, connections and heartbeats."""

from __future__ import annotations

from rosemarysaddle.link._address import Address
from rosemarysaddle.link._codec import DecodeFault, decode, encode
from rosemarysaddle.link._network_conditions import (
    NetworkConditions,
    UnmodifiedNetwork,
)
from rosemarysaddle.link._peers import PeerNetwork
from rosemarysaddle.link._relayed import unwrap_relayed, wrap_relayed

__all__ = (
    "Address",
    "DecodeFault",
    "NetworkConditions",
    "PeerNetwork",
    "UnmodifiedNetwork",
    "decode",
    "encode",
    "unwrap_relayed",
    "wrap_relayed",
)
