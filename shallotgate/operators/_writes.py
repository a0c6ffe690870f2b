"""Handlers that commit a command or change the control group."""

from collections.abc import Mapping
from types import MappingProxyType

from shallotgate.codec import CodecError, decode_json, encode_json
from shallotgate.errors import CommitUnknownError
from shallotgate.generated.catalogue import Verdict
from shallotgate.generated.messages import ChangeCatalogue, Done, LiftQuarantine
from shallotgate.http import Request, Response, make_json_response
from shallotgate.logs import get_logger
from shallotgate.operators._input import (
    make_change_schema,
    make_text_object_schema,
    parse_body,
)
from shallotgate.operators._pages import make_leader_response
from shallotgate.operators._ports import OperatorPorts
from shallotgate.settings import OperatorKey

_LOGGER = get_logger('operators')
# Longer than an election, so that the loss of a leader does not fail requests.
_PROPOSE_TIMEOUT_S = 6
# A new member receives the whole committed state before it is admitted.
_REPLACE_TIMEOUT_S = 30
_STATUS_BY_OUTCOME: Mapping[str, int] = MappingProxyType(
    {
        'accepted': 200,
        'conflict': 409,
        'invalid': 422,
        'too_old': 422,
        'forbidden': 403,
    }
)
_LIFT_SCHEMA = make_text_object_schema('digest', 'reason')
_REPLACE_SCHEMA = make_text_object_schema('instance')


class WriteHandlers:
    """Handles requests that change the replicated state."""

    def __init__(self, ports: OperatorPorts) -> None:
        self._ports = ports
        self._change_schema = make_change_schema()

    def change_catalogue(
        self,
        request: Request,
        operator: OperatorKey,
    ) -> Response:
        """Commit a catalogue change and return its verdict."""
        change = parse_body(request.body, self._change_schema)
        outcome = self._ports.commands.propose(
            ChangeCatalogue(
                operator=operator.name,
                administrator=operator.administrator,
                change=encode_json(change),
                time=0,
            ),
            _PROPOSE_TIMEOUT_S,
        )
        verdict = _decode_verdict(outcome)
        _LOGGER.info(
            'Catalogue change evaluated.',
            extra={
                'operator': operator.name,
                'change_id': verdict.change_id,
                'outcome': verdict.outcome,
                'version': verdict.version,
            },
        )
        return make_json_response(_STATUS_BY_OUTCOME[verdict.outcome], verdict)

    def lift_quarantine(
        self,
        request: Request,
        operator: OperatorKey,
    ) -> Response:
        """Remove a digest from quarantine or clear its suspicion."""
        content = parse_body(request.body, _LIFT_SCHEMA)
        outcome = self._ports.commands.propose(
            LiftQuarantine(
                digest=content['digest'],
                operator=operator.name,
                reason=content['reason'],
                time=0,
            ),
            _PROPOSE_TIMEOUT_S,
        )
        if not isinstance(outcome, Done):
            raise CommitUnknownError(f'unexpected result {outcome!r}')
        return make_json_response(200 if outcome.changed else 404, outcome)

    def replace_member(
        self,
        request: Request,
        operator: OperatorKey,
    ) -> Response:
        """Admit the current identity of a control member.

        Only administrators may do so.
        """
        content = parse_body(request.body, _REPLACE_SCHEMA)
        if not operator.administrator:
            reason = 'only an administrator may change the control group'
            finding = {'path': 'request', 'reason': reason}
            return make_json_response(
                403,
                {
                    'outcome': 'refused',
                    'reason': 'forbidden',
                    'findings': [finding],
                },
            )
        answer = self._ports.leader.call_leader(
            'replace_member',
            content,
            _REPLACE_TIMEOUT_S,
        )
        return make_leader_response(answer)


def _decode_verdict(outcome: object) -> Verdict:
    if isinstance(outcome, Verdict):
        return outcome
    encoded = outcome if isinstance(outcome, bytes) else b''
    try:
        return decode_json(encoded, Verdict)
    except CodecError as error:
        reason = f'unexpected result {outcome!r}'
        raise CommitUnknownError(reason) from error
