"""Completions: limits, fair queue and the parts that all runs of this entry share."""

import asyncio
import collections
import dataclasses
import random
from collections.abc import Iterable

from geraniumrail.backends.engine_client import EngineClient
from geraniumrail.core.backend import Backend
from geraniumrail.core.clock import Clock
from geraniumrail.core.events import log
from geraniumrail.entry import events
from geraniumrail.entry.admission import Admission
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.completion_call import CompletionCall
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.errors.backend import BackendError
from geraniumrail.errors.request import UnknownModelError
from geraniumrail.fairness.engine_window import EngineWindow
from geraniumrail.fairness.limits import Limits
from geraniumrail.fairness.organisation_limit import OrganisationLimit
from geraniumrail.fairness.retry_budget import RetryBudget
from geraniumrail.quarantine.part_watch import PartWatch
from geraniumrail.settings.effective import Effective


@dataclasses.dataclass(frozen=True)
class Place:
    """Where this entry stands."""

    entry: str  # id with incarnation
    data_centre: str
    region: str


class Completions:
    """Shared state of the completion runs."""

    def __init__(
        self,
        place: Place,
        view: ClusterView,
        outcomes: Outcomes,
        watch: PartWatch,
        retries: RetryBudget,
        client: EngineClient,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Connects the parts.

        :param place: where this entry stands.
        :param view: settings and backend servers.
        :param outcomes: breaker and outcome log.
        :param watch: prompt parts that crash engines.
        :param retries: budget of the entry.
        :param client: sends to engines.
        :param clock: time.
        :param rng: source of routing draws.
        """
        self.place = place
        self.view = view
        self.outcomes = outcomes
        self.watch = watch
        self.client = client
        self.clock = clock
        self.rng = rng
        self.limits = Limits()
        self.retries = retries
        self.window = EngineWindow()
        self.in_progress = 0
        self._cancels: set[asyncio.Task[None]] = set()
        self._admissions: dict[tuple[str, str, str], Admission] = {}

    def admission(self, service: str, model: str, version: str) -> Admission:
        """Returns the queue of a service, model and version.

        A queue for each version, so that full engines of one version don't hold up the other.

        :param service: name of the service.
        :param model: name of the model.
        :param version: drawn for the request; empty if any may serve.
        """
        key = (service, model, version)
        if key not in self._admissions:

            def engines() -> list[str]:  # noqa: WPS430 - binds the key
                return [
                    backend.instance
                    for backend in self.view.candidates(service)
                    if model in backend.models and version in {'', backend.version}
                ]

            self._admissions[key] = Admission(service, self.window, self.clock, engines)
        return self._admissions[key]

    def introduce(self, backend: Backend) -> None:
        """Opens the window of an engine by the slots that it reports.

        Twice an equal part, because callers do not spread evenly over the entries.

        :param backend: announcement.
        """
        entries = max(1, len(self.view.entries))
        self.window.add(backend.instance, 2 * backend.load.slots / entries)

    def reported(self, instances: Iterable[str]) -> None:
        """Adapts the windows of engines that sent a load report.

        :param instances: which engines.
        """
        for instance in instances:
            backend = self.view.backends_by_instance.get(instance)
            if backend is not None and backend.load_known:
                self.introduce(backend)
                self.window.record_load(instance, backend.load)

    def pump(self) -> None:
        """Grants turns, after engines or settings have changed."""
        for admission in self._admissions.values():
            admission.pump()

    def queue_depths(self) -> dict[str, int]:
        """Returns the number of requests that wait, by service."""
        depths: collections.Counter[str] = collections.Counter()
        for (service, _, _), admission in self._admissions.items():
            depths[service] += admission.queue.depth()
        return dict(depths)

    def service_of(self, model: str) -> str:
        """Returns the service that serves a model.

        :param model: name of the model.
        :raises UnknownModelError: if no live engine announced it.
        """
        for backend in self.view.backends_by_instance.values():
            if model in backend.models:
                return backend.service
        raise UnknownModelError(model=model)

    def models(self) -> list[str]:
        """Returns the announced models."""
        backends = self.view.backends_by_instance.values()
        return sorted({model for backend in backends for model in backend.models})

    def admit(self, call: CompletionCall, settings: Effective) -> None:
        """Charges the organisation's limits.

        :param call: the request.
        :param settings: effective settings.
        :raises OverloadedError: if a limit is exceeded.
        """
        limit = OrganisationLimit(
            requests_per_s=settings.requests_per_s,
            tokens_per_s=settings.tokens_per_s,
            concurrent=settings.max_concurrent,
        )
        self.limits.admit(call.organisation, call.tokens, limit, self.clock.now())
        self.retries.record_request(call.service, settings.retry_budget, self.clock.now())

    def cancel(self, backend: Backend, request_id: str, attempt: int) -> None:
        """Stops an abandoned attempt at its engine, on a connection of its own.

        :param backend: the engine.
        :param request_id: the request.
        :param attempt: the attempt.
        """
        task = asyncio.create_task(self._cancel(backend, request_id, attempt))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)

    async def _cancel(self, backend: Backend, request_id: str, attempt: int) -> None:
        try:
            await self.client.cancel(backend, request_id, attempt)
        except BackendError as error:
            log(events.CANCEL_FAILED, request=request_id, attempt=attempt, reason=str(error))

    def settle(self, call: CompletionCall, answer_tokens: int) -> None:
        """Corrects the charge of a request that has ended.

        :param call: the request.
        :param answer_tokens: tokens of the answer.
        """
        used = call.prompt_tokens + answer_tokens
        self.limits.finish(call.organisation, call.tokens, used, self.clock.now())
