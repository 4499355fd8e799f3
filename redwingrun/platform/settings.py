"""The settings file that the platform writes for each process."""

from __future__ import annotations

import os
from enum import Enum
from pathlib import Path
from typing import Any

import orjson
from attrs import frozen

from redwingrun.errors import RedwingrunError

SETTINGS_VARIABLE = "REDWINGRUN_BOOT"
# Names of optional features, separated by commas.
FEATURES_VARIABLE = "REDWINGRUN_FEATURES"
# Of the smallest host, for settings that name no limits.
SMALLEST_MEMORY_MB = 160.0
SMALLEST_MAX_DESCRIPTORS = 1638
DEFAULT_REVOKE_TIMEOUT_MS = 5000
DEFAULT_HEADER_TIMEOUT_MS = 3000


class SettingsError(RedwingrunError):
    """The settings file is missing, unreadable or lacks a required field."""


@frozen
class TimeBounds:
    """Bounds of the platform that affect scheduling and shutdown.

    :param grace_s: time between SIGTERM and SIGKILL.
    :param early_s: how long before its due time a scheduled task may start.
    :param config_deadline_s: time after which a new configuration must be used.
    :param far_factor: factor by which a task takes longer away from its data.
    :param keep_results_s: how long clients may ask for a finished job's state.
    :param max_lease_s: a minion shortens a longer lease to this.
    :param revocation_timeout_s: time within which a revoked key must stop working;
        ``None`` if there is no such limit.
    :param stop_timeout_s: a stopped run has ended and saved its checkpoint after this.
    """

    grace_s: float = 6.0
    early_s: float = 0.25
    config_deadline_s: float = 2.0
    far_factor: float = 2.0
    keep_results_s: float = 120.0
    max_lease_s: float = 10.0
    revocation_timeout_s: float | None = None
    stop_timeout_s: float = 0.9


class Feature(Enum):
    """An optional feature, off unless the deployment names it."""

    PREEMPTION = "preemption"
    RUN_TIMES = "run-times"
    INTERFERENCE = "interference"


@frozen
class PlatformSettings:
    """The settings of one process. All addresses are IP and port.

    :param node: name of the host.
    :param zone: name of the data centre, empty if unknown.
    :param ip: address that peers reach the process at, without a port.
    :param front: address to listen on for clients.
    :param ready: address to listen on for readiness checks and metrics.
    :param peer_port: port for calls between members, the first one of ``portRange``.
    :param store: address of the platform's store.
    :param advice: address of the placement policy; empty when there is none.
    :param speed: speed of the host's processor share; 1.0 is one core of ordinary
        speed.
    :param memory_mb: memory of the host, in MiB.
    :param max_descriptors: most open file descriptors of the process.
    :param header_timeout_s: time in which the headers of a request must arrive.
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
    memory_mb: float = SMALLEST_MEMORY_MB
    max_descriptors: int = SMALLEST_MAX_DESCRIPTORS
    header_timeout_s: float = DEFAULT_HEADER_TIMEOUT_MS / 1000


def settings_path() -> Path:
    """Return the path of the settings file.

    :raises SettingsError: if the environment variable is not set.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(f"{SETTINGS_VARIABLE} is not set")
    return Path(path)


def load_settings(path: Path) -> PlatformSettings:
    """Read the settings file, whose fields the deployment's template fills in as JSON.

    :raises SettingsError: if the file can't be read, or a required field is missing
        or has the wrong type; the message names the path and the error.
    """
    try:
        data = orjson.loads(path.read_bytes())
        return _decode(data)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (ValueError, KeyError, TypeError, IndexError) as error:
        raise SettingsError(f"{path}: invalid settings: {error!r}") from error


def _decode(data: dict[str, Any]) -> PlatformSettings:
    listen = data["listen"]
    bounds = data.get("bounds") or {}
    defaults = TimeBounds()
    limits = data.get("limits") or {}
    return PlatformSettings(
        node=data["nodeName"],
        zone=data.get("zone") or "",
        ip=data["bindIp"],
        front=listen["front"],
        ready=listen["ready"],
        peer_port=int(data["portRange"][0]),
        store=data["platform"]["address"],
        advice=data.get("advice") or "",
        bounds=TimeBounds(
            grace_s=float(bounds.get("gracePeriodS", defaults.grace_s)),
            early_s=float(bounds.get("early_ms", defaults.early_s * 1000)) / 1000,
            config_deadline_s=float(
                bounds.get("configDeadlineMs", defaults.config_deadline_s * 1000)
            )
            / 1000,
            far_factor=float(bounds.get("farX", defaults.far_factor)),
            keep_results_s=float(bounds.get("status_s", defaults.keep_results_s)),
            max_lease_s=float(bounds.get("holdMaxMs", defaults.max_lease_s * 1000))
            / 1000,
            revocation_timeout_s=_revocation_timeout_s(bounds),
            stop_timeout_s=float(
                bounds.get("stopTimeoutMs", defaults.stop_timeout_s * 1000)
            )
            / 1000,
        ),
        # The platform gives the speed of a core as a number of ordinary cores.
        speed=float(limits.get("cpuShare") or 1.0)
        * float(limits.get("cpuCores") or 1.0),
        memory_mb=float(limits.get("memoryMb") or SMALLEST_MEMORY_MB),
        max_descriptors=int(limits.get("maxFds") or SMALLEST_MAX_DESCRIPTORS),
        header_timeout_s=float(
            limits.get("headerTimeoutMs") or DEFAULT_HEADER_TIMEOUT_MS
        )
        / 1000,
    )


def _revocation_timeout_s(bounds: dict[str, Any]) -> float | None:
    if not bounds.get("strictRevoke"):
        return None
    return float(bounds.get("revokeTimeoutMs", DEFAULT_REVOKE_TIMEOUT_MS)) / 1000


def load_features() -> frozenset[Feature]:
    """Return the optional features that the deployment switches on.

    :raises SettingsError: if it names one that does not exist.
    """
    names = os.environ.get(FEATURES_VARIABLE, "").split(",")
    try:
        return frozenset(Feature(name.strip()) for name in names if name.strip())
    except ValueError as error:
        known = ", ".join(feature.value for feature in Feature)
        raise SettingsError(f"{FEATURES_VARIABLE}: {error}; known: {known}") from error
