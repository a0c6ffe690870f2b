"""Client, output and page requests shared by all commands."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from shallotgate.cli._client import HttpClient, HttpReply, UnknownOutcomeError
from shallotgate.cli._exits import ExitCode, get_exit_code
from shallotgate.cli._output import Output, format_pairs, format_table


@dataclass(frozen=True)
class Session:
    """Client and output of one invocation of the command line."""

    client: HttpClient
    output: Output

    def show_page(
        self,
        path: str,
        rows: str = '',
        columns: Sequence[str] = (),
    ) -> ExitCode:
        """Show an operator page.

        ``rows`` is the key of the list that is shown as a table; it is empty
        if the content is itself the list or contains none.
        """
        reply = self.fetch(path)
        if reply is None:
            return ExitCode.UNREACHABLE
        code = get_exit_code(reply)
        if code != ExitCode.OK:
            return self.show_refusal(reply)
        content = reply.content
        listed = content.get(rows) if isinstance(content, dict) else content
        if isinstance(listed, list) and columns:
            text = format_table(listed, columns) if listed else 'none'
        else:
            text = format_pairs(_as_mapping(content))
        self.output.show(content, text)
        return code

    def fetch(self, path: str) -> HttpReply | None:
        """Fetch a page; None if no complete response was received."""
        try:
            return self.client.call('GET', path)
        except UnknownOutcomeError as error:
            self.output.write_message(str(error))
            return None

    def show_refusal(self, reply: HttpReply) -> ExitCode:
        """Show an unsuccessful response with all its findings."""
        content = _as_mapping(reply.content)
        reason = content.get('reason', 'no reason given')
        lines = [f'{content.get("outcome", "failed")}: {reason}']
        lines.extend(
            f'{finding.get("path")}: {finding.get("reason")}'
            for finding in content.get('findings', ())
        )
        lines.append(content.get('advice', ''))
        self.output.show(reply.content, '\n'.join(lines).strip())
        return get_exit_code(reply)


def _as_mapping(content: Any) -> Mapping[str, Any]:
    return content if isinstance(content, dict) else {'answer': content}
