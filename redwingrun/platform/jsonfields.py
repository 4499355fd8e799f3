"""Reading fields that may be missing or of another type."""

from __future__ import annotations

from typing import Any


class BadFieldError(ValueError):
    """A field that isn't what the platform's pages say."""


def number(plain: dict[str, Any], name: str, default: float = 0) -> float:
    """Return a number that is not negative.

    :raises BadFieldError: for another type or a negative value.
    """
    value = plain.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise BadFieldError(f"{name} must be a number of at least 0")
    return value


def whole(plain: dict[str, Any], name: str, default: int = 0) -> int:
    """Return a whole number that is not negative.

    :raises BadFieldError: for anything else.
    """
    value = plain.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise BadFieldError(f"{name} must be a whole number of at least 0")
    return value


def text(plain: dict[str, Any], name: str, default: str = "") -> str:
    """Return a string.

    :raises BadFieldError: for another type.
    """
    value = plain.get(name, default)
    if not isinstance(value, str):
        raise BadFieldError(f"{name} must be a string")
    return value


def flag(plain: dict[str, Any], name: str) -> bool:
    """Return a flag that may be missing.

    :raises BadFieldError: for another type.
    """
    value = plain.get(name, False)
    if not isinstance(value, bool):
        raise BadFieldError(f"{name} must be true or false")
    return value


def items(plain: dict[str, Any], name: str) -> list[Any]:
    """Return a list that may be missing.

    :raises BadFieldError: for another type.
    """
    value = plain.get(name, [])
    if not isinstance(value, list):
        raise BadFieldError(f"{name} must be a list")
    return value


def table(plain: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a table that may be missing.

    :raises BadFieldError: for another type.
    """
    value = plain.get(name) or {}
    if not isinstance(value, dict):
        raise BadFieldError(f"{name} must be a table")
    return value
