"""Feeds outcomes to the breaker at once and to the control leader with the next report."""

from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.rollout.entry_breakers import EntryBreakers
from geraniumrail.rollout.load_band import load_band
from geraniumrail.rollout.outcome_counter import OutcomeCounter


class Outcomes:
    """What this entry saw of each version."""

    def __init__(self, view: ClusterView, clock: Clock) -> None:
        """Connects the parts.

        :param view: knows the running moves.
        :param clock: time.
        """
        self.breaker = EntryBreakers()
        self.log = OutcomeCounter()
        self._view = view
        self._clock = clock
        self._moved_services: frozenset[str] = frozenset()

    def follow_moves(self) -> None:
        """Tells the breaker which moves run."""
        running = [move for move in self._view.moves_by_id.values() if move.running()]
        services = frozenset(each.service for each in running)
        for move in running:
            self.breaker.set_move(move.service, move.from_version, move.to_version, move.step)
        for service in self._moved_services - services:
            self.breaker.remove_move(service)
        self._moved_services = services

    def version(self, service: str, route: str, draw: float) -> str:
        """Returns the version for a request; empty if any version may serve.

        A request keeps its draw, so that a full engine of one version sends nothing to the other.

        :param service: name of the service.
        :param route: name of the route.
        :param draw: from 0 to 1; the new version takes the lowest draws.
        """
        move = self._view.running_move(service)
        if move is None:
            shares = self._view.version_shares(service)
            return shares[0][0] if shares else ''
        now = self._clock.now()
        if draw >= move.share or not self._has_backend(service, move.to_version):
            return move.from_version
        blocked = self.breaker.blocked(service, move.to_version, route, now)
        return move.from_version if blocked else move.to_version

    def band(self, backend: Backend) -> int:
        """Returns the load band of a version now, before a request is sent.

        :param backend: the backend server that will get it.
        """
        now = self._clock.now()
        estimates = [
            self._view.knowledge.estimate(each, now)
            for each in self._view.candidates(backend.service)
            if each.version == backend.version
        ]
        requests = sum(estimate.requests for estimate in estimates)
        return load_band(int(requests), 0, sum(estimate.slots for estimate in estimates))

    def _has_backend(self, service: str, version: str) -> bool:
        return any(backend.version == version for backend in self._view.candidates(service))

    def observe(
        self,
        service: str,
        version: str,
        route: str,
        organisation: str,
        failed: bool | None,
        first_token_s: float | None = None,
        between_tokens_s: float | None = None,
        band: int = 0,
    ) -> None:
        """Counts an outcome, in parts as soon as each part is known.

        :param service: name of the service.
        :param version: version of the backend server.
        :param route: name of the route.
        :param organisation: organisation of the caller.
        :param failed: whether the attempt failed; None while it has not ended.
        :param first_token_s: seconds to the first token, if known.
        :param between_tokens_s: mean seconds between tokens, if known.
        :param band: `load_band` of the backend server when the request was sent.
        """
        now = self._clock.now()
        self.log.observe(
            service,
            version,
            route,
            organisation,
            failed,
            first_token_s,
            between_tokens_s,
            self._clock.wall(),
            band,
        )
        self.breaker.observe(
            service,
            version,
            route,
            failed,
            first_token_s,
            between_tokens_s,
            now,
            band,
        )
