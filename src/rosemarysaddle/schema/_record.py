"""Base of the generated classes.

A process builds each class at its start.  attrs compiles the methods of
a class when it is built, which takes longer than all other work of an
import, so that the generated classes hold their methods as source text
instead.  attrs still knows their fields: ``attrs.evolve``,
``attrs.asdict``, ``attrs.fields`` and cattrs work as for its own
classes.
"""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, ClassVar

if TYPE_CHECKING:
    # Makes type checkers treat the generated classes as attrs classes.
    from attrs import frozen as record
else:

    def record(*, kw_only: bool, init: bool) -> Any:
        """Return a decorator that leaves a class as it is.

        :param kw_only: for type checkers
        :param init: for type checkers
        """
        del kw_only, init
        return lambda record_class: record_class


__all__ = ("Record", "record")


class _Fields:
    """Attribute that builds the attrs fields of a class when read."""

    def __get__(self, instance: object, owner: type) -> Any:
        if owner is Record:
            raise AttributeError
        return _attrs_fields(owner)


class Record:
    """Immutable object that is compared by its values."""

    __slots__ = ()
    # Values that must not get into a log line with their object.
    _hidden_fields: ClassVar[tuple[str, ...]] = ()
    if not TYPE_CHECKING:
        __attrs_attrs__ = _Fields()

    def __setattr__(self, name: str, value: object) -> None:
        """Refuse to change a value."""
        raise _frozen_error()

    def __delattr__(self, name: str) -> None:
        """Refuse to remove a value."""
        raise _frozen_error()

    def __eq__(self, other: object) -> bool:
        """Compare the values of two objects of the same class."""
        if other.__class__ is not self.__class__:
            return NotImplemented
        return _values(self) == _values(other)

    def __hash__(self) -> int:
        """Hash the values."""
        return hash((self.__class__, _values(self)))

    def __repr__(self) -> str:
        """Format as a call of the constructor."""
        names = [n for n in _names(self) if n not in self._hidden_fields]
        text = ", ".join(f"{name}={getattr(self, name)!r}" for name in names)
        return f"{self.__class__.__qualname__}({text})"

    def __reduce__(self) -> tuple[Any, ...]:
        """Copy and pickle by a call of the constructor."""
        values = dict(zip(_names(self), _values(self), strict=True))
        return functools.partial(self.__class__, **values), ()


def _names(instance: object) -> tuple[str, ...]:
    # Only the classes below Record have fields.
    names: tuple[str, ...] = type(instance).__slots__  # type: ignore[attr-defined]
    return names


def _values(instance: object) -> tuple[Any, ...]:
    return tuple([getattr(instance, name) for name in _names(instance)])


def _frozen_error() -> Exception:
    import attrs  # noqa: PLC0415  # only where an object is misused

    return attrs.exceptions.FrozenInstanceError()


@functools.cache
def _attrs_fields(record_class: type) -> Any:
    import inspect  # noqa: PLC0415  # only where the fields are read

    import attrs  # noqa: PLC0415

    parameters = inspect.signature(record_class).parameters
    fields: dict[str, Any] = {
        name: attrs.field(
            type=record_class.__annotations__[name],
            default=(
                attrs.NOTHING
                if parameter.default is inspect.Parameter.empty
                else parameter.default
            ),
        )
        for name, parameter in parameters.items()
    }
    return attrs.fields(
        attrs.make_class(record_class.__name__, fields, kw_only=True)
    )
