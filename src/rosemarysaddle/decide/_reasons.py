"""Refusals, and the reasons, steps and outcomes that they name."""

from __future__ import annotations

import enum

import attrs

__all__ = ("Outcome", "Reason", "Refusal", "Step")


class Outcome(enum.StrEnum):
    """Outcome of a request: done, not run or unknown."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Step(enum.StrEnum):
    """Processing step at which an error occurred."""

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
    BAD_TOKEN = "bad-token"  # noqa: S105 - a reason, not a secret
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
    PRIMARY_REPLACED = "primary-replaced"
    HOST_UNREACHABLE = "host-unreachable"
    NOT_LEADER = "not-leader"
    DEFECT = "defect"
    UNKNOWN_DATABASE = "unknown-database"
    UNKNOWN_PREPARED = "unknown-prepared"
    TRANSACTION_ENDED = "transaction-ended"
    TOO_LARGE = "too-large"
    TARGET_BUSY = "target-busy"
    VERSION_CONFLICT = "version-conflict"
    UNKNOWN_KEY = "unknown-key"
    KEY_REVOKED = "key-revoked"
    RATE_LIMITED = "rate-limited"


@attrs.frozen(kw_only=True)
class Refusal:
    """Sentinel returned in place of a result.

    :param reason: why there is no result
    :param step: processing step at which the request was refused
    :param peer: target, group or host concerned
    :param outcome: whether the request was run
    :param detail: additional text for people
    :param retry_after_ms: time after which a retry may succeed, in
        milliseconds from the answer; 0 if unknown
    """

    reason: Reason
    step: Step
    peer: str
    outcome: Outcome = Outcome.NOT_RUN
    detail: str = ""
    retry_after_ms: int = 0
