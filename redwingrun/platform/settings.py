"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Any

import orjson
from attrs import frozen

from redwingrun.errors import RedwingrunError

SETTINGS_VARIABLE = "REDWINGRUN_BOOT"


class SettingsError(RedwingrunError):
    """The settings file is missing or lacks what a process can't do without."""


@frozen
class TimeBounds:
    """The platform's bounds that decisions use.

    :param grace_s: between the request to stop and the kill.
    :param early_s: how early a scheduled task may start.
    :param far_factor: how much longer a task takes away from its data.
    :param keep_results_s: how long a finished job's state is asked for.
    """

    grace_s: float = 6.0
    early_s: float = 0.25
    far_factor: float = 2.0
    keep_results_s: float = 120.0


@frozen
class PlatformSettings:
    """What a process is told at its start.

    :param speed: of the machine's processor share; 1.0 is a whole ordinary core.
    :param store: address of the platform's store.
    :param advice: address of the placement policy; empty when there is none.
    :param peer_port: first of the ports that are free for our own protocol.
    """

    node: str
    zone: str
    ip: str
    front: str
    ready: str
    peer_port: int
    store: str
    advice: str
    bounds: TimeBounds
    speed: float = 1.0


def settings_path() -> Path:
    """Return the path of the settings file.

    :raises SettingsError: when the environment doesn't name one.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read the settings, all fields of which the template writes as JSON.

    :raises SettingsError: with the path and what is wrong.
    """
    try:
        plain = orjson.loads(path.read_bytes())
        return _decode(plain)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise SettingsError(f"{path}: not usable: {error!r}") from error


def _decode(plain: dict[str, Any]) -> PlatformSettings:
    listen = plain["listen"]
    bounds = plain.get("bounds") or {}
    defaults = TimeBounds()
    limits = plain.get("limits") or {}
    return PlatformSettings(
        node=plain["nodeName"],
        zone=plain.get("zone") or "",
        ip=plain["bindIp"],
        front=listen["front"],
        ready=listen["ready"],
        peer_port=int(plain["portRange"][0]),
        store=plain["platform"]["address"],
        advice=plain.get("advice") or "",
        bounds=TimeBounds(
            grace_s=float(bounds.get("gracePeriodS", defaults.grace_s)),
            early_s=float(bounds.get("early_ms", defaults.early_s * 1000)) / 1000,
            far_factor=float(bounds.get("farX", defaults.far_factor)),
            keep_results_s=float(bounds.get("status_s", defaults.keep_results_s)),
        ),
        # The platform counts the speed of a core as a number of cores.
        speed=float(limits.get("cpuShare") or 1.0)
        * float(limits.get("cpuCores") or 1.0),
    )
