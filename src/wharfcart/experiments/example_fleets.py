"""Two example fleets: emulator settings and configuration documents."""

import hashlib
from enum import StrEnum
from typing import Any

from wharfcart.settings.schema import ApplicationSettings, EmulatorSettings, EngineSettings


class Profile(StrEnum):
    """Example fleets."""

    REGISTRATION = "registration"
    SWAP = "swap"


REGISTRATION_MODELS = ["registry-8b", "notices", "dossiers", "plates"]
SWAP_MODELS = ["assistant-8b", "pack-health", "station-help"]
REGISTRATION_ZONES = ["reykjavik-a", "reykjavik-b", "reykjavik-c"]
SWAP_ZONES = ["depot-north", "depot-south", "road-stop"]


def example_emulator(profile: Profile, speed: float = 1.0) -> EmulatorSettings:
    """Return the emulator's settings: engines and application servers per zone."""
    if profile is Profile.REGISTRATION:
        zones, models, engines, application = REGISTRATION_ZONES, REGISTRATION_MODELS, 2, "registry"
    else:
        zones, models, engines, application = SWAP_ZONES, SWAP_MODELS, 3, "station"
    return EmulatorSettings(
        speed=speed,
        engines=[EngineSettings(zone=zone, count=engines, models=models) for zone in zones],
        applications=[ApplicationSettings(zone=zone, name=application) for zone in zones],
    )


def example_document(profile: Profile) -> dict[str, Any]:
    """Return the configuration document of an example fleet."""
    if profile is Profile.REGISTRATION:
        return _registration_document()
    return _swap_document()


def _tenant(name: str, share: float) -> dict[str, Any]:
    # Keys of the example are public; a production document holds hashes of secret keys.
    digest = hashlib.sha256(f"{name}-key".encode()).hexdigest()
    limits = {"requests_per_second": 500.0, "burst": 1000}
    return {"name": name, "key_sha256": [digest], "share": share, "limits": limits}


def _deployments(tenants: list[str], services: dict[str, str]) -> list[dict[str, Any]]:
    return [
        {
            "name": service,
            "tenant": tenant,
            "template": template,
            "parameters": {"office": tenant},
        }
        for tenant in tenants
        for service, template in services.items()
    ]


def _registration_document() -> dict[str, Any]:
    dealers = [f"dealer-{number:02d}" for number in range(1, 41)]
    stations = [f"inspection-{number:02d}" for number in range(1, 10)]
    office = ["registry-office"]
    parameter = {"office": {"type": "string", "max_length": 100}}
    limits = {"requests_per_second": 200.0, "burst": 400}
    common = {"parameters": parameter, "limits": limits}
    model = {"kind": "model", "model": "registry-8b", "yielding": "tail", **common}
    application = {"kind": "application", "application": "registry", **common}
    return {
        "tenants": [
            *(_tenant(name, 1.0) for name in dealers),
            *(_tenant(name, 1.0) for name in stations),
            *(_tenant(name, 4.0) for name in office),
        ],
        "models": [
            {
                "name": "registry-8b",
                "version": "1",
                "least_servers": 6,
                "adapters": ["notices", "dossiers", "plates"],
            }
        ],
        "templates": [
            {
                "name": "transfer-notice",
                "adapter": "notices",
                "system_prompt": "Draft a notice of transfer of ownership for {office}. "
                "Name seller, buyer, vehicle and date; add nothing that was not told.",
                "max_tokens": 48,
                "deadline_seconds": 20,
                **model,
            },
            {
                "name": "dossier-reading",
                "adapter": "dossiers",
                "system_prompt": "Read the type-approval dossier for {office} and list mass, "
                "seats, emission class and axle loads.",
                "max_tokens": 48,
                "priority": 1,
                **model,
            },
            {
                "name": "plate-check",
                "adapter": "plates",
                "system_prompt": "Check the application for number plates of {office}.",
                "max_tokens": 32,
                "priority": 2,
                "batch_deadline_seconds": 28_800,
                **model,
            },
            {"name": "status-look-up", "path": "/status", "deadline_seconds": 5, **application},
            {
                "name": "registration",
                "path": "/registrations",
                "repeatable": False,
                "deadline_seconds": 10,
                **application,
            },
        ],
        "deployments": _deployments(
            [*dealers, *stations, *office],
            {
                "notices": "transfer-notice",
                "dossiers": "dossier-reading",
                "plates": "plate-check",
                "status": "status-look-up",
                "register": "registration",
            },
        ),
    }


def _swap_document() -> dict[str, Any]:
    stations = [f"station-{number:02d}" for number in range(1, 61)]
    dispatchers = [f"dispatch-{number}" for number in range(1, 4)]
    parameter = {"office": {"type": "string", "max_length": 100}}
    limits = {"requests_per_second": 200.0, "burst": 400}
    common = {"parameters": parameter, "limits": limits}
    model = {"kind": "model", "model": "assistant-8b", "yielding": "throughput", **common}
    application = {"kind": "application", "application": "station", **common}
    return {
        "tenants": [
            *(_tenant(name, 1.0) for name in stations),
            *(_tenant(name, 8.0) for name in dispatchers),
        ],
        "models": [
            {
                "name": "assistant-8b",
                "version": "1",
                "least_servers": 9,
                "adapters": ["pack-health", "station-help"],
            }
        ],
        "templates": [
            {
                "name": "station-assistant",
                "adapter": "station-help",
                "system_prompt": "Answer a rider at station {office} in one short sentence.",
                "max_tokens": 32,
                "deadline_seconds": 10,
                **model,
            },
            {
                "name": "pack-health-note",
                "adapter": "pack-health",
                "system_prompt": "Write a note on the health of the battery pack for {office}.",
                "max_tokens": 48,
                "priority": 2,
                "batch_deadline_seconds": 14_400,
                **model,
            },
            {"name": "station-status", "path": "/status", "deadline_seconds": 5, **application},
            {
                "name": "swap-charge",
                "path": "/charges",
                "repeatable": False,
                "deadline_seconds": 10,
                **application,
            },
        ],
        "deployments": _deployments(
            [*stations, *dispatchers],
            {
                "assistant": "station-assistant",
                "notes": "pack-health-note",
                "status": "station-status",
                "charge": "swap-charge",
            },
        ),
    }
