"""Names of a package that are imported when they are first used."""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ("LazyNames",)


class LazyNames:
    """Names that a package offers, by the module that defines them.

    :param package: full name of the package
    :param modules: names by module, relative to the package
    """

    __slots__ = ("_module_of", "_package")

    def __init__(
        self, *, package: str, modules: Mapping[str, tuple[str, ...]]
    ) -> None:
        self._package = package
        self._module_of = {
            name: module for module, names in modules.items() for name in names
        }

    def load(self, name: str, namespace: dict[str, Any]) -> Any:
        """Import a name and keep it in the namespace of the package.

        :raise AttributeError: the package offers no such name
        """
        module_name = self._module_of.get(name)
        if module_name is None:
            message = f"module {self._package!r} has no attribute {name!r}"
            raise AttributeError(message)
        module = importlib.import_module(f"{self._package}.{module_name}")
        value = namespace[name] = getattr(module, name)
        return value
