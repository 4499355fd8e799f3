"""The settings file that the platform writes."""

from __future__ import annotations

from pathlib import Path

import orjson
import pytest

from redwingrun.platform.settings import SettingsError, load_settings

GOOD = {
    "nodeName": "edge-1",
    "bindIp": "10.1.0.13",
    "listen": {"front": "10.1.0.13:8161", "ready": "10.1.0.13:8167"},
    "portRange": [7720, 7735],
    "platform": {"address": "10.200.1.7:8169"},
    "bounds": {"gracePeriodS": 4, "early_ms": 250},
    "aFieldOfTomorrow": {"x": 1},
}


def written(folder: Path, plain: object) -> Path:
    """Write a settings file."""
    path = folder / "node.json"
    path.write_bytes(orjson.dumps(plain))
    return path


def test_settings_are_read_and_unknown_fields_are_passed_over(tmp_path: Path):
    """What is missing and not needed has its default."""
    settings = load_settings(written(tmp_path, GOOD))
    assert settings.store == "10.200.1.7:8169"
    assert settings.peer_port == 7720
    assert settings.advice == ""
    assert settings.bounds.grace_s == 4
    assert settings.bounds.early_s == 0.25


@pytest.mark.parametrize(
    ("limits", "speed"),
    [({"cpuShare": 0.5, "cpuCores": 3}, 1.5), ({"cpuShare": 0.4}, 0.4), ({}, 1.0)],
)
def test_the_speed_of_a_host_is_its_share_of_a_core_as_fast_as_it_is(
    tmp_path: Path, limits: dict, speed: float
):
    """A host that doesn't tell counts as a whole ordinary core."""
    settings = load_settings(written(tmp_path, {**GOOD, "limits": limits}))
    assert settings.speed == pytest.approx(speed)


@pytest.mark.parametrize("name", ["nodeName", "listen", "portRange", "platform"])
def test_a_missing_field_is_named_with_the_path(tmp_path: Path, name: str):
    """An operator finds the file and the field."""
    plain = {key: value for key, value in GOOD.items() if key != name}
    with pytest.raises(SettingsError, match=f"node.json.*{name}"):
        load_settings(written(tmp_path, plain))


def test_a_file_that_is_missing_is_named(tmp_path: Path):
    """The path is told."""
    with pytest.raises(SettingsError, match="nowhere"):
        load_settings(tmp_path / "nowhere")
