"""Who calls: tokens of teams and operators, and the secret among daemons."""

from __future__ import annotations

import hashlib
import hmac
from pathlib import Path

from attrs import frozen

from redwingrun.checkedfields import build_checked, checked_field, one_of, text
from redwingrun.errors import Fault, InvalidInput
from redwingrun.jsonfile import JsonFile, read_json_file

CALLER = "caller"
OPERATOR = "operator"
BEARER = "Bearer "
MIN_SECRET_CHARACTERS = 16


@frozen(kw_only=True)
class Identity:
    """Who a token belongs to."""

    name: str = checked_field("name for the audit trail", text())
    role: str = checked_field("caller or operator", one_of(CALLER, OPERATOR))
    team: str = checked_field("team of a caller", text(empty=True), "")

    @property
    def is_operator(self) -> bool:
        """Whether this is an operator."""
        return self.role == OPERATOR


class TokenStore:
    """Identities by token; compares in constant time.

    Only digests of the tokens are kept in memory.
    """

    def __init__(self, identity_by_token: dict[str, Identity]):
        self._identity_by_digest = {
            _digest(token): identity for token, identity in identity_by_token.items()
        }

    @classmethod
    def load(cls, path: Path) -> TokenStore:
        """Read a token file, a JSON object of identities by token.

        :raises InvalidInput: names every fault, never a token.
        """
        source = read_json_file(path)
        faults: list[Fault] = []
        identity_by_token = {}
        for position, (token, plain) in enumerate(source.value.items(), start=1):
            identity = _identity(source, position, token, plain, faults)
            if identity is not None:
                identity_by_token[token] = identity
        if faults:
            raise InvalidInput(faults)
        return cls(identity_by_token)

    def identify(self, authorization: str) -> Identity | None:
        """Return who sends an ``Authorization`` header, ``None`` for a stranger."""
        if not authorization.startswith(BEARER):
            return None
        given = _digest(authorization[len(BEARER) :])
        found = None
        # Looks at every entry: the time must not tell which one matched.
        for known, identity in self._identity_by_digest.items():
            if hmac.compare_digest(given, known):
                found = identity
        return found


def _identity(
    source: JsonFile, position: int, token: str, plain: object, faults: list[Fault]
) -> Identity | None:
    identity, problems = build_checked(Identity, plain)
    subject = f"token number {position}"
    line = source.line_of(token)
    for item in problems:
        problem = f"{item.name}: {item.problem}" if item.name else item.problem
        faults.append(Fault(source.name, line, subject, problem, item.remedy))
    if len(token) < MIN_SECRET_CHARACTERS:
        problem = f"is shorter than {MIN_SECRET_CHARACTERS} characters"
        faults.append(Fault(source.name, line, subject, problem, "use a longer token"))
    if identity is not None and identity.role == CALLER and not identity.team:
        faults.append(
            Fault(source.name, line, subject, "a caller needs a team", "add one")
        )
    return identity


def load_secret(path: Path) -> str:
    """Read the secret that daemons show to each other.

    :raises InvalidInput: when it can't be read or is too short.
    """
    try:
        secret = path.read_text(encoding="utf-8").strip()
    except OSError as error:
        reason = error.strerror or str(error)
        raise InvalidInput(
            [Fault(str(path), 0, "", reason, "check the path")]
        ) from error
    if len(secret) < MIN_SECRET_CHARACTERS:
        problem = f"the secret is shorter than {MIN_SECRET_CHARACTERS} characters"
        raise InvalidInput([Fault(str(path), 1, "", problem, "write a longer one")])
    return secret


def secrets_equal(given: str, known: str) -> bool:
    """Compare two secrets in constant time."""
    return hmac.compare_digest(given.encode(), known.encode())


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
