"""Entries and spreading of load knowledge in the experiment at the larger size."""

import dataclasses
import functools
import random
from collections.abc import Mapping, Sequence

from geraniumrail.bench.fake_engine import FakeEngine
from geraniumrail.bench.fleet import Fleet
from geraniumrail.bench.job import Job
from geraniumrail.bench.load_batch import FRAME_BYTES, ROW_BYTES, announcement_bytes, pack
from geraniumrail.bench.load_model import DirectEntry
from geraniumrail.bench.spread import Ring, Spread, choose_subset
from geraniumrail.bench.virtual_time import VirtualTime
from geraniumrail.core.backend import Backend
from geraniumrail.core.load_report import LoadReport
from geraniumrail.routing.backend_tracker import BackendTracker
from geraniumrail.routing.choice import choose
from geraniumrail.routing.estimate import Estimate

ANNOUNCE_S = 2.0
BATCH_S = 1.0
RELAY_S = 0.5
# Scanning all engines for each request takes most of a run; a random part gives the same draw.
_SCANNED = 12


class PerfectKnowledge(BackendTracker):
    """Reads the load of the engine itself, at the time of the choice."""

    def __init__(self, engines_by_name: Mapping[str, FakeEngine]) -> None:
        """Keeps the engines."""
        super().__init__()
        self._engines_by_name = engines_by_name

    def estimate(self, backend: Backend, now: float) -> Estimate:
        """Returns the true load."""
        report = self._engines_by_name[backend.instance].report()
        requests = report.running + report.queued
        speed = max(1, report.tokens_per_s)
        return Estimate(requests, report.slots, report.queued_tokens, speed, report.kv_used, 0)


class ScaleEntry(DirectEntry):
    """Uses a subset of the engines and learns from the answers that it relays."""

    def __init__(
        self, number: int, spread: Spread, fleet: Fleet, time: VirtualTime, seed: int
    ) -> None:
        """Chooses the subset; parameters as for `DirectEntry`."""
        super().__init__(number, choose, fleet, time, seed)
        self._data_centre = f'dc{number % 4}'
        self._region = f'region{number % 4 // 2}'
        if spread.perfect:
            self.knowledge = PerfectKnowledge(fleet.engines_by_name)
        self.subset = self._choose_subset(f'n{number}', spread, fleet.backends)
        self._candidates = [each for each in fleet.backends if each.instance in self.subset]

    def submit(self, job: Job) -> None:
        """Sends the job without prefixes, which are not part of this experiment."""
        job.prefixes = ()
        count = min(_SCANNED, len(self._candidates))
        self._send(job, self._rng.sample(self._candidates, count))

    def ring(self, backend: Backend) -> int:
        """Returns 0 for an engine in the same data centre, 1 in the region, 2 elsewhere."""
        if backend.data_centre == self._data_centre:
            return 0
        return 1 if backend.region == self._region else 2

    def _choose_subset(
        self, entry: str, spread: Spread, backends: Sequence[Backend]
    ) -> frozenset[str]:
        names = tuple(backend.instance for backend in backends)
        if spread.far is None:
            return choose_subset(entry, names, spread.subset or len(names))
        near = tuple(each.instance for each in backends if each.region == self._region)
        far = tuple(each.instance for each in backends if each.region != self._region)
        return choose_subset(entry, near, spread.subset - spread.far) | choose_subset(
            entry, far, spread.far
        )

    def _on_first(self, name: str, job: Job) -> None:
        report = self._fleet.engines_by_name[name].report()
        self.knowledge.observe_load(name, report, self._time.now)


@dataclasses.dataclass
class _Sent:
    at: float = 0
    occupancy: float = 0


class Spreader:
    """Delivers reports to entries by the rules of a `Spread` and counts the bytes."""

    def __init__(
        self, spread: Spread, fleet: Fleet, entries: Sequence[ScaleEntry], time: VirtualTime
    ) -> None:
        """Schedules the announcements; each goes to one entry.

        :param spread: rules.
        :param fleet: engines.
        :param entries: all entries.
        :param time: event queue.
        """
        self.sent_bytes: float = 0  # by all entries together; each byte is also received once
        self._spread = spread
        self._fleet = fleet
        self._entries = entries
        self._time = time
        self._rng = random.Random(1)
        self._last_sent: dict[tuple[str, int], _Sent] = {}
        self._holders_by_engine = {
            backend.instance: [each for each in entries if backend.instance in each.subset]
            for backend in fleet.backends
        }
        for number, backend in enumerate(fleet.backends):
            start = self._rng.uniform(0, ANNOUNCE_S)
            time.after(start, functools.partial(self._announce, number, backend))
            if spread.period_s < 1000:
                start = self._rng.uniform(0, spread.period_s)
                time.after(start, functools.partial(self._spread_to_all, backend))

    def _report(self, backend: Backend) -> LoadReport:
        return self._fleet.engines_by_name[backend.instance].report()

    def _announce(self, number: int, backend: Backend) -> None:
        report = self._report(backend)
        receiver = self._rng.choice(self._entries)
        receiver.knowledge.observe_load(backend.instance, report, self._time.now)
        # Received from outside: counted half, as `sent_bytes` counts bytes that are also received.
        self.sent_bytes += announcement_bytes(dataclasses.replace(backend, load=report)) / 2
        holders = self._holders_by_engine[backend.instance]
        if self._spread.rings:
            holders = [each for each in holders if self._due(backend, each, report)]
        if self._spread.forward:
            self._deliver(backend, report, holders)
            self.sent_bytes += len(holders) * (len(pack([(number, report)])) + FRAME_BYTES)
        elif self._spread.rings:
            self._deliver(backend, report, holders)
            # Sent through a tree of entries in batches; framing is counted by the experiment.
            self.sent_bytes += len(holders) * ROW_BYTES
        self._time.after(ANNOUNCE_S, functools.partial(self._announce, number, backend))

    def _spread_to_all(self, backend: Backend) -> None:
        self._deliver(backend, self._report(backend), self._entries)
        again = functools.partial(self._spread_to_all, backend)
        self._time.after(self._spread.period_s, again)

    def _due(self, backend: Backend, entry: ScaleEntry, report: LoadReport) -> bool:
        key = (backend.instance, id(entry))
        last = self._last_sent.setdefault(key, _Sent(at=-self._rng.uniform(0, ANNOUNCE_S)))
        occupancy = (report.running + report.queued) / report.slots
        if not _reached(self._spread.rings[entry.ring(backend)], last, occupancy, self._time.now):
            return False
        last.at = self._time.now
        last.occupancy = occupancy
        return True

    def _deliver(self, backend: Backend, report: LoadReport, entries: Sequence[ScaleEntry]) -> None:
        late = dataclasses.replace(report, age_s=RELAY_S)
        arrive = functools.partial(self._arrive, backend.instance, late, tuple(entries))
        self._time.after(RELAY_S, arrive)

    def _arrive(self, name: str, report: LoadReport, entries: Sequence[ScaleEntry]) -> None:
        for entry in entries:
            entry.knowledge.observe_load(name, report, self._time.now)


def _reached(ring: Ring, last: _Sent, occupancy: float, now: float) -> bool:
    elapsed = now - last.at + 0.01
    return (
        elapsed >= ring.time_s
        or elapsed / ANNOUNCE_S >= ring.announcements
        or abs(occupancy - last.occupancy) >= ring.occupancy
    )
