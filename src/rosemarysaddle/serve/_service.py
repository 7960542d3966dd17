"""Serves callers: authorizes requests and dispatches them."""

from __future__ import annotations

import hashlib
import hmac
import http.client
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import (
    NS_PER_MS,
    Outcome,
    Reason,
    Refusal,
    SessionToken,
    Step,
    TokenCodec,
)
from rosemarysaddle.link import Address
from rosemarysaddle.observe import Stage
from rosemarysaddle.serve._answers import (
    Answer,
    http_status_of,
    render_answer,
    render_problem,
)
from rosemarysaddle.serve._read_runner import ReadRunner
from rosemarysaddle.serve._requests import (
    StatementRequest,
    build_request,
    parse_body,
)
from rosemarysaddle.serve._transactions import (
    TransactionOwner,
    TransactionTable,
    find_owner,
)
from rosemarysaddle.serve._write_runner import WriteRunner

if TYPE_CHECKING:
    from collections.abc import Callable

    from rosemarysaddle.daemon import SharedEntryNode
    from rosemarysaddle.observe import Metrics

__all__ = ("ApiPath", "HttpResponse", "StatementService")

# The owner of a transaction counts the deadline from the arrival of the
# forwarded request.
FORWARD_TIMEOUT_MARGIN_MS: Final = 500
JSON_TYPE: Final = "application/json"
PROBLEM_TYPE: Final = "application/problem+json"


class ApiPath:
    """URL paths of the API for callers."""

    STATEMENTS: Final = "/v1/statements"
    BEGIN: Final = "/v1/transactions"
    EXECUTE: Final = "/v1/transactions/statements"
    COMMIT: Final = "/v1/transactions/commit"
    ROLLBACK: Final = "/v1/transactions/rollback"


@attrs.frozen(kw_only=True)
class HttpResponse:
    """HTTP response to a caller."""

    status: int
    content_type: str
    body: bytes
    retry_after_ms: int = 0


