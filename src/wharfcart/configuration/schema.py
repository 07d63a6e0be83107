"""Schema of the operators' document: tenants, models, templates, deployments.

The document is YAML (docs/design/0004-configuration.md). Each item becomes one entry of the
propagated configuration, so that a small change sends a small entry.
"""

from enum import StrEnum
from typing import Annotated, Literal, Self

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
ParameterValue = str | int | float | bool


class _Strict(BaseModel):
    """Base model that rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TemplateKind(StrEnum):
    """Kind of back end that serves a template."""

    MODEL = "model"
    APPLICATION = "application"


class PreemptionPolicy(StrEnum):
    """How online requests preempt batch items on a server (docs/operations/yielding.md)."""

    TAIL = "tail"
    THROUGHPUT = "throughput"


class Limits(_Strict):
    """Token-bucket limits that apply to the whole fleet."""

    requests_per_second: float = Field(50.0, gt=0, le=100_000)
    burst: int = Field(100, ge=1, le=1_000_000)
    concurrent_jobs: int = Field(64, ge=1, le=10_000)


class Tenant(_Strict):
    """One customer of the operator."""

    name: Name
    key_sha256: list[Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]] = Field(
        default_factory=list, description="SHA-256 of each API key, hexadecimal"
    )
    share: float = Field(1.0, gt=0, le=1000, description="weight in batch scheduling")
    limits: Limits = Limits()


class Model(_Strict):
    """A model that engines can load."""

    name: Name
    version: str = "1"
    least_servers: int = Field(1, ge=0, le=10_000, description="servers that hold it at the least")
    adapters: list[Name] = Field(default_factory=list)


class Parameter(_Strict):
    """Declaration of a template parameter."""

    type: Literal["string", "integer", "number", "boolean"]
    default: ParameterValue | None = None
    minimum: float | None = None
    maximum: float | None = None
    max_length: int = Field(2000, ge=1, le=100_000)
    choices: list[ParameterValue] | None = None
    description: str = ""

    @property
    def required(self) -> bool:
        """Whether a deployment must set a value."""
        return self.default is None

    def check(self, value: object) -> str | None:
        """Return why a value is invalid, or None if it is valid."""
        expected_types: dict[str, type | tuple[type, ...]] = {
            "string": str,
            "integer": int,
            "number": (int, float),
            "boolean": bool,
        }
        if not isinstance(value, expected_types[self.type]):
            return f"is not of type {self.type}"
        if isinstance(value, bool) and self.type != "boolean":
            return f"is not of type {self.type}"
        if self.choices is not None and value not in self.choices:
            return f"is not one of {self.choices}"
        if isinstance(value, str) and len(value) > self.max_length:
            return f"is longer than {self.max_length}"
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            if self.minimum is not None and value < self.minimum:
                return f"is below {self.minimum}"
            if self.maximum is not None and value > self.maximum:
                return f"is above {self.maximum}"
        return None


class Template(_Strict):
    """Settings that many deployments share."""

    name: Name
    kind: TemplateKind
    model: Name | None = None
    adapter: Name | None = None
    application: Name | None = Field(None, description="application servers, by their name")
    path: str = Field("", description="path prefix at the application servers")
    system_prompt: str = Field("", description="may hold {parameter} places")
    max_tokens: int = Field(256, ge=1, le=131_072)
    priority: int = Field(0, ge=0, le=9, description="0 is shed last")
    deadline_seconds: float = Field(30.0, gt=0, le=3600)
    batch_deadline_seconds: float = Field(14_400.0, gt=0, le=30 * 86_400)
    repeatable: bool = Field(True, description="whether running it twice is harmless")
    yielding: PreemptionPolicy = PreemptionPolicy.TAIL
    limits: Limits = Limits()
    parameters: dict[str, Parameter] = Field(default_factory=dict)

    @model_validator(mode="after")
    def _target_fits_kind(self) -> Self:
        if self.kind is TemplateKind.MODEL and self.model is None:
            raise ValueError("a template of kind model names a model")
        if self.kind is TemplateKind.APPLICATION and self.application is None:
            raise ValueError("a template of kind application names an application")
        return self


class Deployment(_Strict):
    """One service of a tenant: a template with parameter values."""

    name: Name
    tenant: Name
    template: Name
    parameters: dict[str, ParameterValue] = Field(default_factory=dict)


class Document(_Strict):
    """The operators' complete document."""

    tenants: list[Tenant] = Field(default_factory=list)
    models: list[Model] = Field(default_factory=list)
    templates: list[Template] = Field(default_factory=list)
    deployments: list[Deployment] = Field(default_factory=list)


DocumentItem = Tenant | Model | Template | Deployment


def entry_key(item: DocumentItem) -> str:
    """Return the key of an item's entry."""
    if isinstance(item, Deployment):
        return f"deployment/{item.tenant}/{item.name}"
    return f"{type(item).__name__.lower()}/{item.name}"


def document_entries(document: Document) -> dict[str, bytes]:
    """Split a document into entries; return their JSON by key."""
    items: list[DocumentItem] = [
        *document.tenants,
        *document.models,
        *document.templates,
        *document.deployments,
    ]
    return {entry_key(item): item.model_dump_json(exclude_defaults=True).encode() for item in items}


_TYPE_BY_PREFIX: dict[str, type[DocumentItem]] = {
    "tenant": Tenant,
    "model": Model,
    "template": Template,
    "deployment": Deployment,
}


def parse_entry(key: str, value: bytes) -> DocumentItem:
    """Parse the item of one entry."""
    return _TYPE_BY_PREFIX[key.split("/", 1)[0]].model_validate_json(value)


def join_entries(entries: dict[str, bytes]) -> Document:
    """Combine entries into a document, in key order."""
    items = [parse_entry(key, entries[key]) for key in sorted(entries)]
    return Document(
        tenants=[item for item in items if isinstance(item, Tenant)],
        models=[item for item in items if isinstance(item, Model)],
        templates=[item for item in items if isinstance(item, Template)],
        deployments=[item for item in items if isinstance(item, Deployment)],
    )
