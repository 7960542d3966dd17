"""Reading and checking of documents in JSON with comments."""

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
    """Sentinel for a document that does not match its schema.

    :param source: file or peer that the document came from
    :param path: JSON path of the faulty value
    :param reason: what is wrong with it
    """

    source: str
    path: str
    reason: str

    def __str__(self) -> str:
        """Render as one line."""
        return f"{self.source}: {self.path}: {self.reason}"


def load_file(document_class: type[T], path: str) -> T | SchemaFault:
    """Read and check one file.

    :param kind: generated class of the document
    :param path: path of the file
    :return: the document, or what is wrong with it
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return SchemaFault(source=path, path="$", reason=str(error))
    return load_document(document_class, text, source=path)


def load_document(
    document_class: type[T], text: str, *, source: str
) -> T | SchemaFault:
    """Parse and check one document.

    :param kind: generated class of the document
    :param text: JSON with comments
    :param source: file or peer named in a fault
    :return: the document, or what is wrong with it
    """
    if len(text) > MAX_DOCUMENT_BYTES:
        return SchemaFault(source=source, path="$", reason="too large")
    try:
        value = pyjson5.decode(text, maxdepth=32)
    except (pyjson5.Json5Exception, ValueError) as error:
        reason = str(error.args[0] if error.args else error)
        return SchemaFault(source=source, path="$", reason=reason)
    return parse_document(document_class, value, source=source)


def parse_document(
    document_class: type[T], value: Any, *, source: str
) -> T | SchemaFault:
    """Check one decoded document.

    :param kind: generated class of the document
    :param value: decoded JSON value
    :param source: file or peer named in a fault
    :return: the document, or what is wrong with it
    """
    error = jsonschema.exceptions.best_match(
        _validator(_schema_name(document_class)).iter_errors(value)
    )
    if error is not None:
        path = error.json_path
        return SchemaFault(source=source, path=path, reason=error.message)
    return _CONVERTER.structure(value, document_class)


def _schema_name(document_class: type) -> str:
    return re.sub("(?<!^)([A-Z])", r"_\1", document_class.__name__).lower()


@functools.cache
def _validator(stem: str) -> jsonschema.Draft202012Validator:
    schema = _schema(stem)
    if "x-defs-from" in schema:
        schema["$defs"] = _schema(schema["x-defs-from"])["$defs"]
    return jsonschema.Draft202012Validator(schema)


def _schema(stem: str) -> dict[str, Any]:
    text = (_FOLDER / f"{stem}.schema.json").read_text()
    found: dict[str, Any] = json.loads(text)
    return found
