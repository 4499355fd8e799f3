"""Declare fields with a check and a help text, and build objects from JSON."""

from __future__ import annotations

import difflib
import math
from collections.abc import Callable
from typing import Any

import attrs
from attrs import frozen

HELP = "help"
CHECK = "check"
# Returns what is wrong with a value, or None for a valid value.
Check = Callable[[Any], str | None]


@frozen
class FieldProblem:
    """One field with a missing or invalid value.

    :param name: the field's name as in the file; empty for the whole object.
    :param remedy: how to correct it, or the field's help text; may be empty.
    """

    name: str
    problem: str
    remedy: str = ""


def checked_field(help_text: str, check: Check, default: Any = attrs.NOTHING) -> Any:
    """Return an attrs field with a help text, a check and an optional default."""
    metadata = {HELP: help_text, CHECK: check}
    if isinstance(default, (dict, list)):
        kind = type(default)
        return attrs.field(
            factory=lambda: kind(default), metadata=metadata, kw_only=True
        )
    return attrs.field(default=default, metadata=metadata, kw_only=True)


def number(low: float, high: float) -> Check:
    """Return a check for a finite number from ``low`` to ``high``."""

    def check(value: Any) -> str | None:
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not is_number or not math.isfinite(value):
            return f"{value!r} is not a number"
        if not low <= value <= high:
            return f"{value!r} is outside {low:g} to {high:g}"
        return None

    return check


def integer(low: int, high: int) -> Check:
    """Return a check for an integer from ``low`` to ``high``."""

    def check(value: Any) -> str | None:
        if not isinstance(value, int) or isinstance(value, bool):
            return f"{value!r} is not a whole number"
        if not low <= value <= high:
            return f"{value!r} is outside {low} to {high}"
        return None

    return check


def string(max_length: int = 200, *, empty: bool = False) -> Check:
    """Return a check for a string of at most ``max_length`` characters."""

    def check(value: Any) -> str | None:
        if not isinstance(value, str):
            return f"{value!r} is not a string"
        if not value and not empty:
            return "must not be empty"
        if len(value) > max_length:
            return f"has {len(value)} characters, more than {max_length}"
        return None

    return check


def boolean() -> Check:
    """Return a check for a boolean."""
    return lambda value: (
        None if isinstance(value, bool) else f"{value!r} is not true or false"
    )


def one_of(*choices: str) -> Check:
    """Return a check for one of several strings."""

    def check(value: Any) -> str | None:
        if value in choices:
            return None
        return (
            f"{value!r} is not one of {', '.join(choices)}"
            f"{did_you_mean(value, choices)}"
        )

    return check


def string_list() -> Check:
    """Return a check for a list of strings."""

    def check(value: Any) -> str | None:
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return None
        return f"{value!r} is not a list of strings"

    return check


def json_object() -> Check:
    """Return a check for a JSON object."""
    return lambda value: (
        None if isinstance(value, dict) else f"{value!r} is not an object"
    )


def did_you_mean(word: Any, known: Any) -> str:
    """Return a hint with the most similar known word, empty if none is similar."""
    close = difflib.get_close_matches(str(word), list(known), n=1)
    return f" (did you mean {close[0]!r}?)" if close else ""


def build_checked(cls: type, data: Any) -> tuple[Any, list[FieldProblem]]:
    """Build an object of an attrs class from decoded JSON.

    :return: the object and no problems, or ``None`` and all problems.
    """
    if not isinstance(data, dict):
        return None, [FieldProblem("", f"{data!r} is not an object")]
    known = attrs.fields_dict(cls)
    problems = [
        FieldProblem(
            key, f"unknown key{did_you_mean(key, known)}", "remove or correct it"
        )
        for key in data
        if key not in known
    ]
    for name, attribute in known.items():
        problems.extend(_field_problems(name, attribute, data))
    if problems:
        return None, problems
    return cls(**data), []


def _field_problems(
    name: str, attribute: attrs.Attribute, data: dict
) -> list[FieldProblem]:
    if name not in data:
        if attribute.default is attrs.NOTHING:
            return [FieldProblem(name, "is missing", attribute.metadata.get(HELP, ""))]
        return []
    problem = attribute.metadata[CHECK](data[name])
    return (
        [FieldProblem(name, problem, attribute.metadata.get(HELP, ""))]
        if problem
        else []
    )
