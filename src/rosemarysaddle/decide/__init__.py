"""Decisions as pure state machines: messages and time in, effects out.

They cover consensus, leases, failover, routing and queueing.  Nothing
here reads a clock, draws random numbers or touches a socket or a file.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

from rosemarysaddle._lazy import LazyNames

if TYPE_CHECKING:
    from rosemarysaddle.decide._control import ControlNode
    from rosemarysaddle.decide._effects import (
        CheckEnded,
        Committed,
        DemoteTarget,
        Effect,
        FollowPrimary,
        LoadSnapshot,
        LogDecision,
        ProbeGroup,
        PromoteTarget,
        PromotionResult,
        SaveEntries,
        SaveSnapshot,
        SaveVote,
        TargetReport,
    )
    from rosemarysaddle.decide._entry import EntryNode, WriteTicket
    from rosemarysaddle.decide._reasons import Outcome, Reason, Refusal, Step
    from rosemarysaddle.decide._send import Send, SendRelayed
    from rosemarysaddle.decide._statements import (
        NO_ANSWER,
        Answer,
        CloseSession,
        FaultCode,
        OpenSession,
        PreparedStatement,
        SessionState,
        Statement,
        StatementKind,
    )
    from rosemarysaddle.decide._times import LEASE_MS, NS_PER_MS
    from rosemarysaddle.decide._variables import (
        ConnectionSetup,
        SessionVariables,
        SetupPlan,
        shared_name,
    )
    from rosemarysaddle.decide.configuration._inventory import InventoryTable
    from rosemarysaddle.decide.configuration._json_bounds import (
        ValueFault,
        decode_json,
    )
    from rosemarysaddle.decide.configuration._route_plan import (
        Freshness,
        RouteTable,
        check_plan,
    )
    from rosemarysaddle.decide.configuration._teams import (
        TeamDirectory,
        digest_key,
        team_weight,
    )
    from rosemarysaddle.decide.control_log._follower import (
        BEHIND_MS,
        FollowerStatus,
    )
    from rosemarysaddle.decide.control_log._log import (
        LogNode,
        Role,
        StoredLog,
        is_empty,
    )
    from rosemarysaddle.decide.control_log._state import (
        ClusterState,
        DocumentKind,
        EntryKind,
        check_change,
    )
    from rosemarysaddle.decide.control_log._voter_manager import address_of
    from rosemarysaddle.decide.control_log._voters import join_voters
    from rosemarysaddle.decide.leases._lease import HostLease, LeaseTable
    from rosemarysaddle.decide.leases._relay import (
        RelayChoice,
        RelayRoutes,
        is_relayable,
    )
    from rosemarysaddle.decide.load._counting_hosts import (
        CountingHosts,
        rank_hosts,
    )
    from rosemarysaddle.decide.load._lending import (
        ConnectionShare,
        LenderRanking,
        TeamScope,
        share_connections,
    )
    from rosemarysaddle.decide.load._load_balancing import (
        ReadConstraints,
        TargetState,
        choose_target,
        compute_transfer_cost_ns,
    )
    from rosemarysaddle.decide.load._outliers import (
        OutlierChange,
        OutlierDetector,
        OutlierLevel,
        StatementSample,
    )
    from rosemarysaddle.decide.load._queue_stats import (
        MAX_PRIORITY_LABEL,
        QUEUE_WAIT_BOUNDS_MS,
        QueueStats,
        retry_after,
    )
    from rosemarysaddle.decide.load._queueing import (
        WEIGHT_SCALE,
        ConnectionQueue,
        ConnectionRequest,
        Waiter,
    )
    from rosemarysaddle.decide.load._rate_limit import (
        DemandRate,
        LimitSettings,
        LimitShare,
    )
    from rosemarysaddle.decide.load._return_times import ReturnTimes
    from rosemarysaddle.decide.load._team_connections import (
        FULL_BACKOFF_MS,
        TeamConnections,
        max_concurrent_opens,
    )
    from rosemarysaddle.decide.load._token_counter import TokenCounter
    from rosemarysaddle.decide.load._token_stock import (
        TokenStock,
        reserve_share,
    )
    from rosemarysaddle.decide.load._window import (
        INITIAL_SIZE,
        MAX_SIZE,
        MIN_SIZE,
        ConcurrencyWindow,
    )
    from rosemarysaddle.decide.load._work_estimates import (
        WorkEstimates,
        WorkKind,
    )
    from rosemarysaddle.decide.primaries._change import (
        ChangeTimes,
        choose_primary,
        eligible_reports,
        promotion_quorum,
        write_quorum,
    )
    from rosemarysaddle.decide.primaries._departures import (
        Departure,
        DepartureStatus,
    )
    from rosemarysaddle.decide.primaries._registry import (
        is_outdated,
        is_update,
        is_well_formed,
        record_of,
    )
    from rosemarysaddle.decide.primaries._terms import GroupTerm
    from rosemarysaddle.decide.reads._freshness import (
        PositionHistory,
        newer_point,
    )
    from rosemarysaddle.decide.reads._replica_choice import (
        GroupView,
        ReadChoice,
        ReadRequirements,
        TargetView,
    )
    from rosemarysaddle.decide.reads._token import (
        LogPoint,
        SessionToken,
        TokenCodec,
    )

__all__ = (
    "BEHIND_MS",
    "FULL_BACKOFF_MS",
    "INITIAL_SIZE",
    "LEASE_MS",
    "MAX_PRIORITY_LABEL",
    "MAX_SIZE",
    "MIN_SIZE",
    "NO_ANSWER",
    "NS_PER_MS",
    "QUEUE_WAIT_BOUNDS_MS",
    "WEIGHT_SCALE",
    "Answer",
    "ChangeTimes",
    "CheckEnded",
    "CloseSession",
    "ClusterState",
    "Committed",
    "ConcurrencyWindow",
    "ConnectionQueue",
    "ConnectionRequest",
    "ConnectionSetup",
    "ConnectionShare",
    "ControlNode",
    "CountingHosts",
    "DemandRate",
    "DemoteTarget",
    "Departure",
    "DepartureStatus",
    "DocumentKind",
    "Effect",
    "EntryKind",
    "EntryNode",
    "FaultCode",
    "FollowPrimary",
    "FollowerStatus",
    "Freshness",
    "GroupTerm",
    "GroupView",
    "HostLease",
    "InventoryTable",
    "LeaseTable",
    "LenderRanking",
    "LimitSettings",
    "LimitShare",
    "LoadSnapshot",
    "LogDecision",
    "LogNode",
    "LogPoint",
    "OpenSession",
    "Outcome",
    "OutlierChange",
    "OutlierDetector",
    "OutlierLevel",
    "PositionHistory",
    "PreparedStatement",
    "ProbeGroup",
    "PromoteTarget",
    "PromotionResult",
    "QueueStats",
    "ReadChoice",
    "ReadConstraints",
    "ReadRequirements",
    "Reason",
    "Refusal",
    "RelayChoice",
    "RelayRoutes",
    "ReturnTimes",
    "Role",
    "RouteTable",
    "SaveEntries",
    "SaveSnapshot",
    "SaveVote",
    "Send",
    "SendRelayed",
    "SessionState",
    "SessionToken",
    "SessionVariables",
    "SetupPlan",
    "Statement",
    "StatementKind",
    "StatementSample",
    "Step",
    "StoredLog",
    "TargetReport",
    "TargetState",
    "TargetView",
    "TeamConnections",
    "TeamDirectory",
    "TeamScope",
    "TokenCodec",
    "TokenCounter",
    "TokenStock",
    "ValueFault",
    "Waiter",
    "WorkEstimates",
    "WorkKind",
    "WriteTicket",
    "address_of",
    "check_change",
    "check_plan",
    "choose_primary",
    "choose_target",
    "compute_transfer_cost_ns",
    "decode_json",
    "digest_key",
    "eligible_reports",
    "is_empty",
    "is_outdated",
    "is_relayable",
    "is_update",
    "is_well_formed",
    "join_voters",
    "max_concurrent_opens",
    "newer_point",
    "promotion_quorum",
    "rank_hosts",
    "record_of",
    "reserve_share",
    "retry_after",
    "share_connections",
    "shared_name",
    "team_weight",
    "write_quorum",
)

# An entry host uses about half of these modules.  Building the classes
# of the others would take a tenth of its start.
_NAMES: Final = LazyNames(
    package=__name__,
    modules={
        "_control": ("ControlNode",),
        "_effects": (
            "CheckEnded",
            "Committed",
            "DemoteTarget",
            "Effect",
            "FollowPrimary",
            "LoadSnapshot",
            "LogDecision",
            "ProbeGroup",
            "PromoteTarget",
            "PromotionResult",
            "SaveEntries",
            "SaveSnapshot",
            "SaveVote",
            "TargetReport",
        ),
        "_entry": ("EntryNode", "WriteTicket"),
        "_reasons": ("Outcome", "Reason", "Refusal", "Step"),
        "_send": ("Send", "SendRelayed"),
        "_statements": (
            "NO_ANSWER",
            "Answer",
            "CloseSession",
            "FaultCode",
            "OpenSession",
            "PreparedStatement",
            "SessionState",
            "Statement",
            "StatementKind",
        ),
        "_times": ("LEASE_MS", "NS_PER_MS"),
        "_variables": (
            "ConnectionSetup",
            "SessionVariables",
            "SetupPlan",
            "shared_name",
        ),
        "configuration._inventory": ("InventoryTable",),
        "configuration._json_bounds": ("ValueFault", "decode_json"),
        "configuration._route_plan": ("Freshness", "RouteTable", "check_plan"),
        "configuration._teams": ("TeamDirectory", "digest_key", "team_weight"),
        "control_log._follower": ("BEHIND_MS", "FollowerStatus"),
        "control_log._log": ("LogNode", "Role", "StoredLog", "is_empty"),
        "control_log._state": (
            "ClusterState",
            "DocumentKind",
            "EntryKind",
            "check_change",
        ),
        "control_log._voter_manager": ("address_of",),
        "control_log._voters": ("join_voters",),
        "leases._lease": ("HostLease", "LeaseTable"),
        "leases._relay": ("RelayChoice", "RelayRoutes", "is_relayable"),
        "load._counting_hosts": ("CountingHosts", "rank_hosts"),
        "load._lending": (
            "ConnectionShare",
            "LenderRanking",
            "TeamScope",
            "share_connections",
        ),
        "load._load_balancing": (
            "ReadConstraints",
            "TargetState",
            "choose_target",
            "compute_transfer_cost_ns",
        ),
        "load._outliers": (
            "OutlierChange",
            "OutlierDetector",
            "OutlierLevel",
            "StatementSample",
        ),
        "load._queue_stats": (
            "MAX_PRIORITY_LABEL",
            "QUEUE_WAIT_BOUNDS_MS",
            "QueueStats",
            "retry_after",
        ),
        "load._queueing": (
            "WEIGHT_SCALE",
            "ConnectionQueue",
            "ConnectionRequest",
            "Waiter",
        ),
        "load._rate_limit": ("DemandRate", "LimitSettings", "LimitShare"),
        "load._return_times": ("ReturnTimes",),
        "load._team_connections": (
            "FULL_BACKOFF_MS",
            "TeamConnections",
            "max_concurrent_opens",
        ),
        "load._token_counter": ("TokenCounter",),
        "load._token_stock": ("TokenStock", "reserve_share"),
        "load._window": (
            "INITIAL_SIZE",
            "MAX_SIZE",
            "MIN_SIZE",
            "ConcurrencyWindow",
        ),
        "load._work_estimates": ("WorkEstimates", "WorkKind"),
        "primaries._change": (
            "ChangeTimes",
            "choose_primary",
            "eligible_reports",
            "promotion_quorum",
            "write_quorum",
        ),
        "primaries._departures": ("Departure", "DepartureStatus"),
        "primaries._registry": (
            "is_outdated",
            "is_update",
            "is_well_formed",
            "record_of",
        ),
        "primaries._terms": ("GroupTerm",),
        "reads._freshness": ("PositionHistory", "newer_point"),
        "reads._replica_choice": (
            "GroupView",
            "ReadChoice",
            "ReadRequirements",
            "TargetView",
        ),
        "reads._token": ("LogPoint", "SessionToken", "TokenCodec"),
    },
)


def __getattr__(name: str) -> Any:
    """Import a name when it is used for the first time."""
    return _NAMES.load(name, globals())
