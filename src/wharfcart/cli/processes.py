"""Commands that run processes: ``node``, ``emulator``, ``dev``, ``demo``."""

import asyncio
import os
import signal
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
import uvloop
from pydantic import BaseModel

from wharfcart.cli.output import ExitCode, unwrap_or_fail
from wharfcart.emulator.fleet import EmulatedFleet
from wharfcart.experiments.dev_fleet import DevFleet
from wharfcart.experiments.example_fleets import Profile
from wharfcart.experiments.main_job import MainJob, TargetFleet
from wharfcart.node import process
from wharfcart.node.node import Node
from wharfcart.observability.logs import configure_logging
from wharfcart.settings.loading import load_settings
from wharfcart.settings.schema import EmulatorSettings, NodeSettings

SettingsModel = TypeVar("SettingsModel", bound=BaseModel)
SettingsOption = Annotated[Path, typer.Option("--settings", help="TOML file")]
ProfileOption = Annotated[Profile, typer.Option(help="Which example fleet.")]


def node(
    settings: SettingsOption,
    listen: Annotated[str | None, typer.Option(help="Callers' address.")] = None,
    zone: Annotated[str | None, typer.Option(help="Zone of this machine.")] = None,
    data_folder: Annotated[str | None, typer.Option(help="Makes the node store.")] = None,
) -> None:
    """Run one node until SIGTERM, then leave without cutting anything."""
    flags = {"listen": listen, "zone": zone, "data_folder": data_folder}
    checked = _load_settings(NodeSettings, settings, flags)
    configure_logging(checked.log.level, checked.node_id)
    uvloop.run(_run_node(Node(checked)))


async def _run_node(running: Node) -> None:
    stopped = _stop_event()
    await running.start()
    await stopped.wait()
    await running.stop()


def gateway(settings: SettingsOption) -> None:
    """Run one gateway of a fleet on a coordination service, until SIGTERM."""
    process.run_gateway(settings)


def storage(settings: SettingsOption) -> None:
    """Run one storage node of such a fleet, until SIGTERM."""
    process.run_storage(settings)


def emulator(settings: SettingsOption) -> None:
    """Run stand-ins for the platform and the back ends."""
    checked = _load_settings(EmulatorSettings, settings, {})
    configure_logging(checked.log.level, "emulator")
    uvloop.run(_run_emulator(EmulatedFleet(checked)))


async def _run_emulator(fleet: EmulatedFleet) -> None:
    stopped = _stop_event()
    await fleet.start()
    addresses = fleet.addresses
    print(f"key_value {addresses.key_value}", flush=True)
    print(f"machine_list {addresses.machine_list}", flush=True)
    print(f"weight_store {addresses.weight_store}", flush=True)
    await stopped.wait()
    await fleet.stop()


def dev(
    listen: Annotated[str, typer.Option(help="First node's address.")] = "127.0.0.1:8400",
    profile: ProfileOption = Profile.REGISTRATION,
    nodes: Annotated[int, typer.Option(min=3, max=9, help="How many nodes.")] = 3,
) -> None:
    """Run a small whole fleet inside this process."""
    configure_logging("warning", "dev")
    uvloop.run(_run_dev(DevFleet(profile, nodes, listen)))


async def _run_dev(fleet: DevFleet) -> None:
    stopped = _stop_event()
    await fleet.start()
    print(f"callers and operators: {', '.join(fleet.urls)}")
    print(f"admin key: {fleet.admin_key}")
    print(f"an API key: {fleet.api_keys[0]}", flush=True)
    await stopped.wait()
    await fleet.stop()


def demo(
    profile: ProfileOption = Profile.REGISTRATION,
    against: Annotated[
        list[str] | None, typer.Option(help="URLs of a running fleet's nodes instead.")
    ] = None,
    admin_key: Annotated[str, typer.Option(help="Admin key of that fleet.")] = "admin-key",
    items: Annotated[int, typer.Option(min=10, help="Items of the batch job.")] = 5000,
) -> None:
    """Run the main job on a fleet and report whether every promise was kept."""
    configure_logging("error", "demo")
    passed = uvloop.run(_run_demo(profile, against, admin_key, items))
    raise typer.Exit(int(ExitCode.OK if passed else ExitCode.FAILED))


async def _run_demo(
    profile: Profile, against: list[str] | None, admin_key: str, items: int
) -> bool:
    if against:
        return await MainJob(TargetFleet(against, admin_key, profile), items).run()
    fleet = DevFleet(profile, 3, "127.0.0.1:0")
    await fleet.start()
    try:
        return await MainJob(TargetFleet(fleet.urls, fleet.admin_key, profile), items).run()
    finally:
        await fleet.stop()


def _load_settings(model: type[SettingsModel], path: Path, flags: dict[str, Any]) -> SettingsModel:
    return unwrap_or_fail(load_settings(model, path, os.environ, flags))


def _stop_event() -> asyncio.Event:
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    return stopped
