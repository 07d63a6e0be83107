"""Decision which software a resumed stream goes on at.

The origin is never guessed where two versions of the service could have begun the stream.

This module does no I/O.
"""

from dataclasses import dataclass
from enum import Enum

from wharfcart.configuration.instances import BackendSoftware
from wharfcart.routing.stream_origins import StreamOrigin
from wharfcart.routing.version_history import KnownVersions


class OriginEvidence(Enum):
    """What a decision rests on.

    Attributes:
        RECORDED: a node recorded which software began the stream.
        SOLE_VERSION: the service has had one version for longer than a stream lasts.
        NO_OTHER_VERSION: neither the fleet's record nor a node that answered knows another version,
            but all of them have known the service for a short time, as after a restart.
        UNKNOWN: several versions could have begun the stream.
        UNCONFIRMED: this node has known the service for a short time, and either no other node
            answered or the fleet's record isn't known.
    """

    RECORDED = "recorded"
    SOLE_VERSION = "sole_version"
    NO_OTHER_VERSION = "no_other_version"
    UNKNOWN = "origin_unknown"
    UNCONFIRMED = "origin_unconfirmed"


@dataclass(frozen=True, slots=True)
class OriginReport:
    """What is known of a resumed stream.

    Attributes:
        origin: the recorded origin, or None.
        known: versions of the service, as this node and those that answered know them.
        asked: number of nodes that were asked.
        answered: number of nodes that answered.
        lifetime_s: seconds after which no caller resumes a stream.
    """

    origin: StreamOrigin | None
    known: KnownVersions
    lifetime_s: float
    asked: int = 0
    answered: int = 0

    @property
    def needs_no_other_answer(self) -> bool:
        """Whether the service has one version and no other answer can change the decision.

        Of a service with several versions another node may have a later origin.
        """
        has_evidence = self.origin is not None or self.covers_streams
        return len(self.known.versions) == 1 and has_evidence

    @property
    def covers_streams(self) -> bool:
        """Whether no stream of the service can be older than what is known."""
        return self.known.known_s >= self.lifetime_s


@dataclass(frozen=True, slots=True)
class OriginDecision:
    """Where a resumed stream goes on.

    Attributes:
        evidence: what the decision rests on.
        software: the software; None if the stream must not go on.
    """

    evidence: OriginEvidence
    software: BackendSoftware | None


def decide_origin(service: str, report: OriginReport) -> OriginDecision:
    """Decide where a stream goes on.

    Args:
        service: service of the route.
        report: what is known of the stream.
    """
    if report.origin is not None:
        return OriginDecision(OriginEvidence.RECORDED, report.origin.software)
    if len(report.known.versions) > 1:
        return OriginDecision(OriginEvidence.UNKNOWN, None)
    is_confirmed = report.known.is_recorded and report.answered > 0
    if not report.covers_streams and not is_confirmed:
        return OriginDecision(OriginEvidence.UNCONFIRMED, None)
    evidence = (
        OriginEvidence.SOLE_VERSION if report.covers_streams else OriginEvidence.NO_OTHER_VERSION
    )
    for version in report.known.versions:
        return OriginDecision(evidence, BackendSoftware(service, version))
    # The service has no back end at all.
    return OriginDecision(OriginEvidence.UNCONFIRMED, None)
