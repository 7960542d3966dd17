"""Decisions as pure state machines: messages and time in, messages out.

Nothing here reads a clock, draws random numbers or touches a socket or
a file.
"""

from __future__ import annotations

from rosemarysaddle.decide._change import (
    ChangeTimes,
    choose_primary,
    confirm_quorum,
    counted,
    promotion_quorum,
)
from rosemarysaddle.decide._control import ControlNode
from rosemarysaddle.decide._effects import (
    Committed,
    Effect,
    FollowPrimary,
    LoadSnapshot,
    ProbeGroup,
    PromoteTarget,
    SaveEntries,
    SaveSnapshot,
    SaveVote,
    Send,
    TargetReport,
)
from rosemarysaddle.decide._entry import EntryNode, WriteTicket
from rosemarysaddle.decide._inventory import InventoryTable
from rosemarysaddle.decide._lease import HostLease, LeaseTable
from rosemarysaddle.decide._log import LogNode, Role, StoredLog
from rosemarysaddle.decide._reasons import Outcome, Reason, Refusal, Step
from rosemarysaddle.decide._routing import (
    GroupView,
    ReadChoice,
    ReadWish,
    TargetView,
)
from rosemarysaddle.decide._state import (
    ClusterState,
    DocumentKind,
    EntryKind,
    check_change,
)
from rosemarysaddle.decide._terms import GroupTerm
from rosemarysaddle.decide._times import LEASE_MS, NS_PER_MS
from rosemarysaddle.decide._token import LogPoint, SessionToken, TokenCodec

__all__ = (
    "LEASE_MS",
    "NS_PER_MS",
    "ChangeTimes",
    "ClusterState",
    "Committed",
    "ControlNode",
    "DocumentKind",
    "Effect",
    "EntryKind",
    "EntryNode",
    "FollowPrimary",
    "GroupTerm",
    "GroupView",
    "HostLease",
    "InventoryTable",
    "LeaseTable",
    "LoadSnapshot",
    "LogNode",
    "LogPoint",
    "Outcome",
    "ProbeGroup",
    "PromoteTarget",
    "ReadChoice",
    "ReadWish",
    "Reason",
    "Refusal",
    "Role",
    "SaveEntries",
    "SaveSnapshot",
    "SaveVote",
    "Send",
    "SessionToken",
    "Step",
    "StoredLog",
    "TargetReport",
    "TargetView",
    "TokenCodec",
    "WriteTicket",
    "check_change",
    "choose_primary",
    "confirm_quorum",
    "counted",
    "promotion_quorum",
)
