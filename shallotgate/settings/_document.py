"""YAML documents with the line number of each value."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from functools import lru_cache
from importlib import resources
from pathlib import Path
from types import MappingProxyType
from typing import Any

from jsonschema import Draft202012Validator, ValidationError
from ruamel.yaml import YAML
from ruamel.yaml.error import MarkedYAMLError, YAMLError
from ruamel.yaml.nodes import MappingNode, Node, ScalarNode, SequenceNode

from shallotgate.errors import Finding

DocumentPath = tuple[str | int, ...]
SchemaFault = tuple[DocumentPath, str]

_EMPTY: Mapping[DocumentPath, int] = MappingProxyType({})
_ROOT: DocumentPath = ()
_STRING_TAG = 'tag:yaml.org,2002:str'
_MERGE_TAG = 'tag:yaml.org,2002:merge'
# Messages never include the offending value: it may be a token.
_MESSAGES: Mapping[str, str] = MappingProxyType(
    {
        'type': 'must be of type {}',
        'enum': 'must be one of {}',
        'pattern': 'must match {}',
        'minLength': 'must have at least {} characters',
        'maxLength': 'must have at most {} characters',
        'minimum': 'must be at least {}',
        'maximum': 'must be at most {}',
        'exclusiveMinimum': 'must be more than {}',
        'exclusiveMaximum': 'must be less than {}',
        'minItems': 'must have at least {} items',
        'maxItems': 'must have at most {} items',
        'uniqueItems': 'must not repeat an item',
    }
)


@dataclass(frozen=True)
class Document:
    """Parsed YAML file with the line number of each value."""

    # File name as given to ``read_document``.
    name: str
    # Dicts, lists and scalars; None if the file could not be parsed.
    content: Any = None
    # One-based line number of each key or item, by path.
    lines: Mapping[DocumentPath, int] = field(default_factory=lambda: _EMPTY)
    # YAML syntax errors and duplicate keys.
    findings: tuple[Finding, ...] = ()

    def make_finding(self, path: DocumentPath, reason: str) -> Finding:
        """Return a finding at the line of a path or its nearest known parent.

        >>> document = Document('a.yaml', lines={('roles',): 3})
        >>> str(document.make_finding(('roles', 0), 'is unknown'))
        'a.yaml:3: roles/0: is unknown'
        """
        known = path
        while known and known not in self.lines:
            known = known[:-1]
        line = self.lines.get(known, 1)
        text = '/'.join(str(step) for step in path) or 'file'
        return Finding(f'{self.name}:{line}', text, reason)


def read_document(path: Path | str) -> Document:
    """Parse a YAML file; YAML errors are returned in ``findings``."""
    name = str(path)
    try:
        text = Path(path).read_text(encoding='utf-8')
    except OSError as error:
        reason = f'cannot be read: {error.strerror}'
        return _make_unreadable(name, 1, reason)
    except UnicodeDecodeError:
        return _make_unreadable(name, 1, 'is not UTF-8 text')
    try:
        return _parse(name, text)
    except MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = 1 if mark is None else mark.line + 1
        return _make_unreadable(name, line, f'bad YAML: {error.problem}')
    except (YAMLError, ValueError) as error:
        return _make_unreadable(name, 1, f'bad YAML: {error}')


def check_schema(
    document: Document, schema: Mapping[str, Any]
) -> tuple[Finding, ...]:
    """Validate against a JSON Schema; return findings ordered by line."""
    return tuple(
        sort_findings(
            document.make_finding(path, reason)
            for path, reason in list_schema_faults(document, schema)
        )
    )


def list_schema_faults(
    document: Document, schema: Mapping[str, Any]
) -> tuple[SchemaFault, ...]:
    """Return path and message of each JSON Schema violation."""
    errors = Draft202012Validator(dict(schema)).iter_errors(document.content)
    # jsonschema reports one error per missing key, and each error is expanded
    # to all missing keys, so duplicates are removed.
    return tuple(
        dict.fromkeys(fault for error in errors for fault in _explain(error))
    )


@lru_cache
def load_schema(name: str) -> Mapping[str, Any]:
    """Load a schema from ``shallotgate.schema`` by name."""
    path = resources.files('shallotgate.schema') / f'{name}.yaml'
    text = path.read_text(encoding='utf-8')
    return MappingProxyType(YAML(typ='safe', pure=True).load(text))


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Sort findings by file, line and path."""
    return sorted(findings, key=_make_sort_key)


