"""Settings of gateways and storage nodes: values, defaults and findings."""

from pathlib import Path

import pytest

from wharfcart.errors import FindingsError
from wharfcart.settings.serving import (
    GatewaySettings,
    ServingSettings,
    StorageSettings,
    load_serving_settings,
)

GATEWAY = """
node_id = "g-1"
zone = "a"
coordination = "10.0.0.1:1"
cluster_listen = "10.0.0.2:2"
listen = "10.0.0.2:3"
readiness_listen = "[::1]:4"
"""
STORAGE = GATEWAY.replace('listen = "10.0.0.2:3"\nreadiness_listen = "[::1]:4"\n', "")


def write_settings(folder: Path, text: str) -> Path:
    path = folder / "settings.toml"
    path.write_text(text, encoding="utf-8")
    return path


def findings_of(
    model: type[ServingSettings], path: Path, environment: dict[str, str] | None = None
) -> set[tuple[str, str]]:
    with pytest.raises(FindingsError) as raised:
        load_serving_settings(model, path, environment or {})
    return {(finding.file, finding.place) for finding in raised.value.findings}


def test_values_and_defaults(tmp_path: Path) -> None:
    text = GATEWAY + 'stop_within_s = 3\n[tolerance]\nzones = 1\n[regions_by_zone]\na = "r"\n'
    environment = {"WHARFCART_NODE_ID": "g-2", "WHARFCART_TOLERANCE__STORAGE_NODES": "2"}
    settings = load_serving_settings(GatewaySettings, write_settings(tmp_path, text), environment)
    assert settings.node_id == "g-2"
    assert (settings.listen, settings.readiness_listen) == ("10.0.0.2:3", "[::1]:4")
    assert settings.stop_within_s == 3.0
    assert (settings.tolerance.storage_nodes, settings.tolerance.zones) == (2, 1)
    assert settings.regions_by_zone == {"a": "r"}
    assert (settings.seeds, settings.first_start, settings.metrics_listen) == ([], False, None)
    assert settings.cluster_address == "10.0.0.2:2"


def test_storage_settings(tmp_path: Path) -> None:
    path = write_settings(
        tmp_path, STORAGE + 'data_folder = "/data"\ncluster_advertise = "1.1.1.1:1"'
    )
    settings = load_serving_settings(StorageSettings, path, {})
    assert settings.data_folder == Path("/data")
    assert (settings.job_groups, settings.keep_jobs_s) == (1, 180.0)
    assert settings.cluster_address == "1.1.1.1:1"


def test_all_findings_are_reported_with_their_sources(tmp_path: Path) -> None:
    path = write_settings(
        tmp_path,
        'zone = ""\ncoordination = "host:1"\ncluster_listen = 7\nlisten = "1.1.1.1:1\\n"\n'
        'colour = "red"\nseeds = ["1.1.1.1:1", 2]\nfirst_start = 1\nstop_within_s = 0\n'
        'readiness_listen = "1.1.1.1:123456"\n[tolerance]\nzones = 9\nracks = 1\n'
        "storage_nodes = true\n",
    )
    expected = {
        (str(path), place)
        for place in (
            "zone",
            "coordination",
            "cluster_listen",
            "listen",
            "colour",
            "seeds",
            "first_start",
            "stop_within_s",
            "readiness_listen",
            "tolerance.zones",
            "tolerance.racks",
            "tolerance.storage_nodes",
        )
    }
    environment = {"WHARFCART_NODE_ID": "-bad"}
    expected.add(("WHARFCART_NODE_ID", "node_id"))
    assert findings_of(GatewaySettings, path, environment) == expected


def test_missing_required_settings_are_findings(tmp_path: Path) -> None:
    path = write_settings(tmp_path, 'node_id = "n"\nzone = "z"\n')
    places = {place for _, place in findings_of(StorageSettings, path)}
    assert places == {"coordination", "cluster_listen", "data_folder"}


def test_zone_without_region_is_a_finding_when_regions_are_set(tmp_path: Path) -> None:
    path = write_settings(tmp_path, GATEWAY + '[regions_by_zone]\nb = "r"\n')
    assert findings_of(GatewaySettings, path) == {(str(path), "file")}


@pytest.mark.parametrize("text", ["a = ", "\x00"])
def test_invalid_and_absent_files_are_findings(tmp_path: Path, text: str) -> None:
    assert findings_of(GatewaySettings, write_settings(tmp_path, text))
    assert findings_of(GatewaySettings, tmp_path / "absent.toml")
