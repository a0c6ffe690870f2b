"""Wire format of callers: JSON as the schema of answers tells."""

from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from importlib.resources import files
from typing import Any, Protocol

from jsonschema import Draft202012Validator
from jsonschema.exceptions import ValidationError
from ruamel.yaml import YAML

from shallotgate.codec import (
    CodecError,
    decode_json,
    encode_json,
    load_builtins,
)
from shallotgate.generated.answers import Answer, AnswerFinding, QueryRequest

_MAX_REASON_LENGTH = 200


@dataclass(frozen=True)
class ParsedRequest:
    """A caller's request as far as it could be read."""

    # None if there are findings.
    request: QueryRequest | None
    # Fields with valid types.
    fields: Mapping[str, Any]
    findings: Sequence[AnswerFinding]


class WireFormat(Protocol):
    """Reads requests and writes answers of callers."""

    content_type: str

    def parse(self, body: bytes) -> ParsedRequest:
        """Read a request; all faults are findings."""

    def render(self, answer: Answer) -> bytes:
        """Write an answer."""


class JsonWireFormat:
    """JSON in both directions, checked against ``schema/answers.yaml``.

    >>> parsed = JsonWireFormat().parse(b'{"group": "g", "limit": 0, "x": 1}')
    >>> for finding in parsed.findings:
    ...     print(finding.path, finding.reason)
    class_name missing
    limit 0 is less than the minimum of 1
    query missing
    x unknown field
    """

    content_type = 'application/json'

    def __init__(self) -> None:
        self._validator = _load_validator()

    def parse(self, body: bytes) -> ParsedRequest:
        """Read a request; all faults are findings."""
        try:
            fields = decode_json(body, dict[str, Any])
        except CodecError as error:
            finding = AnswerFinding(path='body', reason=str(error))
            return ParsedRequest(None, {}, [finding])
        findings = sorted(
            {
                finding
                for error in self._validator.iter_errors(fields)
                for finding in _read_findings(error)
            },
            key=lambda finding: finding.path,
        )
        if findings:
            faulty = {finding.path.split('/')[0] for finding in findings}
            # A missing key is a fault of some classes.
            valid = {
                name: content
                for name, content in {'key': '', **fields}.items()
                if name not in faulty
            }
            return ParsedRequest(None, valid, findings)
        return ParsedRequest(load_builtins(fields, QueryRequest), fields, [])

    def render(self, answer: Answer) -> bytes:
        """Write an answer."""
        return encode_json(answer)


def _load_validator() -> Draft202012Validator:
    source = files('shallotgate').joinpath('schema').joinpath('answers.yaml')
    schema = YAML(typ='safe').load(source.read_text())
    return Draft202012Validator(
        {'$ref': '#/$defs/QueryRequest', '$defs': schema['$defs']},
    )


def _read_findings(error: ValidationError) -> Iterator[AnswerFinding]:
    """Return one finding for each faulty field."""
    fields: Any = error.instance
    schema: Any = error.schema
    if error.validator == 'required':
        # Each missing field has an error of its own that names all of them.
        for name in schema['required']:
            if name not in fields:
                yield AnswerFinding(path=name, reason='missing')
    elif error.validator == 'additionalProperties':
        for name in fields.keys() - schema['properties'].keys():
            yield AnswerFinding(path=name, reason='unknown field')
    else:
        path = '/'.join(str(step) for step in error.absolute_path)
        # The message holds the faulty value, which may be long.
        reason = error.message[:_MAX_REASON_LENGTH]
        yield AnswerFinding(path=path, reason=reason)
