"""Checked fields: kinds, bounds and help texts for settings and objects."""

from __future__ import annotations

import difflib
import math
from collections.abc import Callable
from typing import Any

import attrs
from attrs import frozen

HELP = "help"
CHECK = "check"
Check = Callable[[Any], str | None]


@frozen
class Problem:
    """One field that can't be taken.

    :param name: the field's name as the user wrote it.
    """

    name: str
    problem: str
    remedy: str = ""


def checked_field(help_text: str, check: Check, default: Any = attrs.NOTHING) -> Any:
    """Return an attrs field with a help text and a check."""
    metadata = {HELP: help_text, CHECK: check}
    if isinstance(default, (dict, list)):
        kind = type(default)
        return attrs.field(
            factory=lambda: kind(default), metadata=metadata, kw_only=True
        )
    return attrs.field(default=default, metadata=metadata, kw_only=True)


def number(low: float, high: float) -> Check:
    """Check for a finite number within bounds, both allowed."""

    def check(value: Any) -> str | None:
        plain = isinstance(value, (int, float)) and not isinstance(value, bool)
        if not plain or not math.isfinite(value):
            return f"{value!r} is not a number"
        if not low <= value <= high:
            return f"{value!r} is outside {low:g} to {high:g}"
        return None

    return check


def integer(low: int, high: int) -> Check:
    """Check for a whole number within bounds, both allowed."""

    def check(value: Any) -> str | None:
        if not isinstance(value, int) or isinstance(value, bool):
            return f"{value!r} is not a whole number"
        if not low <= value <= high:
            return f"{value!r} is outside {low} to {high}"
        return None

    return check


def text(max_length: int = 200, *, empty: bool = False) -> Check:
    """Check for a string."""

    def check(value: Any) -> str | None:
        if not isinstance(value, str):
            return f"{value!r} is not a string"
        if not value and not empty:
            return "must not be empty"
        if len(value) > max_length:
            return f"has {len(value)} characters, more than {max_length}"
        return None

    return check


def flag() -> Check:
    """Check for true or false."""
    return lambda value: (
        None if isinstance(value, bool) else f"{value!r} is not true or false"
    )


def one_of(*choices: str) -> Check:
    """Check for one of several words."""

    def check(value: Any) -> str | None:
        if value in choices:
            return None
        return f"{value!r} is not one of {', '.join(choices)}{nearest(value, choices)}"

    return check


def text_list() -> Check:
    """Check for a list of strings."""

    def check(value: Any) -> str | None:
        if isinstance(value, list) and all(isinstance(item, str) for item in value):
            return None
        return f"{value!r} is not a list of strings"

    return check


def mapping() -> Check:
    """Check for a JSON object."""
    return lambda value: (
        None if isinstance(value, dict) else f"{value!r} is not an object"
    )


def nearest(word: Any, known: Any) -> str:
    """Return a suggestion for a misspelt word, or nothing."""
    close = difflib.get_close_matches(str(word), list(known), n=1)
    return f" (did you mean {close[0]!r}?)" if close else ""


def build_checked(cls: type, plain: Any) -> tuple[Any, list[Problem]]:
    """Return an object of an attrs class from plain JSON, or all its problems."""
    if not isinstance(plain, dict):
        return None, [Problem("", f"{plain!r} is not an object")]
    known = attrs.fields_dict(cls)
    problems = [
        Problem(key, f"unknown key{nearest(key, known)}", "remove or correct it")
        for key in plain
        if key not in known
    ]
    for name, attribute in known.items():
        problems.extend(_field_problems(name, attribute, plain))
    if problems:
        return None, problems
    return cls(**plain), []


def _field_problems(
    name: str, attribute: attrs.Attribute, plain: dict
) -> list[Problem]:
    if name not in plain:
        if attribute.default is attrs.NOTHING:
            return [Problem(name, "is missing", attribute.metadata.get(HELP, ""))]
        return []
    problem = attribute.metadata[CHECK](plain[name])
    return [Problem(name, problem, attribute.metadata.get(HELP, ""))] if problem else []
