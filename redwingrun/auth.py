"""Authentication: tokens of callers and operators, and the daemons' secret."""

from __future__ import annotations

import hashlib
import hmac
from pathlib import Path

from attrs import frozen

from redwingrun.checkedfields import build_checked, checked_field, one_of, string
from redwingrun.errors import Fault, InvalidInput
from redwingrun.jsonfile import JsonFile, read_json_file

CALLER = "caller"
OPERATOR = "operator"
BEARER = "Bearer "
MIN_SECRET_CHARACTERS = 16


@frozen(kw_only=True)
class Identity:
    """The caller or operator that a token identifies."""

    name: str = checked_field("name for the audit trail", string())
    role: str = checked_field("caller or operator", one_of(CALLER, OPERATOR))
    team: str = checked_field("team of a caller", string(empty=True), "")

    @property
    def is_operator(self) -> bool:
        """Whether this is an operator, not a caller."""
        return self.role == OPERATOR


class TokenStore:
    """Finds the identity of a token, comparing in constant time.

    Keeps only digests of the tokens in memory.
    """

    def __init__(self, identity_by_token: dict[str, Identity]):
        self._identity_by_digest = {
            _digest(token): identity for token, identity in identity_by_token.items()
        }

    @classmethod
    def load(cls, path: Path) -> TokenStore:
        """Read a token file, a JSON object of identities by token.

        :raises InvalidInput: if the file is not valid; the message names every
            fault by the token's position, never by the token.
        """
        source = read_json_file(path)
        faults: list[Fault] = []
        identity_by_token = {}
        for position, (token, data) in enumerate(source.value.items(), start=1):
            identity = _checked_identity(source, position, token, data, faults)
            if identity is not None:
                identity_by_token[token] = identity
        if faults:
            raise InvalidInput(faults)
        return cls(identity_by_token)

    def identify(self, authorization: str) -> Identity | None:
        """Return the identity of an ``Authorization`` header, ``None`` if unknown."""
        if not authorization.startswith(BEARER):
            return None
        given_digest = _digest(authorization[len(BEARER) :])
        found = None
        # Compare with every digest: the time must not reveal which one matched.
        for known_digest, identity in self._identity_by_digest.items():
            if hmac.compare_digest(given_digest, known_digest):
                found = identity
        return found


def _checked_identity(
    source: JsonFile, position: int, token: str, data: object, faults: list[Fault]
) -> Identity | None:
    """Return one identity of a token file, or add its faults to the list.

    The faults name the position, because the token itself is secret.
    """
    identity, problems = build_checked(Identity, data)
    subject = f"token number {position}"
    line = source.line_of(token)
    for item in problems:
        problem = f"{item.name}: {item.problem}" if item.name else item.problem
        faults.append(Fault(source.name, line, subject, problem, item.remedy))
    if len(token) < MIN_SECRET_CHARACTERS:
        problem = f"has fewer than {MIN_SECRET_CHARACTERS} characters"
        faults.append(Fault(source.name, line, subject, problem, "use a longer token"))
    if identity is not None and identity.role == CALLER and not identity.team:
        faults.append(
            Fault(source.name, line, subject, "a caller needs a team", "add one")
        )
    return identity


def load_secret(path: Path) -> str:
    """Read the secret with which daemons authenticate to each other.

    :raises InvalidInput: if the file can't be read or the secret is too short.
    """
    try:
        secret = path.read_text(encoding="utf-8").strip()
    except OSError as error:
        reason = error.strerror or str(error)
        raise InvalidInput(
            [Fault(str(path), 0, "", reason, "check the path")]
        ) from error
    if len(secret) < MIN_SECRET_CHARACTERS:
        problem = f"the secret has fewer than {MIN_SECRET_CHARACTERS} characters"
        raise InvalidInput([Fault(str(path), 1, "", problem, "use a longer one")])
    return secret


def secrets_equal(given: str, known: str) -> bool:
    """Compare two secrets in constant time."""
    return hmac.compare_digest(given.encode(), known.encode())


def _digest(token: str) -> bytes:
    return hashlib.sha256(token.encode()).digest()
