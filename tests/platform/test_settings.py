"""Reading the settings file that the platform writes."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from redwingrun.platform.settings import (
    FEATURES_VARIABLE,
    Feature,
    SettingsError,
    load_features,
    load_settings,
)

VALID = {
    "nodeName": "edge-1",
    "bindIp": "10.1.0.13",
    "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "portRange": [7720, 7735],
    "platform": {"address": "10.200.1.7:8169"},
    "bounds": {"gracePeriodS": 4, "early_ms": 250},
    "aFieldOfTomorrow": {"x": 1},
}


def write_settings(folder: Path, data: object) -> Path:
    """Write a settings file and return its path."""
    path = folder / "node.json"
    path.write_bytes(orjson.dumps(data))
    return path


def test_unknown_fields_are_ignored_and_missing_ones_have_defaults(tmp_path: Path):
    """Fields of newer templates do not prevent a start."""
    settings = load_settings(write_settings(tmp_path, VALID))
    assert settings.store == "10.200.1.7:8169"
    assert settings.peer_port == 7720
    assert settings.advice == ""
    assert settings.bounds.grace_s == 4
    assert settings.bounds.early_s == 0.25
    assert settings.bounds.max_lease_s == 10.0


def test_the_longest_lease_is_read_from_the_bounds(tmp_path: Path):
    data = {**VALID, "bounds": {"holdMaxMs": 8000}}
    assert load_settings(write_settings(tmp_path, data)).bounds.max_lease_s == 8.0


def test_the_stop_timeout_is_read_from_the_bounds(tmp_path: Path):
    data = {**VALID, "bounds": {"stopTimeoutMs": 200}}
    assert load_settings(write_settings(tmp_path, data)).bounds.stop_timeout_s == 0.2


@pytest.mark.parametrize(
    ("limits", "speed"),
    [({"cpuShare": 0.5, "cpuCores": 3}, 1.5), ({"cpuShare": 0.4}, 0.4), ({}, 1.0)],
)
def test_the_speed_of_a_host_is_its_processor_share_times_its_core_speed(
    tmp_path: Path, limits: dict, speed: float
):
    """A host without limits has the speed of one ordinary core."""
    settings = load_settings(write_settings(tmp_path, {**VALID, "limits": limits}))
    assert settings.speed == pytest.approx(speed)


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        ({"memoryMb": 300, "maxFds": 4096, "headerTimeoutMs": 500}, (300, 4096, 0.5)),
        ({}, (160, 1638, 3.0)),
    ],
)
def test_the_limits_of_a_host_default_to_those_of_the_smallest_one(
    tmp_path: Path, limits: dict, expected: tuple[float, int, float]
):
    """A process without limits must not take more memory than the smallest host has."""
    settings = load_settings(write_settings(tmp_path, {**VALID, "limits": limits}))
    found = (settings.memory_mb, settings.max_descriptors, settings.header_timeout_s)
    assert found == expected


@pytest.mark.parametrize("name", ["nodeName", "listen", "portRange", "platform"])
def test_a_missing_field_is_named_with_the_path(tmp_path: Path, name: str):
    """The error names the file and the missing field."""
    data = {key: value for key, value in VALID.items() if key != name}
    with pytest.raises(SettingsError, match=f"node.json.*{name}"):
        load_settings(write_settings(tmp_path, data))


def test_a_missing_file_is_named(tmp_path: Path):
    """The error names the path."""
    with pytest.raises(SettingsError, match="nowhere"):
        load_settings(tmp_path / "nowhere")


def test_features_are_off_unless_they_are_named(monkeypatch):
    """Guards against a deployment that is served by a feature it did not ask for."""
    monkeypatch.delenv(FEATURES_VARIABLE, raising=False)
    assert load_features() == frozenset()
    monkeypatch.setenv(FEATURES_VARIABLE, "preemption, run-times")
    assert load_features() == {Feature.PREEMPTION, Feature.RUN_TIMES}


def test_an_unknown_feature_is_named(monkeypatch):
    """Guards against a misspelt feature that stays off without a word."""
    monkeypatch.setenv(FEATURES_VARIABLE, "pre-emption")
    with pytest.raises(SettingsError, match="pre-emption.*preemption"):
        load_features()
