"""Settings of a daemon, and how they are read from a file."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import Any

import attrs
from attrs import frozen

from redwingrun.checkedfields import (
    HELP,
    build_checked,
    checked_field,
    integer,
    number,
    string,
)
from redwingrun.coordination.groupcommit import GroupCommitSettings
from redwingrun.coordination.members import LeaseSettings
from redwingrun.coordination.tasklease import TaskLeaseSettings
from redwingrun.errors import Fault, InvalidInput
from redwingrun.jsonfile import JsonFile, read_json_file

MAX_PORT = 65535


def _check_ip(value: Any) -> str | None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        return f"{value!r} is not an IP address"
    return None


def _check_url(value: Any) -> str | None:
    if isinstance(value, str) and value.startswith(("http://", "https://")):
        return None
    return f"{value!r} is not an http:// or https:// address"


@frozen(kw_only=True)
class Settings:
    """All settings of ``redwingrun-entry`` and ``redwingrun-placer``.

    Durations are in seconds, sizes in bytes. Create it with :func:`load_settings`.
    Components that need a setting receive the whole object.
    """

    host: str = checked_field("name of this host, the same for both daemons", string())
    data_centre: str = checked_field("name of the host's data centre", string())
    listen_ip: str = checked_field(
        "IP address to listen on, also published to peers", _check_ip
    )
    http_port: int = checked_field(
        "port for callers, operators and metrics", integer(1, MAX_PORT)
    )
    peer_port: int = checked_field("port for the other daemons", integer(1, MAX_PORT))
    peer_advertise_port: int = checked_field(
        "port at which peers reach this daemon, 0 for peer_port",
        integer(0, MAX_PORT),
        0,
    )
    table_url: str = checked_field("address of the platform's table", _check_url)
    object_store_url: str = checked_field(
        "address of the platform's object store", _check_url
    )
    host_list_url: str = checked_field(
        "address of the platform's list of hosts", _check_url
    )
    token_file: str = checked_field(
        "file with the callers' and operators' tokens", string(1000)
    )
    peer_secret_file: str = checked_field(
        "file with the secret that daemons share", string(1000)
    )
    weight: float = checked_field(
        "weight of the host relative to other hosts", number(0.01, 100), 1.0
    )
    log_level: str = checked_field(
        "'quiet', 'normal' or 'all' messages", string(), "normal"
    )

    lease_term_s: float = checked_field(
        "how long a member lease lasts", number(0.5, 600), 6.0
    )
    lease_margin_s: float = checked_field(
        "clock margin of member leases", number(0.05, 60), 1.0
    )
    lease_renew_s: float = checked_field("time between renewals", number(0.1, 60), 1.5)
    promise_s: float = checked_field(
        "how long a peer's promise lasts", number(0.5, 600), 4.0
    )
    max_extension_s: float = checked_field(
        "maximum time since the last renewal for which a lease is extended",
        number(1, 86400),
        300.0,
    )
    table_timeout_s: float = checked_field(
        "timeout of calls to the table, the object store and the host list, and of"
        " calls to peers about load, configuration and expulsions",
        number(0.05, 60),
        1.0,
    )
    group_delay_s: float = checked_field(
        "time to wait for further writes before a group commit", number(0, 1), 0.005
    )
    group_max_writes: int = checked_field(
        "maximum number of rows in one group commit", integer(1, 10000), 200
    )

    max_body_bytes: int = checked_field(
        "largest body of a request", integer(1, 64 << 20), 1 << 20
    )
    memory_mb: float = checked_field(
        "memory of the daemon in MiB, for the limits of bodies and connections",
        number(96, 1 << 20),
        1024.0,
    )
    max_descriptors: int = checked_field(
        "file descriptors of the daemon; callers get a quarter",
        integer(64, 1 << 20),
        8192,
    )
    max_calls: int = checked_field(
        "maximum number of HTTP calls in flight", integer(1, 100000), 2000
    )
    queue_limit: int = checked_field(
        "maximum number of waiting requests of a pool on one entry",
        integer(1, 100000),
        500,
    )
    connect_timeout_s: float = checked_field(
        "longest wait to connect", number(0.01, 60), 0.5
    )
    retry_share: float = checked_field(
        "retry budget as a share of requests", number(0, 1), 0.1
    )
    news_interval_s: float = checked_field(
        "minimum time between load messages to a peer", number(0, 10), 0.02
    )
    news_max_age_s: float = checked_field(
        "age after which a peer's load message is ignored", number(0.01, 60), 3.0
    )
    config_poll_s: float = checked_field(
        "time between polls of the configuration version", number(0.1, 60), 1.0
    )
    host_poll_s: float = checked_field(
        "time between polls of the host list and the drains", number(0.1, 60), 1.0
    )
    drain_timeout_s: float = checked_field(
        "maximum time to wait for work in progress at shutdown", number(0, 3600), 30.0
    )

    task_term_s: float = checked_field(
        "how long a task may run after the worker's last reply", number(0.5, 600), 10.0
    )
    task_margin_s: float = checked_field(
        "clock margin of task leases", number(0.05, 60), 1.0
    )
    task_renew_s: float = checked_field(
        "time between calls to a worker", number(0.1, 60), 2.0
    )
    worker_timeout_s: float = checked_field(
        "longest wait for a worker", number(0.05, 60), 1.5
    )

    def lease_settings(self) -> LeaseSettings:
        """Return the settings of member leases."""
        return LeaseSettings(
            term_s=self.lease_term_s,
            margin_s=self.lease_margin_s,
            renew_s=self.lease_renew_s,
            promise_s=self.promise_s,
            max_extension_s=self.max_extension_s,
        )

    def group_commit_settings(self) -> GroupCommitSettings:
        """Return the settings of group commits."""
        return GroupCommitSettings(self.group_delay_s, self.group_max_writes)

    def task_lease_settings(self) -> TaskLeaseSettings:
        """Return the settings of task leases."""
        return TaskLeaseSettings(
            self.task_term_s, self.task_margin_s, self.task_renew_s
        )


def load_settings(path: Path) -> Settings:
    """Read and check a settings file.

    :raises InvalidInput: if the file has faults; the message lists all of them.
    """
    return parse_settings(read_json_file(path))


def parse_settings(source: JsonFile) -> Settings:
    """Return the settings in a parsed JSON file.

    :raises InvalidInput: if the settings have faults; the message lists all of them.
    """
    settings, problems = build_checked(Settings, source.value)
    faults = [
        Fault(
            source.name, source.line_of(item.name), item.name, item.problem, item.remedy
        )
        for item in problems
    ]
    for key in source.duplicate_keys:
        faults.append(
            Fault(source.name, source.line_of(key), key, "is defined twice", "keep one")
        )
    if settings is not None:
        faults.extend(_inconsistencies(source, settings))
    if faults:
        raise InvalidInput(faults)
    return settings


def _inconsistencies(source: JsonFile, settings: Settings) -> list[Fault]:
    rules = [
        (
            "lease_renew_s",
            settings.lease_renew_s + settings.table_timeout_s < settings.lease_term_s,
            "a renewal and its timeout must fit into lease_term_s",
        ),
        (
            "promise_s",
            settings.promise_s > 2 * settings.lease_margin_s,
            "must be more than twice lease_margin_s",
        ),
        (
            "task_renew_s",
            settings.task_renew_s + settings.worker_timeout_s < settings.task_term_s,
            "a call and its timeout must fit into task_term_s",
        ),
        (
            "peer_port",
            settings.peer_port != settings.http_port,
            "is the same as http_port",
        ),
        (
            "log_level",
            settings.log_level in ("quiet", "normal", "all"),
            f"{settings.log_level!r} is not one of quiet, normal, all",
        ),
    ]
    return [
        Fault(source.name, source.line_of(key), key, problem, "change one of them")
        for key, is_consistent, problem in rules
        if not is_consistent
    ]


def settings_reference() -> list[tuple[str, str, str]]:
    """Return the name, default and help text of each setting, for documentation."""
    rows = []
    for attribute in attrs.fields(Settings):
        default = (
            "required"
            if attribute.default is attrs.NOTHING
            else repr(attribute.default)
        )
        rows.append((attribute.name, default, attribute.metadata[HELP]))
    return rows
