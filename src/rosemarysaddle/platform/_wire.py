"""The platform's wire: lines of a word and fields, both ways."""

from __future__ import annotations

from typing import Final

import attrs

from rosemarysaddle.decide import (
    Answer,
    CloseSession,
    FaultCode,
    LogPoint,
    OpenSession,
    Outcome,
    Reason,
    Refusal,
    SessionState,
    Shape,
    Statement,
    StatementKind,
    shared_name,
)

__all__ = ("CallerLineCodec", "TargetLineCodec")

MAX_MESSAGE_BYTES: Final = 1024 * 1024
_LINE_END: Final = b"\r\n"
_NO_ID: Final = "-"
_NO_POINT: Final = "-"
_STATE_CODES: Final = {
    SessionState.IDLE: "I",
    SessionState.TRANSACTION: "T",
    SessionState.FAILED: "E",
}
_STATE_BY_CODE: Final = {text: state for state, text in _STATE_CODES.items()}
_FAULT_CODES: Final = {
    "BUSY": FaultCode.BUSY,
    "BEHIND": FaultCode.BEHIND,
    "READONLY": FaultCode.READ_ONLY,
    "UNNAMED": FaultCode.UNNAMED,
    "WRONGHOST": FaultCode.WRONG_TARGET,
    "TOOMANY": FaultCode.TOO_MANY_CONNECTIONS,
    "FAILED": FaultCode.FAILED,
    "TIMEOUT": FaultCode.TIMEOUT,
}
# Codes that promise that nothing is kept come first.
_NOT_RUN_CODES: Final = {
    Reason.UNKNOWN_DATABASE: "NODATABASE",
    Reason.UNKNOWN_PREPARED: "UNNAMED",
    Reason.BAD_REQUEST: "MALFORMED",
    Reason.TOO_LARGE: "TOOLARGE",
    Reason.TRANSACTION_ENDED: "ABORTED",
    Reason.STATEMENT_FAILED: "FAILED",
}
_BUSY: Final = "BUSY"
_UNSURE: Final = "UNSURE"
_TIMEOUT: Final = "TIMEOUT"


@attrs.define(kw_only=True)
class _LineBuffer:
    """Cuts a stream of bytes into lines."""

    is_broken: bool = False
    _partial_line: bytes = b""

    def feed(self, data: bytes) -> list[str]:
        """Take bytes and return the lines that are whole."""
        if self._partial_line:
            data = self._partial_line + data
        *whole, self._partial_line = data.split(_LINE_END)
        if len(self._partial_line) > MAX_MESSAGE_BYTES:
            self.is_broken = True
        try:
            return [line.decode() for line in whole]
        except UnicodeDecodeError:
            self.is_broken = True
            return []


@attrs.define(kw_only=True)
class CallerLineCodec:
    """Codec of one caller's connection."""

    _lines: _LineBuffer = attrs.field(factory=_LineBuffer)

    def feed(
        self, data: bytes
    ) -> list[OpenSession | CloseSession | Statement] | None:
        """Decode what the caller sent.

        :return: the messages that are whole, or None where the bytes
            make no sense
        """
        found: list[OpenSession | CloseSession | Statement] = []
        for line in self._lines.feed(data):
            message = _parse_caller_message(line)
            if message is None:
                return None
            found.append(message)
        return None if self._lines.is_broken else found

    def encode_ready(self, state: SessionState) -> bytes:
        """Tell that the session takes the next statement."""
        return f"READY {_STATE_CODES[state]} {_NO_POINT}\r\n".encode()

    def encode_answer(self, answer: Answer, state: SessionState) -> bytes:
        """Pass a target's result on, or that of this host."""
        rows = "".join(f"ROW {row}\r\n" for row in answer.rows)
        done = answer.signature or _NO_ID
        ready = f"READY {_STATE_CODES[state]} {_NO_POINT}\r\n"
        return f"{rows}DONE {done}\r\n{ready}".encode()

    def encode_refusal(
        self, refusal: Refusal, state: SessionState | None
    ) -> bytes:
        """Refuse a statement; a state of None ends the session.

        The text tells the reason, where it arose and, where that is
        known, after how many milliseconds a new try may succeed.
        """
        text = f"{refusal.reason} {refusal.step} {refusal.peer or '-'}"
        if refusal.retry_after_ms:
            text += f" retry-after-ms={refusal.retry_after_ms}"
        line = f"ERROR {_refusal_code(refusal)} {text}\r\n".encode()
        return line if state is None else line + self.encode_ready(state)


def _refusal_code(refusal: Refusal) -> str:
    if refusal.outcome is not Outcome.NOT_RUN:
        late = refusal.reason is Reason.DEADLINE_PASSED
        return _TIMEOUT if late else _UNSURE
    return _NOT_RUN_CODES.get(refusal.reason, _BUSY)


def _parse_caller_message(
    line: str,
) -> OpenSession | CloseSession | Statement | None:
    word, _, rest = line.partition(" ")
    if word == "QUERY":
        request_id, _, text = rest.partition(" ")
        return _parse_statement(request_id, text) if request_id else None
    if word == "START":
        database, _, label = rest.partition(" ")
        return OpenSession(database=database, label=label)
    return CloseSession() if word == "BYE" else None


