"""Commands that show state, and those on quarantine and control group."""

from shallotgate.cli._client import UnknownOutcomeError
from shallotgate.cli._exits import ExitCode, get_exit_code
from shallotgate.cli._output import format_pairs
from shallotgate.cli._session import Session

_INSTANCE_COLUMNS = (
    'instance',
    'domain',
    'roles',
    'readiness',
    'caller_address',
    'operator_address',
)
_TARGET_COLUMNS = (
    'target',
    'service',
    'domain',
    'ownership.instance',
    'ownership.state',
    'state.limit',
    'state.in_flight',
    'state.queued',
    'state.latency_ms',
    'state.cold',
    'state.draining',
    'state.lost',
)
_QUARANTINE_COLUMNS = ('digest', 'status', 'targets', 'since')


class ReadCommands:
    """Read-only commands."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def show_instances(self) -> ExitCode:
        """Show the live instances."""
        return self._session.show_page(
            '/v1/instances',
            'instances',
            _INSTANCE_COLUMNS,
        )

    def show_targets(self) -> ExitCode:
        """Show targets with their owner and load."""
        return self._session.show_page(
            '/v1/targets',
            'targets',
            _TARGET_COLUMNS,
        )

    def show_snapshots(self) -> ExitCode:
        """Show index versions and their coverage."""
        return self._session.show_page('/v1/snapshots')

    def show_status(self) -> ExitCode:
        """Show the control leader's status."""
        return self._session.show_page('/v1/status')

    def show_quarantine(self) -> ExitCode:
        """Show digests that are suspect, on trial or in quarantine."""
        return self._session.show_page(
            '/v1/quarantine',
            'quarantine',
            _QUARANTINE_COLUMNS,
        )


class WriteCommands:
    """Commands that change the quarantine or the control group."""

    def __init__(self, session: Session) -> None:
        self._session = session

    def lift_quarantine(self, digest: str, *, reason: str) -> ExitCode:
        """Allow requests with a quarantined digest to run again.

        :param digest: Digest as ``quarantine show`` prints it.
        :param reason: Reason, recorded in the log.
        """
        content = {'digest': digest, 'reason': reason}
        return self._post('/v1/quarantine/lift', content, 'lifted')

    def replace_member(self, instance: str) -> ExitCode:
        """Readmit a control member that restarted with an empty disk.

        :param instance: Id of the instance.
        """
        content = {'instance': instance}
        return self._post('/v1/control/replace', content, 'replaced')

    def _post(self, path: str, content: object, success_text: str) -> ExitCode:
        try:
            reply = self._session.client.call('POST', path, content)
        except UnknownOutcomeError as error:
            self._session.output.write_message(f'outcome unknown: {error}')
            return ExitCode.UNKNOWN
        if get_exit_code(reply) != ExitCode.OK:
            return self._session.show_refusal(reply)
        details = reply.content if isinstance(reply.content, dict) else {}
        text = f'{success_text}\n{format_pairs(details)}'.strip()
        self._session.output.show(reply.content, text)
        return ExitCode.OK
