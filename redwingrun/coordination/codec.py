"""Flat attrs classes to JSON row values and back."""

from __future__ import annotations

from typing import Any, TypeVar

import orjson
from attrs import asdict, fields_dict

T = TypeVar("T")


def encode(value: Any) -> str:
    """Return the canonical JSON text of an attrs object.

    Keys are sorted, so that equal objects have equal text and digest.
    """
    plain = asdict(value, recurse=True)
    return orjson.dumps(plain, option=orjson.OPT_SORT_KEYS).decode()


def decode(cls: type[T], text: str) -> T:
    """Return an object of ``cls`` from JSON text.

    Unknown keys are dropped: a newer release may have written the row.

    :raises ValueError: when the text is not an object or lacks a field.
    """
    plain = orjson.loads(text)
    if not isinstance(plain, dict):
        raise ValueError(f"a row of {cls.__name__} must be a JSON object")
    known = fields_dict(cls)
    try:
        return cls(**{key: value for key, value in plain.items() if key in known})
    except TypeError as error:
        raise ValueError(f"not a row of {cls.__name__}: {error}") from error
