"""Validation of the operators' document; reports every finding with its place and line."""

from collections.abc import Iterable
from string import Formatter

import yaml
from pydantic import ValidationError
from returns.result import Failure, Result, Success

from wharfcart.configuration.schema import (
    Deployment,
    Document,
    Template,
    TemplateKind,
)
from wharfcart.errors import Finding

Location = tuple[str | int, ...]


class _LineIndex:
    """Line numbers of the nodes of a YAML document."""

    def __init__(self, text: str) -> None:
        self._root = yaml.compose(text, Loader=yaml.SafeLoader)

    def find(self, location: Location) -> int | None:
        """Return the line of the deepest existing node on the path to ``location``."""
        node = self._root
        for step in location:
            child = _child(node, step)
            if child is None:
                break
            node = child
        return None if node is None else node.start_mark.line + 1


def _child(node: yaml.Node | None, step: str | int) -> yaml.Node | None:
    if isinstance(node, yaml.SequenceNode) and isinstance(step, int) and step < len(node.value):
        child: yaml.Node = node.value[step]
        return child
    if isinstance(node, yaml.MappingNode):
        for key, value in node.value:
            if key.value == str(step):
                found: yaml.Node = value
                return found
    return None


def load_document(
    text: str, file: str, check_references: bool = True
) -> Result[Document, list[Finding]]:
    """Parse and validate a YAML document; return it, or all findings.

    Findings cover syntax, types, unknown keys, references and parameter values.

    Args:
        text: the document.
        file: name of the document in findings.
        check_references: whether references must resolve within the document.
    """
    try:
        raw = yaml.safe_load(text) or {}
        lines = _LineIndex(text)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        place = f"line {mark.line + 1}" if mark is not None else "document"
        return Failure([Finding(file, place, f"not YAML: {error}")])
    try:
        document = Document.model_validate(raw)
    except ValidationError as error:
        return Failure(
            [
                Finding(file, _place(tuple(detail["loc"]), lines), detail["msg"])
                for detail in error.errors()
            ]
        )
    checks = check_document(document) if check_references else _check_duplicates(document)
    findings = [Finding(file, _place(location, lines), reason) for location, reason in checks]
    return Failure(findings) if findings else Success(document)


def _place(location: Location, lines: _LineIndex | None) -> str:
    path = ".".join(str(step) for step in location) or "document"
    line = lines.find(location) if lines is not None else None
    return path if line is None else f"{path} (line {line})"


def check_document(document: Document) -> Iterable[tuple[Location, str]]:
    """Yield findings across items: duplicates, dangling references, parameter values."""
    yield from _check_duplicates(document)
    models = {model.name: model for model in document.models}
    templates = {template.name: template for template in document.templates}
    tenants = {tenant.name for tenant in document.tenants}
    for position, template in enumerate(document.templates):
        place: Location = ("templates", position)
        if template.kind is TemplateKind.MODEL:
            model = models.get(template.model or "")
            if model is None:
                yield (*place, "model"), f"no model {template.model!r}"
            elif template.adapter is not None and template.adapter not in model.adapters:
                yield (*place, "adapter"), f"model {model.name!r} has no {template.adapter!r}"
        yield from _check_prompt(template, place)
        yield from _check_defaults(template, place)
    for position, deployment in enumerate(document.deployments):
        place = ("deployments", position)
        if deployment.tenant not in tenants:
            yield (*place, "tenant"), f"no tenant {deployment.tenant!r}"
        target = templates.get(deployment.template)
        if target is None:
            yield (*place, "template"), f"no template {deployment.template!r}"
        else:
            yield from _check_values(deployment, target, place)


def _check_duplicates(document: Document) -> Iterable[tuple[Location, str]]:
    named = {
        "tenants": [tenant.name for tenant in document.tenants],
        "models": [model.name for model in document.models],
        "templates": [template.name for template in document.templates],
        "deployments": [f"{d.tenant}/{d.name}" for d in document.deployments],
    }
    for section, names in named.items():
        seen: set[str] = set()
        for position, name in enumerate(names):
            if name in seen:
                yield (section, position, "name"), f"{name!r} stands twice"
            seen.add(name)


def _check_prompt(template: Template, place: Location) -> Iterable[tuple[Location, str]]:
    try:
        fields = [name for _, name, _, _ in Formatter().parse(template.system_prompt) if name]
    except ValueError as error:
        yield (*place, "system_prompt"), f"bad place holder: {error}"
        return
    for name in fields:
        if name not in template.parameters:
            yield (*place, "system_prompt"), f"no parameter {name!r}"


def _check_defaults(template: Template, place: Location) -> Iterable[tuple[Location, str]]:
    for name, parameter in template.parameters.items():
        if parameter.default is None:
            continue
        reason = parameter.check(parameter.default)
        if reason is not None:
            yield (*place, "parameters", name, "default"), reason


def _check_values(
    deployment: Deployment, template: Template, place: Location
) -> Iterable[tuple[Location, str]]:
    for name, value in deployment.parameters.items():
        parameter = template.parameters.get(name)
        if parameter is None:
            yield (*place, "parameters", name), f"template {template.name!r} has no such parameter"
            continue
        reason = parameter.check(value)
        if reason is not None:
            yield (*place, "parameters", name), reason
    for name, parameter in template.parameters.items():
        if parameter.required and name not in deployment.parameters:
            yield (*place, "parameters"), f"parameter {name!r} is required"
