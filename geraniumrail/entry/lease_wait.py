"""Further attempts of a request, as the first one, are made only under a lease."""

from geraniumrail.core.backend import Backend
from geraniumrail.entry.cluster_view import ClusterView

# As `ForwardingConfig.lease_wait_s` and `.lease_lost_s`.
LEASE_WAIT_S = 2.5
LEASE_LOST_S = 3.0


async def regains_lease(
    view: ClusterView, left_s: float, wait_s: float = LEASE_WAIT_S, lost_s: float = LEASE_LOST_S
) -> bool:
    """Waits for a lease that was lost just now; returns whether it is held.

    An entry without a lease may lack an evacuation: a data centre got no requests for seconds, and
    an entry that had been frozen repeated requests there that were broken off meanwhile.

    :param view: of the entry.
    :param left_s: seconds that the request has left.
    :param wait_s: seconds to wait at most.
    :param lost_s: a lease that was lost longer ago is not waited for.
    """
    return view.holds_lease() or await view.wait_for_lease(max(0, min(wait_s, left_s)), lost_s)


def may_send(view: ClusterView, backend: Backend) -> bool:
    """Returns whether a request may still go to the backend server that was chosen for it.

    :param view: of the entry.
    :param backend: the backend server.
    """
    return view.holds_lease() and not view.evacuations.hold_back(backend)
