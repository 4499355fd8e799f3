"""Read optional fields of decoded JSON objects and check their types."""

from __future__ import annotations

from typing import Any

# Largest integer up to which all integers are exact in JSON of other programs.
MAX_NUMBER = 2**53


class BadFieldError(ValueError):
    """A field whose value does not match the platform's documentation."""


def get_number(data: dict[str, Any], name: str, default: float = 0) -> float:
    """Return a number of at least 0, or the default if the field is missing.

    :raises BadFieldError: if the value is negative, too large or not a number.
    """
    return checked_number(data.get(name, default), name)


def checked_number(value: Any, name: str) -> float:
    """Return a value that is a number from 0 to ``MAX_NUMBER``.

    :raises BadFieldError: if it is not.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadFieldError(f"{name} must be a number")
    if not 0 <= value <= MAX_NUMBER:
        raise BadFieldError(f"{name} must be a number from 0 to {MAX_NUMBER}")
    return value


def get_integer(data: dict[str, Any], name: str, default: int = 0) -> int:
    """Return an integer of at least 0, or the default if the field is missing.

    :raises BadFieldError: if the value is negative, too large or not an integer.
    """
    return checked_integer(data.get(name, default), name)


def checked_integer(value: Any, name: str) -> int:
    """Return a value that is an integer from 0 to ``MAX_NUMBER``.

    :raises BadFieldError: if it is not.
    """
    if not isinstance(value, int):
        raise BadFieldError(f"{name} must be a whole number")
    return int(checked_number(value, name))


def get_string(data: dict[str, Any], name: str, default: str = "") -> str:
    """Return a string, or the default if the field is missing.

    :raises BadFieldError: if the value is not a string.
    """
    return checked_string(data.get(name, default), name)


def checked_string(value: Any, name: str) -> str:
    """Return a value that is a string.

    :raises BadFieldError: if it is not.
    """
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


def get_objects(data: dict[str, Any], name: str) -> list[dict[str, Any]]:
    """Return a list of JSON objects, empty if the field is missing.

    :raises BadFieldError: if the value is not a list, or an element not an object.
    """
    values = get_list(data, name)
    if not all(isinstance(value, dict) for value in values):
        raise BadFieldError(f"{name} must be a list of objects")
    return values


def get_object(data: dict[str, Any], name: str) -> dict[str, Any]:
    """Return a JSON object, empty if the field is missing, null or otherwise falsy.

    :raises BadFieldError: if the value is neither falsy nor an object.
    """
    value = data.get(name) or {}
    if not isinstance(value, dict):
        raise BadFieldError(f"{name} must be an object")
    return value
