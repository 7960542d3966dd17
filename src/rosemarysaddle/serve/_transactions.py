"""Transactions that span several requests of one caller."""

from __future__ import annotations

import secrets
import threading
from typing import TYPE_CHECKING, Final

import attrs

from rosemarysaddle._clock import clock_ns
from rosemarysaddle.decide import NS_PER_MS, Reason, Refusal, Step
from rosemarysaddle.serve._answers import Answer, ServedBy
from rosemarysaddle.serve._write_runner import run_statements, to_refusal
from rosemarysaddle.target import TargetFault

if TYPE_CHECKING:
    from rosemarysaddle.decide import (
        SessionToken,
        TokenCodec,
        WriteTicket,
    )
    from rosemarysaddle.serve._requests import StatementRequest
    from rosemarysaddle.serve._write_runner import WriteRunner
    from rosemarysaddle.target import TargetSession

__all__ = ("TransactionOwner", "TransactionTable", "find_owner")

IDLE_TIMEOUT_MS: Final = 10_000
MAX_OPEN_TRANSACTIONS: Final = 256


@attrs.frozen(kw_only=True)
class TransactionOwner:
    """Entry host that holds a transaction.

    :param address: its address for callers
    """

    host: str
    address: str


@attrs.define(kw_only=True, eq=False)
class _OpenTransaction:
    tenant: str
    ticket: WriteTicket
    session: TargetSession
    idle_deadline_ns: int
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    ended: bool = False


@attrs.define(kw_only=True, eq=False)
class TransactionTable:
    """Open transactions of one entry host, by handle."""

    runner: WriteRunner
    _transactions: dict[str, _OpenTransaction] = attrs.field(
        factory=dict, init=False
    )
    _lock: threading.Lock = attrs.field(factory=threading.Lock, init=False)

    def begin(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Open a transaction.

        :return: an answer that carries the handle
        """
        if len(self._transactions) >= MAX_OPEN_TRANSACTIONS:
            return _refuse(Reason.OVERLOADED, request.group)
        begun = self.runner.begin(
            request.group, deadline_ns=request.deadline_ns
        )
        if isinstance(begun, Refusal):
            return begun
        ticket, session = begun
        handle = self._new_handle()
        with self._lock:
            self._transactions[handle] = _OpenTransaction(
                tenant=request.tenant,
                ticket=ticket,
                session=session,
                idle_deadline_ns=_idle_deadline_ns(),
            )
        return self._answer((), ticket, token, handle)

    def execute(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Run statements in a transaction.

        A fault of the connection ends the transaction.
        """
        found = self._find(request)
        if isinstance(found, Refusal):
            return found
        with found.lock:
            if found.ended:
                return _unknown_handle()
            found.idle_deadline_ns = _idle_deadline_ns()
            found.session.set_deadline(request.deadline_ns)
            results = run_statements(found.session, request.statements)
            if isinstance(results, TargetFault):
                if not results.is_answer:
                    self._end(request.transaction, found)
                    self.runner.roll_back(found.ticket, found.session)
                return to_refusal(results)
        return self._answer(results, found.ticket, token, request.transaction)

    def commit(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Commit a transaction."""
        found = self._find(request)
        if isinstance(found, Refusal):
            return found
        with found.lock:
            if found.ended:
                return _unknown_handle()
            self._end(request.transaction, found)
            found.session.set_deadline(request.deadline_ns)
            point = self.runner.commit_and_confirm(
                found.ticket, found.session, deadline_ns=request.deadline_ns
            )
        if isinstance(point, Refusal):
            return point
        return self.runner.answer((), found.ticket, point, token)

    def rollback(
        self, request: StatementRequest, token: SessionToken
    ) -> Answer | Refusal:
        """Undo a transaction."""
        found = self._find(request)
        if isinstance(found, Refusal):
            return found
        with found.lock:
            if found.ended:
                return _unknown_handle()
            self._end(request.transaction, found)
            self.runner.roll_back(found.ticket, found.session)
        return self._answer((), found.ticket, token, "")

    def expire(self) -> int:
        """Undo the transactions whose caller went away.

        :return: how many were undone
        """
        now_ns = clock_ns()
        with self._lock:
            due = [
                (handle, found)
                for handle, found in self._transactions.items()
                if now_ns >= found.idle_deadline_ns
            ]
        for handle, found in due:
            with found.lock:
                if not found.ended:
                    self._end(handle, found)
                    self.runner.roll_back(found.ticket, found.session)
        return len(due)

    def count(self) -> int:
        """Count the open transactions."""
        return len(self._transactions)

    def _new_handle(self) -> str:
        node = self.runner.shared_node.node
        text = f"{node.host}~{node.address}~{secrets.token_hex(12)}"
        return self.runner.tokens.sign(text)

    def _find(self, request: StatementRequest) -> _OpenTransaction | Refusal:
        with self._lock:
            found = self._transactions.get(request.transaction)
        if found is None or found.tenant != request.tenant:
            return _unknown_handle()
        return found

    def _end(self, handle: str, found: _OpenTransaction) -> None:
        found.ended = True
        with self._lock:
            self._transactions.pop(handle, None)

    def _answer(
        self,
        results: tuple[dict[str, object], ...],
        ticket: WriteTicket,
        token: SessionToken,
        handle: str,
    ) -> Answer:
        return Answer(
            results=results,
            token=self.runner.tokens.encode(token),
            served_by=ServedBy(
                host=self.runner.shared_node.node.host,
                target=ticket.primary,
                role="primary",
                term=ticket.term,
                position=0,
            ),
            transaction=handle,
        )


def find_owner(handle: str, tokens: TokenCodec) -> TransactionOwner | None:
    """Find the entry host that holds a transaction.

    :param handle: what the begin of the transaction returned
    :return: the host, or None where the handle is forged or damaged
    """
    text = tokens.verify(handle)
    if text is None:
        return None
    host, address, _ = text.split("~")
    return TransactionOwner(host=host, address=address)


def _idle_deadline_ns() -> int:
    return clock_ns() + IDLE_TIMEOUT_MS * NS_PER_MS


def _unknown_handle() -> Refusal:
    return Refusal(
        reason=Reason.UNKNOWN_TRANSACTION,
        step=Step.ROUTE,
        peer="transaction",
        detail="the transaction has ended and was undone unless committed",
    )


def _refuse(reason: Reason, peer: str) -> Refusal:
    return Refusal(reason=reason, step=Step.ADMIT, peer=peer)
