"""Loading and validation of documents in JSON with comments.

A document is settings, an inventory, rules or a route plan.  Each is
validated against the JSON schema that its class was generated from.
"""

from __future__ import annotations

import functools
import json
import re
from pathlib import Path
from typing import Any, Final, TypeVar

import attrs
import cattrs
import jsonschema
import pyjson5

__all__ = ("SchemaFault", "load_document", "load_file", "parse_document")

MAX_DOCUMENT_BYTES: Final = 64 * 1024 * 1024
_FOLDER: Final = Path(__file__).parent
_CONVERTER: Final = cattrs.Converter()

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
        text = Path(path).read_text(encoding="utf-8")
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
    try:
        value = pyjson5.decode(text, maxdepth=32)
    except (pyjson5.Json5Exception, ValueError) as error:
        reason = str(error.args[0] if error.args else error)
        return SchemaFault(source=source, path="$", reason=reason)
    return parse_document(document_class, value, source=source)


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
    error = jsonschema.exceptions.best_match(
        _validator(_schema_name(document_class)).iter_errors(value)
    )
    if error is not None:
        reason = error.message if show_values else _describe_rule(error)
        return SchemaFault(source=source, path=error.json_path, reason=reason)
    return _CONVERTER.structure(value, document_class)


def _describe_rule(error: jsonschema.ValidationError) -> str:
    """Describe a fault by the schema only."""
    # Names the missing property, which the schema defines.
    if error.validator == "required":
        return str(error.message)
    return f"value violates {error.validator}: {error.validator_value}"


def _schema_name(document_class: type) -> str:
    return re.sub("(?<!^)([A-Z])", r"_\1", document_class.__name__).lower()


@functools.cache
def _validator(stem: str) -> jsonschema.Draft202012Validator:
    schema = _schema(stem)
    # Names the schema that contains the definitions of this one.
    if "x-defs-from" in schema:
        schema["$defs"] = _schema(schema["x-defs-from"])["$defs"]
    return jsonschema.Draft202012Validator(schema)


def _schema(stem: str) -> dict[str, Any]:
    text = (_FOLDER / f"{stem}.schema.json").read_text()
    schema_body: dict[str, Any] = json.loads(text)
    return schema_body
