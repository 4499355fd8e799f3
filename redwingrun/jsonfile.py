"""JSON with comments from a file, with lines for error messages."""

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
    """One parsed file and the text that it came from."""

    name: str
    text: str
    value: dict[str, Any]
    duplicate_keys: list[str] = field(factory=list)

    def line_of(self, *path: str) -> int:
        """Return the line of a key, found by looking for each key in turn.

        :return: 0 when the text does not have the keys.
        """
        position = 0
        found = 0
        for key in path:
            match = re.compile(rf'"{re.escape(key)}"\s*:').search(self.text, position)
            if match is None:
                break
            position = match.end()
            found = match.start()
        return self.text.count("\n", 0, found) + 1 if position else 0


def read_json_file(path: Path) -> JsonFile:
    """Read and parse a file.

    :raises InvalidInput: when it can't be read, is too large, or isn't an object.
    """
    return parse_json(str(path), _read_text(path))


def _read_text(path: Path) -> str:
    try:
        size = path.stat().st_size
        if size > MAX_FILE_BYTES:
            problem = f"{size} bytes are more than the {MAX_FILE_BYTES} allowed"
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
    """Parse text; ``name`` stands for the file in error messages."""
    # Imported late: the daemons read settings once, and the parser is not small.
    import jsonc

    duplicates: list[str] = []
    if not text.strip():
        raise InvalidInput([Fault(name, 1, "", "the file is empty", "start with {}")])
    try:
        value = jsonc.loads(
            text, object_pairs_hook=lambda pairs: _pairs(pairs, duplicates)
        )
    except JSONDecodeError as error:
        fault = Fault(
            name, error.lineno, "", f"not JSON: {error.msg}", "mend the syntax"
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


def _pairs(pairs: list[tuple[str, Any]], duplicates: list[str]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            duplicates.append(key)
        result[key] = value
    return result
