"""What all forwarded requests of one entry share."""

import dataclasses
import random

from geraniumrail.backends.connections import Connections
from geraniumrail.core.clock import Clock
from geraniumrail.entry.cluster_view import ClusterView
from geraniumrail.entry.outcomes import Outcomes
from geraniumrail.fairness.leaderless_admission import LeaderlessAdmission
from geraniumrail.fairness.quota import Quota
from geraniumrail.fairness.retry_budget import RetryBudget
from geraniumrail.forwarding.answer_sizes import AnswerSizes
from geraniumrail.forwarding.config import ForwardingConfig
from geraniumrail.forwarding.demand import DemandCounter
from geraniumrail.forwarding.dialect import Dialect
from geraniumrail.forwarding.limit_lender import LimitLender
from geraniumrail.forwarding.places import Places
from geraniumrail.forwarding.recorder import Recorder
from geraniumrail.forwarding.usage_counter import UsageCounter
from geraniumrail.quarantine.part_watch import PartWatch


@dataclasses.dataclass(frozen=True, kw_only=True)
class Parts:
    """Shared by the runs."""

    view: ClusterView
    watch: PartWatch
    outcomes: Outcomes
    connections: Connections
    dialect: Dialect
    quota: Quota
    lender: LimitLender
    leaderless: LeaderlessAdmission
    retries: RetryBudget
    usage: UsageCounter
    demand: DemandCounter
    places: Places
    clock: Clock
    rng: random.Random
    recorder: Recorder
    config: ForwardingConfig
    data_centre: str
    region: str
    answer_sizes: AnswerSizes = dataclasses.field(default_factory=AnswerSizes)
