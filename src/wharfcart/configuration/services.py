"""Services: deployments resolved with their templates, for use by the request path.

The index keeps parsed items and resolves a service on its first lookup, so that a changed entry
does not require parsing the whole document.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from string import Formatter

from wharfcart.cluster.messages_pb2 import Entry
from wharfcart.configuration.api_keys import KeyDigest, KeyIndex
from wharfcart.configuration.schema import (
    Deployment,
    DocumentItem,
    Limits,
    Model,
    ParameterValue,
    PreemptionPolicy,
    Template,
    TemplateKind,
    Tenant,
    parse_entry,
)


@dataclass(frozen=True)
class Service:
    """One deployment, resolved with its template.

    Attributes:
        target: model or adapter requested from the engine, or name of the application.
        model: base model; '' for applications.
    """

    name: str
    tenant: str
    template: str
    kind: TemplateKind
    target: str
    model: str
    path: str
    system_prompt: str
    max_tokens: int
    priority: int
    deadline_seconds: float
    batch_deadline_seconds: float
    repeatable: bool
    preemption_policy: PreemptionPolicy
    limits: Limits
    parameters: dict[str, ParameterValue] = field(default_factory=dict)

    @property
    def routing_key(self) -> str:
        """Key for shuffle sharding: prompts of one tenant and template share a prefix."""
        return f"{self.tenant}/{self.template}"


class ServiceIndex:
    """Index of all items of the current configuration, by name."""

    def __init__(self) -> None:
        self.tenants: dict[str, Tenant] = {}
        self.models: dict[str, Model] = {}
        self.templates: dict[str, Template] = {}
        self.deployments: dict[tuple[str, str], Deployment] = {}
        self._keys = KeyIndex()
        self._resolved: dict[tuple[str, str], Service] = {}

    def update(self, entries: Iterable[Entry]) -> None:
        """Apply changed entries."""
        for entry in entries:
            self._remove(entry.key)
            if not entry.deleted:
                self._add(parse_entry(entry.key, entry.value))
        self._resolved.clear()

    def find_tenant(self, api_key: str) -> Tenant | None:
        """Return the tenant of an API key, or None."""
        return self.tenants.get(self._keys.tenant_of(api_key) or "")

    def find_service(self, tenant: str, name: str) -> Service | None:
        """Return a tenant's service by name, or None."""
        key = (tenant, name)
        service = self._resolved.get(key)
        if service is None:
            service = self._resolve(key)
            if service is not None:
                self._resolved[key] = service
        return service

    def services_of(self, tenant: str) -> list[Service]:
        """Return all services of a tenant, sorted by name."""
        names = sorted(name for owner, name in self.deployments if owner == tenant)
        found = [self.find_service(tenant, name) for name in names]
        return [service for service in found if service is not None]

    def _resolve(self, key: tuple[str, str]) -> Service | None:
        deployment = self.deployments.get(key)
        template = self.templates.get(deployment.template) if deployment is not None else None
        if deployment is None or template is None:
            return None
        values = {
            name: parameter.default
            for name, parameter in template.parameters.items()
            if parameter.default is not None
        }
        values.update(deployment.parameters)
        return Service(
            name=deployment.name,
            tenant=deployment.tenant,
            template=template.name,
            kind=template.kind,
            target=template.adapter or template.model or template.application or "",
            model=template.model or "",
            path=template.path,
            system_prompt=_render(template.system_prompt, values),
            max_tokens=template.max_tokens,
            priority=template.priority,
            deadline_seconds=template.deadline_seconds,
            batch_deadline_seconds=template.batch_deadline_seconds,
            repeatable=template.repeatable,
            preemption_policy=template.yielding,
            limits=template.limits,
            parameters=values,
        )

    def _add(self, item: DocumentItem) -> None:
        if isinstance(item, Tenant):
            self.tenants[item.name] = item
            for digest in item.key_sha256:
                self._keys.add(KeyDigest(digest), item.name)
        elif isinstance(item, Model):
            self.models[item.name] = item
        elif isinstance(item, Template):
            self.templates[item.name] = item
        else:
            self.deployments[(item.tenant, item.name)] = item

    def _remove(self, key: str) -> None:
        kind, name = key.split("/", 1)
        if kind == "tenant":
            tenant = self.tenants.pop(name, None)
            for digest in tenant.key_sha256 if tenant is not None else ():
                self._keys.remove(KeyDigest(digest))
        elif kind == "model":
            self.models.pop(name, None)
        elif kind == "template":
            self.templates.pop(name, None)
        else:
            owner, deployment = name.split("/", 1)
            self.deployments.pop((owner, deployment), None)


def _render(prompt: str, values: dict[str, ParameterValue]) -> str:
    parts: list[str] = []
    for text, name, _, _ in Formatter().parse(prompt):
        parts.append(text)
        if name:
            parts.append(str(values.get(name, "")))
    return "".join(parts)
