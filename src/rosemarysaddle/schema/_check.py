"""Loading and validation of documents in JSON with comments.

A document is settings, an inventory, rules or a route plan.  Each is
validated against the JSON schema that its class was generated from.
"""

from __future__ import annotations

import functools
import json
import re
from typing import TYPE_CHECKING, Any, Final, TypeVar

import attrs

from rosemarysaddle.schema._readers import READERS, UncheckedError

if TYPE_CHECKING:
    import cattrs

__all__ = (
    "SchemaFault",
    "build_document",
    "load_document",
    "load_file",
    "parse_document",
)

MAX_DOCUMENT_BYTES: Final = 64 * 1024 * 1024
# A string of JSON does not continue on the next line, so that such a
# line is never part of a value.
_COMMENT_LINE: Final = re.compile(r"^[ \t]*//.*$", re.MULTILINE)

T = TypeVar("T")


@attrs.frozen(kw_only=True)
class SchemaFault:
    """Returned in place of a document that is unreadable or invalid.

    :param source: file or peer that the document came from
    :param path: JSON path of the invalid value
    :param reason: what is wrong with the value
    """

    source: str
    path: str
    reason: str

    def __str__(self) -> str:
        """Format as one line: source, path and reason."""
        return f"{self.source}: {self.path}: {self.reason}"


def load_file(document_class: type[T], path: str) -> T | SchemaFault:
    """Read a file and validate the document in it.

    :param document_class: generated class of the document
    :param path: path of the file
    :return: the document, or the fault found in it
    """
    try:
        # pathlib is imported by no other module that a start needs.
        with open(path, encoding="utf-8") as file:  # noqa: PTH123
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        return SchemaFault(source=path, path="$", reason=str(error))
    return load_document(document_class, text, source=path)


def load_document(
    document_class: type[T], text: str, *, source: str
) -> T | SchemaFault:
    """Parse and validate a document.

    :param document_class: generated class of the document
    :param text: JSON with comments
    :param source: file or peer to name in a fault
    :return: the document, or the fault found in it
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return SchemaFault(
            source=source,
            path="$",
            reason="document longer than 64 Mi characters",
        )
    # Most documents are JSON but for lines of comments, and most are
    # valid: then pyjson5 and jsonschema need not be imported.
    document = _load_plain(document_class, text)
    if document is not None:
        return document
    import pyjson5  # noqa: PLC0415

    try:
        value = pyjson5.decode(text, maxdepth=32)
    except (pyjson5.Json5Exception, ValueError) as error:
        reason = str(error.args[0] if error.args else error)
        return SchemaFault(source=source, path="$", reason=reason)
    return parse_document(document_class, value, source=source)


def _load_plain(document_class: type[T], text: str) -> T | None:
    """Load a valid document in JSON with lines of comments.

    :return: the document, or None if the text may be anything else
    """
    try:
        value = json.loads(_COMMENT_LINE.sub("", text))
    except (ValueError, RecursionError):
        return None
    return _read(document_class, value)


def parse_document(
    document_class: type[T],
    value: Any,
    *,
    source: str,
    show_values: bool = True,
) -> T | SchemaFault:
    """Validate a decoded document and build its class.

    :param document_class: generated class of the document
    :param value: decoded JSON value
    :param source: file or peer to name in a fault
    :param show_values: whether a fault may show values of the document
    :return: the document, or the fault found in it
    """
    document = _read(document_class, value)
    if document is not None:
        return document
    # Imported only for a document that the generated reader leaves
    # open, because the import takes longer than the start of a host.
    from rosemarysaddle.schema._full_check import find_fault  # noqa: PLC0415

    fault = find_fault(
        document_class, value, source=source, show_values=show_values
    )
    return fault or _structure(document_class, value)


def build_document(document_class: type[T], value: Any) -> T:
    """Build the class of a decoded document that was checked before.

    :param document_class: generated class of the document
    :param value: decoded JSON value
    """
    document = _read(document_class, value)
    if document is not None:
        return document
    return _structure(document_class, value)


def _read(document_class: type[T], value: Any) -> T | None:
    """Build a document, or return None if it may be invalid."""
    reader = READERS.get(document_class)
    if reader is None:
        return None
    try:
        document: T = reader(value)
    except UncheckedError:
        return None
    return document


def _structure(document_class: type[T], value: Any) -> T:
    return _converter().structure(value, document_class)


@functools.cache
def _converter() -> cattrs.Converter:
    import cattrs  # noqa: PLC0415  # used by few documents of a host

    return cattrs.Converter()
