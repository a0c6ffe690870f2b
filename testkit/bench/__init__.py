"""Open-loop load and experiments on a reduced deployment."""

from testkit.bench._report import format_table, summarize
from testkit.bench._run import RunResult, run_scenario
from testkit.bench._scenario import Event, Scenario, load_scenario

__all__ = (
    'Event',
    'RunResult',
    'Scenario',
    'format_table',
    'load_scenario',
    'run_scenario',
    'summarize',
)
