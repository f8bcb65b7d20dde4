"""Applies the concurrency limits to the requests that are forwarded to plain services."""

from geraniumrail.admission.ask import Ask
from geraniumrail.admission.place import Place
from geraniumrail.admission.service_gate import ServiceGate
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.core.load_report import LoadReport
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.forwarding import events


class Places:
    """One gate for each plain service whose backend servers report their load."""

    def __init__(self, view: ClusterView, clock: Clock) -> None:
        """Starts without gates.

        :param view: of the entry.
        :param clock: time.
        """
        self.gates: dict[str, ServiceGate] = {}
        self._view = view
        self._clock = clock

    def limits(self, service: str) -> bool:
        """Returns whether the backend servers of a service have reported their load to this entry.

        :param service: its name.
        """
        return service in self.gates

    async def enter(self, service: str, ask: Ask, instances: frozenset[str]) -> Place:
        """Returns where a request may be sent now.

        :param service: name of a service whose backend servers report their load.
        :param ask: the request.
        :param instances: the backend servers that may serve it, at least one.
        :raises NotRunError: if no place will be free in time.
        """
        return await self.gates[service].enter(ask, instances)

    def observe(self, service: str, instance: str, report: LoadReport) -> None:
        """Takes the load that an answer of a plain service reports.

        :param service: name of the service.
        :param instance: the backend server.
        :param report: its load.
        """
        gate = self._gate(service)
        if gate is None or not gate.observe(instance, report):
            return
        limit = gate.limits.limit(instance)
        log(
            events.LIMIT_BEGAN if limit.is_limited else events.LIMIT_ENDED,
            service=service,
            backend=instance,
            running=report.running,
            queued=report.queued,
            slots=report.slots,
            work_s=round(limit.work_s, 4),
            rate_per_s=round(limit.rate_per_s, 2),
            waiting=gate.waiting,
        )

    def answered(self, service: str, instance: str, seconds: float) -> None:
        """Learns from the time that an answer took.

        :param service: name of the service.
        :param instance: the backend server.
        :param seconds: from sending to the answer.
        """
        gate = self.gates.get(service)
        if gate is not None:
            gate.answered(instance, seconds)

    def reject_all(self) -> None:
        """Rejects all waiting requests."""
        for gate in self.gates.values():
            gate.reject_all()

    def waiting_by_service(self) -> dict[str, int]:
        """Returns the number of waiting requests of each service."""
        return {service: gate.waiting for service, gate in self.gates.items()}

    def rates_by_service(self) -> dict[str, float]:
        """Returns the requests a second that this entry may send to limited backend servers."""
        return {
            service: sum(
                limit.rate_per_s for limit in gate.limits.by_instance.values() if limit.is_limited
            )
            for service, gate in self.gates.items()
        }

    def _gate(self, service: str) -> ServiceGate | None:
        gate = self.gates.get(service)
        spec = self._view.table.services_by_name.get(service)
        if gate is None and spec is not None and spec.engine is None:
            gate = ServiceGate(self._clock, lambda: self._view.entry_count.highest)
            self.gates[service] = gate
        return gate
