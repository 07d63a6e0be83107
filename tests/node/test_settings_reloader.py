"""Reloading of settings at run time."""

from pathlib import Path

from wharfcart.node.settings_reloader import SettingsReloader
from wharfcart.observability.decisions import DecisionLog
from wharfcart.settings.serving import ServingSettings

TEXT = """
node_id = "n"
zone = "z"
coordination = "127.0.0.1:1"
cluster_listen = "127.0.0.1:2"
seeds = ["127.0.0.1:3"]
"""


def test_changed_settings_are_applied_and_invalid_ones_rejected(tmp_path: Path, capfd) -> None:
    path = tmp_path / "s.toml"
    path.write_text(TEXT)
    applied: list[ServingSettings] = []
    log = DecisionLog("n")
    reloader = SettingsReloader(ServingSettings, path, applied.append, log)
    path.write_text(TEXT.replace(":3", ":4"))
    reloader.reload()
    assert applied[-1].seeds == ["127.0.0.1:4"]
    path.write_text("zone = 3\nunknown = 1")
    reloader.reload()
    assert len(applied) == 1
    log.flush()
    assert '"outcome": "refused"' in capfd.readouterr().out
