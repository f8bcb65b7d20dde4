"""Builds the reports of an entry to the control leader."""

import dataclasses

from geraniumrail.core.clock import Clock
from geraniumrail.entry.announces import Announces
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.completions import Completions
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.forwarding.forwarder import Forwarder
from geraniumrail.links.messages import EntryInfo, EntryReport, Usage


@dataclasses.dataclass
class Reporter:
    """What the report says is taken once: it is not repeated in the next one."""

    info: EntryInfo  # without what changes
    view: ClusterView
    announces: Announces
    outcomes: Outcomes
    completions: Completions
    forwarder: Forwarder
    clock: Clock
    state: str = 'serving'
    reported_at: float = 0

    def build(self, sequence: int) -> EntryReport:
        """Returns the next report.

        :param sequence: its number.
        """
        now = self.clock.now()
        parts = self.forwarder.parts
        demand = self.completions.limits.pop_demand(now - self.reported_at)
        demand |= parts.quota.pop_demand()
        admitted = parts.quota.pop_admitted()
        rate = self.view.knowledge.prefill_rate
        crashes, sounds = parts.watch.report()
        self.reported_at = now
        return EntryReport(
            sequence=sequence,
            info=dataclasses.replace(
                self.info, state=self.state, applied_revision=self.view.tree.revision
            ),
            registry_version=self.view.registry_version,
            announces=self.announces.take_pending(),
            outcomes=self.outcomes.log.drain(),
            usage=tuple(
                Usage(
                    organisation=name,
                    tokens=demand.get(name, 0),
                    admitted=admitted.get(name, 0),
                )
                for name in demand.keys() | admitted.keys()
            ),
            breakers=self.outcomes.breaker.reports(),
            deployment_version=self.view.table.version,
            started=parts.usage.report(now),
            wall=self.clock.wall(),
            demand=parts.demand.take(rate.tokens_per_s if rate.is_known else 0),
            holds_lease=self.view.holds_lease(),
            takes_packed=True,
            crashes=crashes,
            sounds=sounds,
            held_back=parts.watch.held_back.report(now),
            limits=self.view.knowledge.limits.report(now),
            cold=self.view.knowledge.cold.report(now),
        )
