"""Reading, comparing and applying inventory and rules documents."""

from __future__ import annotations

import difflib
import json
import time
import uuid
from typing import TYPE_CHECKING, Any, Final

import cattrs

from rosemarysaddle.decide import DocumentKind
from rosemarysaddle.operate._client import AdminFault
from rosemarysaddle.schema import Inventory, Rules, SchemaFault, load_file

if TYPE_CHECKING:
    from rosemarysaddle.operate._client import AdminClient

__all__ = ("apply_document", "diff_document", "read_document_file")

MAX_ATTEMPTS: Final = 3
RETRY_DELAY_S: Final = 0.2
_DOCUMENT_CLASSES: Final[dict[str, type[Inventory | Rules]]] = {
    DocumentKind.INVENTORY: Inventory,
    DocumentKind.RULES: Rules,
}


def read_document_file(kind: str, path: str) -> Any | SchemaFault:
    """Read and check a document from a file.

    :param kind: kind of document, inventory or rules
    :return: the document in JSON form, or the fault found in it
    """
    loaded = load_file(_DOCUMENT_CLASSES[kind], path)
    if isinstance(loaded, SchemaFault):
        return loaded
    return cattrs.unstructure(loaded)


def diff_document(
    client: AdminClient, kind: str, document: Any
) -> str | AdminFault:
    """Compare a document with the version in force.

    :return: unified diff, empty if the documents are equal, or the
        fault of the request
    """
    response = client.request("GET", f"/admin/documents/{kind}")
    if isinstance(response, AdminFault):
        return response
    _, body = response
    lines = difflib.unified_diff(
        _json_lines(body["document"]),
        _json_lines(document),
        f"version {body['version']}",
        "file",
        lineterm="",
    )
    return "\n".join(lines)


def apply_document(
    client: AdminClient,
    kind: str,
    document: Any,
    *,
    base_version: int,
    change_id: str = "",
) -> dict[str, Any] | AdminFault:
    """Submit a changed document.

    Retries under the same ``change_id`` if no valid answer arrives.

    :param base_version: version that the change is based on
    :param change_id: id of an earlier attempt, or empty for a new one
    :return: the answer with its ``change_id``, the fault of the last
        attempt, or the outcome ``unknown`` if its answer was not valid
    """
    change_id = change_id or str(uuid.uuid4())
    body = {
        "change_id": change_id,
        "base_version": base_version,
        "document": document,
    }
    result: tuple[int, Any] | AdminFault
    for _ in range(MAX_ATTEMPTS):
        result = client.request("POST", f"/admin/documents/{kind}", body)
        if isinstance(result, tuple) and isinstance(result[1], dict):
            return {**result[1], "change_id": change_id}
        time.sleep(RETRY_DELAY_S)
    if isinstance(result, AdminFault):
        return result
    return {"outcome": "unknown", "reason": str(result[1])}


def _json_lines(document: Any) -> list[str]:
    return json.dumps(document, indent=2, sort_keys=True).splitlines()
