"""Composition of the control role."""

from pathlib import Path

from shallotgate.consensus import ReplicatedLog
from shallotgate.control import ControlService
from shallotgate.daemon._base import Base
from shallotgate.state import TierState


class ControlRole:
    """Member of the control group: replicated log, state and leader tasks."""

    def __init__(self, base: Base) -> None:
        settings = base.settings
        state = TierState()
        self.log = ReplicatedLog(
            mailbox=base.mailbox,
            timers=base.timers,
            machine=state,
            folder=Path(settings.data_folder),
            instance=settings.instance,
            members=settings.control_members,
            bootstrap=settings.bootstrap,
        )
        self._service = ControlService(
            mailbox=base.mailbox,
            timers=base.timers,
            log=self.log,
            state=state,
            settings=settings,
            metrics=base.metrics,
        )

    def subscribe(self) -> None:
        """Subscribe to messages; call before the mailbox starts."""
        self._service.start()

    def start(self) -> None:
        """Load the durable state and join the group."""
        self.log.start()

    def stop(self) -> None:
        """Transfer leadership and close the files."""
        if self.log.is_leading():
            self.log.transfer_leadership()
        self._service.stop()
        self.log.stop()
