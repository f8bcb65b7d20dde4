"""What a platform's adapter brings; it translates and decides nothing."""

from typing import TYPE_CHECKING, Protocol

from geraniumrail.daemon.hosted_config import HostedConfig

if TYPE_CHECKING:
    # Loading what speaks HTTP takes longer than an election.
    from geraniumrail.callers.client_limits import ClientLimits
    from geraniumrail.control.access import ControlAccess
    from geraniumrail.control.control import Control
    from geraniumrail.control.duty_call import DutyTarget
    from geraniumrail.entry.entry import Entry
    from geraniumrail.forwarding.dialect import Dialect


class Front(Protocol):
    """Servers of one role."""

    async def start(self) -> None:
        """Listens."""

    async def stop(self) -> None:
        """Stops listening and ends the connections."""


class HostedAdapter(Protocol):
    """Loads each part when it is first asked for."""

    def dialect(self) -> 'Dialect':
        """Returns the headers between the entries and the backend servers."""

    def caller_front(self, entry: 'Entry', clients: 'ClientLimits') -> Front:
        """Returns the servers for callers.

        :param entry: the entry role.
        :param clients: limits of all connections of the process.
        """

    def control_front(
        self, control: 'Control', access: 'ControlAccess', clients: 'ClientLimits'
    ) -> Front:
        """Returns the servers for operators, backend servers and the directory.

        :param control: the control role.
        :param access: calls to the leader.
        :param clients: limits of all connections of the process.
        """

    def duty_target(self) -> 'DutyTarget | None':
        """Returns the platform's own API, or None if this process calls none."""

    def stamp(self) -> object:
        """Returns a value that changes with the settings file."""

    def reread(self) -> HostedConfig:
        """Reads the settings again.

        :raises ConfigError: if they are refused.
        """