def _make_sort_key(finding: Finding) -> tuple[str, int, str]:
    name, _, line = finding.location.rpartition(':')
    return name, int(line), finding.path


def _make_unreadable(name: str, line: int, reason: str) -> Document:
    return Document(name, findings=(Finding(f'{name}:{line}', 'file', reason),))


def _parse(name: str, text: str) -> Document:
    node = YAML(typ='safe', pure=True).compose(text)
    loader = YAML(typ='safe', pure=True)
    # The node visitor reports every duplicate key with its line; the loader
    # would stop at the first one.
    loader.allow_duplicate_keys = True
    visitor = _NodeVisitor()
    if node is not None:
        visitor.visit(node, _ROOT)
    document = Document(name, lines=visitor.lines)
    findings = [
        document.make_finding(path, why) for path, why in visitor.faults
    ]
    findings.extend(
        Finding(f'{name}:{line}', '/'.join(map(str, path)), why)
        for path, line, why in visitor.duplicates
    )
    if visitor.faults:
        return Document(name, None, visitor.lines, tuple(findings))
    return Document(name, loader.load(text), visitor.lines, tuple(findings))


class _NodeVisitor:
    """Collects line numbers and errors from the YAML node tree."""

    def __init__(self) -> None:
        self.lines: dict[DocumentPath, int] = {_ROOT: 1}
        # Errors that make further validation impossible.
        self.faults: list[tuple[DocumentPath, str]] = []
        self.duplicates: list[tuple[DocumentPath, int, str]] = []
        self._parents: list[Node] = []

    def visit(self, node: Node, path: DocumentPath) -> None:
        """Record the line numbers of a node's children, recursively."""
        if any(parent is node for parent in self._parents):
            self.faults.append((path, 'refers to itself'))
            return
        self._parents.append(node)
        if isinstance(node, MappingNode):
            self._visit_mapping(node, path)
        elif isinstance(node, SequenceNode):
            for index, child in enumerate(node.value):
                self.lines[*path, index] = child.start_mark.line + 1
                self.visit(child, (*path, index))
        self._parents.pop()

    def _visit_mapping(self, node: MappingNode, path: DocumentPath) -> None:
        seen: dict[str, int] = {}
        for key, child in node.value:
            line = key.start_mark.line + 1
            if not isinstance(key, ScalarNode) or not _is_text(key):
                self.lines.setdefault((*path, str(key.value)), line)
                self.faults.append(
                    ((*path, str(key.value)), 'a key must be a string'),
                )
                continue
            step = (*path, key.value)
            first = seen.setdefault(key.value, line)
            if first != line or step in self.lines:
                reason = f'duplicate key; first on line {first}'
                self.duplicates.append((step, line, reason))
                continue
            self.lines[step] = line
            self.visit(child, step)


def _is_text(key: ScalarNode) -> bool:
    return str(key.tag) in {_STRING_TAG, _MERGE_TAG}


def _explain(error: ValidationError) -> Iterator[SchemaFault]:
    path: DocumentPath = tuple(error.absolute_path)
    content: Any = error.instance
    expected: Any = error.validator_value
    if error.validator == 'required':
        for missing in sorted(set(expected) - set(content)):
            yield (*path, missing), 'is missing'
    elif error.validator == 'additionalProperties':
        schema: Any = error.schema
        for extra in sorted(set(content) - set(schema.get('properties', ()))):
            yield (*path, extra), 'is unknown'
    else:
        known = _MESSAGES.get(str(error.validator), f'{error.validator}: {{}}')
        yield path, known.format(expected)