def _parse_statement(request_id: str, text: str) -> Statement:
    verb, _, rest = text.partition(" ")
    name, _, argument = rest.partition(" ")
    kind, shape = _STATEMENT_KINDS.get(verb, StatementKind.UNKNOWN), None
    if kind is StatementKind.BEGIN and rest:
        is_read = rest == "READ"
        kind = StatementKind.BEGIN_READ if is_read else StatementKind.UNKNOWN
    if kind is StatementKind.PREPARE:
        way, _, shape_text = argument.partition(" ")
        if way in {"READ", "WRITE"} and shape_text:
            shape = Shape(writes=way == "WRITE", text=shape_text)
        else:
            kind = StatementKind.UNKNOWN
    if kind in _NAMED_KINDS and not name:
        kind = StatementKind.UNKNOWN
    return Statement(
        request_id=request_id,
        kind=kind,
        text=text,
        name=name,
        argument=argument,
        shape=shape,
    )


_STATEMENT_KINDS: Final = {
    "BEGIN": StatementKind.BEGIN,
    "COMMIT": StatementKind.COMMIT,
    "ROLLBACK": StatementKind.ROLLBACK,
    "READ": StatementKind.READ,
    "WRITE": StatementKind.WRITE,
    "SET": StatementKind.SET,
    "PREPARE": StatementKind.PREPARE,
    "EXECUTE": StatementKind.EXECUTE,
    "FORGET": StatementKind.FORGET,
}
_NAMED_KINDS: Final = {
    StatementKind.READ,
    StatementKind.WRITE,
    StatementKind.SET,
    StatementKind.PREPARE,
    StatementKind.EXECUTE,
    StatementKind.FORGET,
}


@attrs.define(kw_only=True)
class TargetLineCodec:
    """Codec of one connection to a target."""

    _lines: _LineBuffer = attrs.field(factory=_LineBuffer)
    _rows: list[str] = attrs.field(factory=list)
    _signature: str | None = None
    _fault: FaultCode | None = None
    _text: str = ""
    _is_open: bool = False

    def feed(self, data: bytes) -> list[Answer] | None:
        """Decode what the target sent."""
        found: list[Answer] = []
        for line in self._lines.feed(data):
            word, _, rest = line.partition(" ")
            if word == "READY":
                answer = self._finish(rest)
                if answer is None:
                    return None
                found.append(answer)
            elif not self._collect(word, rest):
                return None
            elif word == "ERROR" and not self._is_open:
                # A refused start has no state; the target closes.
                found.append(self._pop_answer(SessionState.FAILED, None))
        return None if self._lines.is_broken else found

    def resume(self) -> None:
        """Take over a connection whose start was answered."""
        self._is_open = True

    def encode_open(self, *, group: str, label: str, target: str) -> bytes:
        """Render the start of the connection."""
        return f"START {group} {label} {target}\r\n".encode()

    def encode_begin(
        self, *, is_read_only: bool, after: LogPoint | None
    ) -> bytes:
        """Render the start of a transaction."""
        text = "BEGIN READ" if is_read_only else "BEGIN"
        return _internal_query(_after_prefix(after) + text)

    def encode_statement(
        self, statement: Statement, *, shared: str, after: LogPoint | None
    ) -> bytes:
        """Render a caller's statement under its id, text unchanged."""
        text = statement.text
        if shared:
            text = f"EXECUTE {shared}"
            if statement.argument:
                text += f" {statement.argument}"
        return (
            f"QUERY {statement.request_id} {_after_prefix(after)}{text}\r\n"
        ).encode()

    def encode_rollback(self) -> bytes:
        """Render the end of a transaction that keeps nothing."""
        return _internal_query("ROLLBACK")

    def encode_reset(self) -> bytes:
        """Render the clearing of values and prepared names."""
        return _internal_query("RESET")

    def encode_set(self, name: str, value: str) -> bytes:
        """Render the setting of a variable."""
        return _internal_query(f"SET {name} {value}")

    def encode_prepare(self, shape: Shape) -> bytes:
        """Render the preparing of a shape under its shared name."""
        way = "WRITE" if shape.writes else "READ"
        return _internal_query(
            f"PREPARE {shared_name(shape)} {way} {shape.text}"
        )

    def encode_status(self) -> bytes:
        """Render the question for the target's status."""
        return _internal_query("STATUS")

    def _collect(self, word: str, rest: str) -> bool:
        if word == "ROW":
            self._rows.append(rest)
        elif word == "DONE":
            self._signature = rest
        elif word == "ERROR":
            code, _, self._text = rest.partition(" ")
            self._fault = _FAULT_CODES.get(code, FaultCode.OTHER)
        else:
            return False
        return True

    def _finish(self, rest: str) -> Answer | None:
        state_text, _, point_text = rest.partition(" ")
        state = _STATE_BY_CODE.get(state_text)
        is_whole = self._signature is not None or self._fault is not None
        if state is None or (self._is_open and not is_whole):
            return None
        self._is_open = True
        return self._pop_answer(state, _parse_point(point_text))

    def _pop_answer(
        self, state: SessionState, point: LogPoint | None
    ) -> Answer:
        answer = Answer(
            rows=tuple(self._rows),
            signature=self._signature or "",
            fault=self._fault,
            text=self._text,
            state=state,
            point=point,
        )
        self._rows = []
        self._signature, self._fault, self._text = None, None, ""
        return answer


def _internal_query(text: str) -> bytes:
    return f"QUERY {_NO_ID} {text}\r\n".encode()


def _after_prefix(point: LogPoint | None) -> str:
    return f"AFTER {point.term}.{point.position} " if point else ""


def _parse_point(text: str) -> LogPoint | None:
    term, dot, number = text.partition(".")
    if not (dot and term.isdecimal() and number.isdecimal()):
        return None
    return LogPoint(term=int(term), position=int(number))
