"""Read optional fields of decoded JSON objects and check their types."""

from __future__ import annotations

from typing import Any


class BadFieldError(ValueError):
    """A field whose value does not match the platform's documentation."""


def get_number(data: dict[str, Any], name: str, default: float = 0) -> float:
    """Return a number of at least 0, or the default if the field is missing.

    :raises BadFieldError: if the value is negative or not a number.
    """
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or value < 0:
        raise BadFieldError(f"{name} must be a number of at least 0")
    return value


def get_integer(data: dict[str, Any], name: str, default: int = 0) -> int:
    """Return an integer of at least 0, or the default if the field is missing.

    :raises BadFieldError: if the value is negative or not an integer.
    """
    value = data.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise BadFieldError(f"{name} must be a whole number of at least 0")
    return value


def get_string(data: dict[str, Any], name: str, default: str = "") -> str:
    """Return a string, or the default if the field is missing.

    :raises BadFieldError: if the value is not a string.
    """
    value = data.get(name, default)
    if not isinstance(value, str):
        raise BadFieldError(f"{name} must be a string")
    return value


def get_boolean(data: dict[str, Any], name: str) -> bool:
    """Return a boolean, ``False`` if the field is missing.

    :raises BadFieldError: if the value is not a boolean.
    """
    value = data.get(name, False)
    if not isinstance(value, bool):
        raise BadFieldError(f"{name} must be true or false")
    return value


def get_list(data: dict[str, Any], name: str) -> list[Any]:
    """Return a list, empty if the field is missing.

    :raises BadFieldError: if the value is not a list.
    """
    value = data.get(name, [])
    if not isinstance(value, list):
        raise BadFieldError(f"{name} must be a list")
    return value


def get_object(data: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a JSON object, empty if the field is missing, null or otherwise falsy.

    :raises BadFieldError: if the value is neither falsy nor an object.
    """
    value = data.get(name) or {}
    if not isinstance(value, dict):
        raise BadFieldError(f"{name} must be an object")
    return value
