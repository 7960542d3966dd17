"""Refusals and other sentinel values of the decisions."""

from __future__ import annotations

import enum

import attrs

__all__ = ("Outcome", "Reason", "Refusal", "Step")


class Outcome(enum.StrEnum):
    """What became of a request."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Step(enum.StrEnum):
    """Step of the work at which an error arose."""

    DECODE = "decode"
    AUTHORIZE = "authorize"
    ADMIT = "admit"
    ROUTE = "route"
    CONNECT = "connect"
    EXECUTE = "execute"
    CONFIRM = "confirm"
    FORWARD = "forward"
    COMMIT = "commit"


class Reason(enum.StrEnum):
    """Why a request was refused or has no known outcome."""

    BAD_REQUEST = "bad-request"
    BAD_CREDENTIAL = "bad-credential"
    BAD_TOKEN = "bad-token"  # noqa: S105 - a reason, no secret
    UNKNOWN_TENANT = "unknown-tenant"
    UNKNOWN_GROUP = "unknown-group"
    UNKNOWN_CLASS = "unknown-class"
    FORBIDDEN_GROUP = "forbidden-group"
    UNKNOWN_TRANSACTION = "unknown-transaction"
    STATEMENT_FAILED = "statement-failed"
    KEY_REUSED = "key-reused"
    KEY_EXPIRED = "key-expired"
    DEADLINE_PASSED = "deadline-passed"
    OVERLOADED = "overloaded"
    STOPPING = "stopping"
    NO_CONFIGURATION = "no-configuration"
    NO_LEASE = "no-lease"
    NO_PRIMARY = "no-primary"
    NO_REPLICA = "no-replica"
    REPLICAS_BEHIND = "replicas-behind"
    NO_CONNECTION = "no-connection"
    CONNECTION_LOST = "connection-lost"
    UNCONFIRMED = "unconfirmed"
    LEASE_ENDED = "lease-ended"
    HOST_UNREACHABLE = "host-unreachable"
    NOT_LEADER = "not-leader"
    DEFECT = "defect"
    UNKNOWN_DATABASE = "unknown-database"
    UNKNOWN_PREPARED = "unknown-prepared"
    TRANSACTION_ENDED = "transaction-ended"
    TOO_LARGE = "too-large"
    TARGET_BUSY = "target-busy"
    VERSION_CONFLICT = "version-conflict"


@attrs.frozen(kw_only=True)
class Refusal:
    """Sentinel returned in place of a result.

    :param reason: why there is no result
    :param step: step of the work at which it arose
    :param peer: target or host it concerns
    :param outcome: what became of the request
    :param detail: further text for people
    :param retry_after_ms: when a new try may succeed, in milliseconds
        from the answer; 0 where nothing is known
    """

    reason: Reason
    step: Step
    peer: str
    outcome: Outcome = Outcome.NOT_RUN
    detail: str = ""
    retry_after_ms: int = 0
