"""What attempts need: a lease, as the first one has, and a server that is not held back."""

from geraniumrail.core.backend import Backend
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.errors.backend import NoBackendError

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


def require_servers(view: ClusterView, service: str) -> None:
    """Checks that a request need not wait for the end of an evacuation.

    :param view: of the entry.
    :param service: name of the service.
    :raises NoBackendError: if all backend servers of the service are held back.
    """
    if view.evacuations.hold_back_all(view.backends_by_instance.values(), service):
        raise NoBackendError(service=service)
