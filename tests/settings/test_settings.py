"""Settings of nodes: precedence of sources, and findings."""

from pathlib import Path

import pytest

from wharfcart.settings.loading import load_settings
from wharfcart.settings.schema import NodeSettings

VALID_SETTINGS = f"""
node_id = "n1"
zone = "a"
listen = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
key_value = "127.0.0.1:3"
machine_list = "http://127.0.0.1:4/targets"
admin_key_sha256 = "{"0" * 64}"
"""


def _write_settings(folder: Path, text: str) -> Path:
    path = folder / "node.toml"
    path.write_text(text)
    return path


def test_variables_override_the_file_and_flags_override_both(tmp_path: Path) -> None:
    path = _write_settings(tmp_path, VALID_SETTINGS)
    environment = {
        "WHARFCART_ZONE": "b",
        "WHARFCART_NODE_ID": "n2",
        "WHARFCART_JOURNAL__SHARDS": "6",
        "WHARFCART_CLI_SERVER": "no setting",
    }
    settings = load_settings(
        NodeSettings, path, environment, {"zone": "c", "listen": None}
    ).unwrap()
    assert (settings.zone, settings.node_id, settings.journal.shards) == ("c", "n2", 6)
    assert settings.listen == "127.0.0.1:1"


def test_all_findings_are_reported_with_their_sources(tmp_path: Path) -> None:
    path = _write_settings(tmp_path, VALID_SETTINGS + 'colour = "red"\n[journal]\nshards = 0\n')
    environment = {"WHARFCART_LISTEN": "nowhere"}
    findings = load_settings(NodeSettings, path, environment, {"node_id": "N!"}).failure()
    places = {(finding.file, finding.place) for finding in findings}
    assert places == {
        (str(path), "colour"),
        (str(path), "journal.shards"),
        ("WHARFCART_LISTEN", "listen"),
        ("--node-id", "node_id"),
    }


@pytest.mark.parametrize("text", ["a = ", "\x00"])
def test_invalid_toml_is_a_finding(tmp_path: Path, text: str) -> None:
    assert load_settings(NodeSettings, _write_settings(tmp_path, text), {}).failure()


def test_absent_file_is_a_finding(tmp_path: Path) -> None:
    assert load_settings(NodeSettings, tmp_path / "absent.toml", {}).failure()
