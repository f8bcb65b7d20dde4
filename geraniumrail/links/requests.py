"""Records of calls to the control leader."""

from geraniumrail.core.backend import Backend
from geraniumrail.core.codec import record
from geraniumrail.state.evacuation import Evacuation
from geraniumrail.state.move import Move


@record
class Announce:
    """Brings an announcement to the control leader."""

    backend: Backend


@record
class Withdraw:
    """Tells the control leader that a backend server takes no more work."""

    instance: str
    incarnation: int


@record
class ReadDeployment:
    """Asks the leader for the newest configuration, confirmed by a majority."""


@record
class DeploymentNow:
    """The newest configuration as it was sent."""

    version: int
    source: bytes


@record
class ReadMove:
    """Asks the leader for the last version move of a service, confirmed by a majority."""

    service: str


@record
class MoveNow:
    """The last version move of a service."""

    move: Move


@record
class BeginMove:
    """Asks the leader to start a version move away from the versions in use."""

    service: str
    to_version: str
    duration_s: float


@record
class ReadEvacuations:
    """Asks the leader for the evacuated data centres, confirmed by a majority."""


@record
class EvacuationsNow:
    """The evacuated data centres."""

    number: int  # of the last change of any
    evacuations: tuple[Evacuation, ...]


@record
class ChangeEvacuation:
    """Asks the leader to start or end an evacuation, unless there was another change since."""

    data_centre: str
    evacuated: bool
    after: int  # number of the last change that the sender has read
    operator: str


@record
class EvacuationChanged:
    """What became of it."""

    is_current: bool  # False: another change came before, and nothing was done


@record
class TakeLimit:
    """Asks the leader for a part of an organisation's limit."""

    organisation: str
    cost: float  # what the entry lacks
    size: float = 0  # whole cost of the request; 0: not told
    rank: int = 5  # of its route; 0 is the most urgent
    local_admitted: int = 0  # requests decided by the entry alone since its last question
    local_rejected: int = 0  # of these, large ones that were rejected
    local_tokens: float = 0  # whole cost of both
    known_mean: float = 0  # `mean` of an earlier answer while the limit was scarce


@record
class LimitTaken:
    """What became of it."""

    wait_s: float = 0  # until something is left again; 0: it was taken
    leads: bool = True  # False: nothing was taken, since the asked member does not lead
    starting: bool = False  # the leader is new, and its ledger has not filled yet
    retry_after_s: float = 0  # until the request is likely to be granted
    mean: float = 0  # mean cost of the organisation's requests; 0: its limit is not scarce


@record
class Join:
    """Asks the leader to take a replica into the group."""

    replica_id: str
    address: str
