"""Check of documents with the whole JSON schema."""

from __future__ import annotations

import functools
import json
import re
from pathlib import Path
from typing import Any, Final

import jsonschema

from rosemarysaddle.schema._check import SchemaFault

__all__ = ("find_fault",)

_FOLDER: Final = Path(__file__).parent


def find_fault(
    document_class: type,
    value: Any,
    *,
    source: str,
    show_values: bool = True,
) -> SchemaFault | None:
    """Validate a decoded document.

    :param document_class: generated class of the document
    :param value: decoded JSON value
    :param source: file or peer to name in a fault
    :param show_values: whether a fault may show values of the document
    :return: the fault that tells most about what is wrong, or None
    """
    error = jsonschema.exceptions.best_match(
        _validator(_schema_name(document_class)).iter_errors(value)
    )
    if error is None:
        return None
    reason = error.message if show_values else _describe_rule(error)
    return SchemaFault(source=source, path=error.json_path, reason=reason)


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
