"""Read JSON files with comments, and find the line of a key for error messages."""

from __future__ import annotations

import re
from json import JSONDecodeError
from pathlib import Path
from typing import Any

from attrs import define, field

from redwingrun.errors import Fault, InvalidInput

MAX_FILE_BYTES = 8 * 1024 * 1024


@define
class JsonFile:
    """One parsed file with its text.

    :param name: path of the file, as error messages name it.
    :param duplicate_keys: keys that occur more than once in an object.
    """

    name: str
    text: str
    value: dict[str, Any]
    duplicate_keys: list[str] = field(factory=list)

    def line_of(self, *path: str) -> int:
        """Return the line of a nested key, searching for the keys of its path in order.

        The search is textual and stops at the first key that is not found.

        :return: line counted from 1; 0 if not even the first key is found.
        """
        search_from = 0
        found_at = 0
        for key in path:
            match = re.compile(rf'"{re.escape(key)}"\s*:').search(
                self.text, search_from
            )
            if match is None:
                break
            search_from = match.end()
            found_at = match.start()
        return self.text.count("\n", 0, found_at) + 1 if search_from else 0


def read_json_file(path: Path) -> JsonFile:
    """Read and parse a file.

    :raises InvalidInput: if it can't be read, is larger than 8 MiB, is not UTF-8
        or is not a JSON object.
    """
    return parse_json(str(path), _read_text(path))


def _read_text(path: Path) -> str:
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            problem = (
                f"the file has {size} bytes, more than the {MAX_FILE_BYTES} allowed"
            )
            raise InvalidInput([Fault(str(path), 0, "", problem, "split the file")])
        return path.read_text(encoding="utf-8")
    except OSError as error:
        reason = error.strerror or str(error)
        raise InvalidInput(
            [Fault(str(path), 0, "", reason, "check the path")]
        ) from error
    except UnicodeDecodeError as error:
        problem = f"byte {error.start} is not UTF-8"
        raise InvalidInput(
            [Fault(str(path), 0, "", problem, "save it as UTF-8")]
        ) from error


def parse_json(name: str, text: str) -> JsonFile:
    """Parse text as JSON with comments.

    :param name: name of the file in error messages.
    :raises InvalidInput: if the text is not a JSON object.
    """
    # Imported on first use, because the parser is large and daemons read their
    # settings only once.
    import jsonc

    duplicates: list[str] = []
    if not text.strip():
        raise InvalidInput([Fault(name, 1, "", "the file is empty", "start with {}")])
    try:
        value = jsonc.loads(
            text, object_pairs_hook=lambda pairs: _dict_from(pairs, duplicates)
        )
    except JSONDecodeError as error:
        fault = Fault(
            name, error.lineno, "", f"not JSON: {error.msg}", "correct the syntax"
        )
        raise InvalidInput([fault]) from error
    except RecursionError as error:
        fault = Fault(name, 0, "", "nested too deeply", "flatten it")
        raise InvalidInput([fault]) from error
    if not isinstance(value, dict):
        fault = Fault(
            name, 1, "", "the file must hold one JSON object", "wrap it in {}"
        )
        raise InvalidInput([fault])
    return JsonFile(name, text, value, duplicates)


def _dict_from(pairs: list[tuple[str, Any]], duplicates: list[str]) -> dict[str, Any]:
    """Return the pairs as a dictionary, and append duplicate keys to the list."""
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            duplicates.append(key)
        result[key] = value
    return result
