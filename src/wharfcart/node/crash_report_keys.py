"""Reports of crashes and sound parts of prompts, as the coordination service and peers get them.

Each node writes a key of its own for each crash, so that the nodes that saw a crash never wait for
each other. A part has one key, which whoever writes last sets.
"""

import json
from collections.abc import Iterable, Mapping
from hashlib import blake2b

from wharfcart.admission.crashing_parts import CrashId, CrashReport
from wharfcart.admission.prompt_parts import PromptPartKey
from wharfcart.cluster.messages_pb2 import BackendEnds, PartWeight, SoundPart
from wharfcart.cluster.messages_pb2 import CrashReport as CrashReportMessage
from wharfcart.node.fleet_keys import CRASH_REPORT_PREFIX, SOUND_PART_PREFIX

KEY_DIGEST_BYTES = 12


def report_key(report: CrashReport, writer: str) -> str:
    """Return the key of one node's report of a crash.

    Args:
        report: the report.
        writer: name of the writing process, which differs from all others.
    """
    return f"{CRASH_REPORT_PREFIX}{_digest(report.crash_id)}-{writer}"


def report_to_bytes(report: CrashReport) -> bytes:
    """Serialize a report."""
    fields = {"crash": report.crash_id, "at": round(report.at, 3), "parts": dict(report.weights)}
    return json.dumps(fields, sort_keys=True).encode()


def report_from(value: bytes | None) -> CrashReport | None:
    """Parse a report; None if it was removed or is malformed."""
    try:
        fields = json.loads(value or b"")
        weights = {
            PromptPartKey(str(part)): float(weight) for part, weight in fields["parts"].items()
        }
        return CrashReport(CrashId(str(fields["crash"])), float(fields["at"]), weights)
    except (ValueError, TypeError, LookupError, AttributeError):
        return None


def sound_part_key(part: PromptPartKey) -> str:
    """Return the key that tells when a part was sound."""
    return SOUND_PART_PREFIX + _digest(part)


def sound_part_to_bytes(part: PromptPartKey, at: float) -> bytes:
    """Serialize when a part was sound."""
    return json.dumps({"part": part, "at": round(at, 3)}, sort_keys=True).encode()


def sound_part_from(value: bytes | None) -> tuple[PromptPartKey, float] | None:
    """Parse when a part was sound; None if it was removed or is malformed."""
    try:
        fields = json.loads(value or b"")
        return PromptPartKey(str(fields["part"])), float(fields["at"])
    except (ValueError, TypeError, LookupError):
        return None


def reports_to_message(
    reports: Iterable[CrashReport], sound_at: Mapping[PromptPartKey, float]
) -> BackendEnds:
    """Serialize reports and sound parts for another node."""
    return BackendEnds(
        reports=[
            CrashReportMessage(
                crash_id=report.crash_id,
                at=report.at,
                parts=[
                    PartWeight(part=part, weight=weight) for part, weight in report.weights.items()
                ],
            )
            for report in reports
        ],
        sound_parts=[SoundPart(part=part, at=at) for part, at in sound_at.items()],
    )


def report_from_message(message: CrashReportMessage) -> CrashReport:
    """Parse a report of another node."""
    weights = {PromptPartKey(entry.part): entry.weight for entry in message.parts}
    return CrashReport(CrashId(message.crash_id), message.at, weights)


def _digest(text: str) -> str:
    digest = blake2b(text.encode("utf-8", "surrogateescape"), digest_size=KEY_DIGEST_BYTES)
    return digest.hexdigest()