@attrs.define(kw_only=True, eq=False)
class StatementService:
    """Serves the callers of one entry host.

    A request that continues a transaction of another entry host is
    forwarded to that host.
    """

    shared_node: SharedEntryNode
    tokens: TokenCodec
    metrics: Metrics
    transactions: TransactionTable = attrs.field(init=False)
    _read_runner: ReadRunner = attrs.field(init=False)
    _write_runner: WriteRunner = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the runners and the transaction table."""
        self._read_runner = ReadRunner(
            shared_node=self.shared_node, tokens=self.tokens
        )
        self._write_runner = WriteRunner(
            shared_node=self.shared_node, tokens=self.tokens
        )
        self.transactions = TransactionTable(runner=self._write_runner)

    def handle(
        self, path: str, data: bytes, *, tenant: str, credential: str
    ) -> HttpResponse:
        """Serve one HTTP request.

        :param path: one of the paths of :class:`ApiPath`
        :param data: body of the request
        """
        now_ns = clock_ns()
        request = self._parse_and_authorize(data, tenant, credential, now_ns)
        if isinstance(request, Refusal):
            return _problem_response(request)
        if request.transaction:
            owner = find_owner(request.transaction, self.tokens)
            if owner is None:
                return _problem_response(_refuse(Reason.BAD_REQUEST, "caller"))
            if owner.host != self.shared_node.node.host:
                return self._forward(path, data, request, owner)
        result = _account_for_earlier_attempt(
            request, self._dispatch(path, request)
        )
        self._record_metrics(request, result, now_ns)
        if isinstance(result, Refusal):
            return _problem_response(result)
        return HttpResponse(
            status=200, content_type=JSON_TYPE, body=render_answer(result)
        )

    def _parse_and_authorize(
        self, data: bytes, tenant: str, credential: str, now_ns: int
    ) -> StatementRequest | Refusal:
        body = parse_body(data)
        if isinstance(body, Refusal):
            return body
        request = build_request(
            body, tenant=tenant, credential=credential, now_ns=now_ns
        )
        if isinstance(request, Refusal):
            return request
        return self._authorize(request) or request

    def _authorize(self, request: StatementRequest) -> Refusal | None:
        state = self.shared_node.node.state
        if not self.shared_node.node.ready or not state.inventory_version:
            return _refuse(Reason.NO_CONFIGURATION, "inventory")
        tenant = state.tenant(request.tenant)
        if tenant is None:
            return _refuse(Reason.UNKNOWN_TENANT, request.tenant)
        digest = hashlib.sha256(request.credential.encode()).hexdigest()
        if not hmac.compare_digest(digest, tenant.credential_sha256):
            return _refuse(Reason.BAD_CREDENTIAL, request.tenant)
        if request.transaction:
            return None
        if state.group(request.group) is None:
            return _refuse(Reason.UNKNOWN_GROUP, request.group)
        if request.group not in tenant.groups:
            return _refuse(Reason.FORBIDDEN_GROUP, request.group)
        return None

    def _dispatch(
        self, path: str, request: StatementRequest
    ) -> Answer | Refusal:
        token = SessionToken()
        if request.token:
            decoded = self.tokens.decode(request.token)
            if isinstance(decoded, Refusal):
                return decoded
            token = decoded
        if path == ApiPath.STATEMENTS:
            return self._run_statements(request, token)
        handlers: dict[
            str,
            Callable[[StatementRequest, SessionToken], Answer | Refusal],
        ] = {
            ApiPath.BEGIN: self.transactions.begin,
            ApiPath.EXECUTE: self.transactions.execute,
            ApiPath.COMMIT: self.transactions.commit,
            ApiPath.ROLLBACK: self.transactions.rollback,
        }
        return handlers[path](request, token)

    def _run_statements(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        if not request.statements:
            return _refuse(Reason.BAD_REQUEST, "caller", "no statements")
        if request.write:
            return self._write_runner.run(request, token)
        stale_ms = self._max_staleness_ms(request)
        if isinstance(stale_ms, Refusal):
            return stale_ms
        return self._read_runner.run(request, token, stale_ms)

    def _max_staleness_ms(self, request: StatementRequest) -> int | Refusal:
        rule = self.shared_node.node.state.request_class(request.request_class)
        if rule is None and request.request_class:
            return _refuse(Reason.UNKNOWN_CLASS, request.request_class)
        allowed_ms = rule.stale_ms if rule else 0
        if request.stale_ms is None:
            return allowed_ms
        return request.stale_ms

    def _record_metrics(
        self,
        request: StatementRequest,
        result: Answer | Refusal,
        started_ns: int,
    ) -> None:
        spent_ns = clock_ns() - started_ns
        name = request.request_class or "none"
        self.metrics.record_duration(
            request.tenant, name, Stage.TOTAL, spent_ns
        )
        if isinstance(result, Refusal):
            self.metrics.count_outcome(name, result.outcome, result.reason)
            return
        self.metrics.count_outcome(name, Outcome.DONE, None)
        if not request.write:
            self.metrics.count(f"reads.{name}.{result.served_by.role}")

    def _forward(
        self,
        path: str,
        data: bytes,
        request: StatementRequest,
        owner: TransactionOwner,
    ) -> HttpResponse:
        address = Address.parse(owner.address)
        remaining_ms = (request.deadline_ns - clock_ns()) // NS_PER_MS
        timeout_s = max(1, remaining_ms + FORWARD_TIMEOUT_MARGIN_MS) / 1_000
        connection = http.client.HTTPConnection(
            address.ip, address.port, timeout=timeout_s
        )
        try:
            connection.connect()
        except OSError as error:
            return _problem_response(
                _host_unreachable(owner.host, Outcome.NOT_RUN, error)
            )
        try:
            headers = {
                "Authorization": f"Bearer {request.credential}",
                "X-Tenant": request.tenant,
                "Content-Type": JSON_TYPE,
            }
            connection.request("POST", path, body=data, headers=headers)
            answer = connection.getresponse()
            return HttpResponse(
                status=answer.status,
                content_type=answer.getheader("Content-Type", JSON_TYPE),
                body=answer.read(),
            )
        except (OSError, http.client.HTTPException) as error:
            commits = path == ApiPath.COMMIT
            outcome = Outcome.UNKNOWN if commits else Outcome.NOT_RUN
            return _problem_response(
                _host_unreachable(owner.host, outcome, error)
            )
        finally:
            connection.close()


def _account_for_earlier_attempt(
    request: StatementRequest, result: Answer | Refusal
) -> Answer | Refusal:
    """Report "unknown" instead of "not-run" for a resent request.

    This attempt did not run, but an earlier attempt with the same key
    may have.
    """
    if isinstance(result, Answer) or request.key is None:
        return result
    if not request.key.resend or result.outcome is not Outcome.NOT_RUN:
        return result
    return attrs.evolve(result, outcome=Outcome.UNKNOWN)


def _host_unreachable(
    owner: str, outcome: Outcome, error: Exception
) -> Refusal:
    return Refusal(
        reason=Reason.HOST_UNREACHABLE,
        step=Step.FORWARD,
        peer=owner,
        outcome=outcome,
        detail=str(error),
    )


def _refuse(reason: Reason, peer: str, detail: str = "") -> Refusal:
    return Refusal(
        reason=reason, step=Step.AUTHORIZE, peer=peer, detail=detail
    )


def _problem_response(refusal: Refusal) -> HttpResponse:
    return HttpResponse(
        status=http_status_of(refusal),
        content_type=PROBLEM_TYPE,
        body=render_problem(refusal),
        retry_after_ms=refusal.retry_after_ms,
    )
