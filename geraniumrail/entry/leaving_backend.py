"""Tells an announced end of a backend server from a crash."""

from geraniumrail.core.backend import Backend
from geraniumrail.entry.cluster_view import ClusterView


def is_leaving(view: ClusterView, backend: Backend) -> bool:
    """Returns whether a backend server has left or announced that it leaves.

    :param view: what the entry knows.
    :param backend: the backend server.
    """
    known = view.backends_by_instance.get(backend.instance)
    return known is None or known.state == 'leaving'
