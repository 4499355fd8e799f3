"""What a member tells a peer about the configuration."""

from __future__ import annotations

from attrs import frozen


@frozen
class ConfigAnswer:
    """A peer's answer about the configuration.

    :param version: version of the configuration that the peer uses; 0 for none.
    :param age_s: seconds since the peer knew that it was the newest.
    :param encoded: the configuration, if it is newer than the one asked for.
    """

    version: int
    age_s: float
    encoded: str = ""
