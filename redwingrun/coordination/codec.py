"""Conversion between flat attrs classes and JSON row values."""

from __future__ import annotations

from typing import Any, TypeVar

import orjson
from attrs import asdict, fields_dict

T = TypeVar("T")


def encode(value: Any) -> str:
    """Return the canonical JSON text of an attrs object.

    Keys are sorted so that equal objects have the same text and digest.
    """
    fields = asdict(value, recurse=True)
    return orjson.dumps(fields, option=orjson.OPT_SORT_KEYS).decode()


def decode(cls: type[T], text: str) -> T:
    """Return an instance of ``cls`` from JSON text.

    Unknown keys are ignored because a newer release may have written the row.

    :raises ValueError: if the text is not a JSON object or a required field is
        missing.
    """
    fields = orjson.loads(text)
    if not isinstance(fields, dict):
        raise ValueError(f"{cls.__name__} row must be a JSON object")
    known = fields_dict(cls)
    try:
        return cls(**{key: value for key, value in fields.items() if key in known})
    except TypeError as error:
        raise ValueError(f"invalid {cls.__name__} row: {error}") from error
