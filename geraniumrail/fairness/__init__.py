"""Fair queueing by organisation, limits, shedding and retry budgets."""

from geraniumrail.fairness.engine_window import EngineWindow
from geraniumrail.fairness.entry_share import EntryShare, divide_by_demand
from geraniumrail.fairness.fair_queue import FairQueue
from geraniumrail.fairness.limits import Limits
from geraniumrail.fairness.organisation_limit import OrganisationLimit
from geraniumrail.fairness.queue_item import QueueItem
from geraniumrail.fairness.retry_budget import RetryBudget, retry_delay_s
from geraniumrail.fairness.shedder import Shedder

__all__ = (
    'EngineWindow',
    'EntryShare',
    'FairQueue',
    'Limits',
    'OrganisationLimit',
    'QueueItem',
    'RetryBudget',
    'Shedder',
    'divide_by_demand',
    'retry_delay_s',
)
