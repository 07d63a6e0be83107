"""Headers, paths and JSON fields of the platform occur only in the platform folder."""

from pathlib import Path

import wharfcart
from wharfcart.platform import names

SOURCE = Path(wharfcart.__file__).parent
WIRE_NAMES = [
    value
    for name, value in vars(names).items()
    if name.isupper() and isinstance(value, str) and value != names.RETRY_AFTER
]
JSON_FIELDS = ["pathPrefix", "trafficSplit", "targetLatencyMs", "maxAttempts", "expectedRevision",
          "dead_letter", "nextPageToken", "warmupLeftMs", "timeoutMs"]  # fmt: skip
# The emulators implement the platform's interfaces.
EXEMPT = (
    "platform/",
    "emulator/metadata_store.py",
    "emulator/model_server.py",
    "emulator/operator_documents.py",
)
# Headers that are also part of wharfcart's own interface.
SHARED_HEADERS = {"x-request-id", "retry-after", "last-event-id", "authorization"}


def test_platform_names_occur_in_platform_folder_only() -> None:
    found = []
    for path in SOURCE.rglob("*.py"):
        relative_path = str(path.relative_to(SOURCE))
        if relative_path.startswith(EXEMPT):
            continue
        text = path.read_text().lower()
        for word in (*WIRE_NAMES, *JSON_FIELDS):
            if word.lower() not in SHARED_HEADERS and f'"{word.lower()}' in text:
                found.append(f"{relative_path}: {word}")
    assert found == []
