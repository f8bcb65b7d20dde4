"""Settings of the forwarding role."""

import dataclasses

from geraniumrail.backends.connections import ConnectionsConfig
from geraniumrail.core.byte_budget import DEFAULT_BUDGET_BYTES
from geraniumrail.fairness.quota import QUOTA_HEADROOM
from geraniumrail.fairness.retry_budget import RetryLimit
from geraniumrail.fairness.slack import Slack


@dataclasses.dataclass(frozen=True, kw_only=True)
class ForwardingConfig:
    """Bounds that hold over all entries together are divided by the number of entries."""

    retry_share: float = 0.18  # repeats for each request; below the ratio of 0.2 that is allowed
    retry_limit: RetryLimit = RetryLimit()
    quota_headroom: float = QUOTA_HEADROOM
    quota_slack: Slack = Slack()  # of all entries together
    # How long a new stream is taken after a planned stop has begun, and the part of its time.
    new_streams_s: float = 2.5
    new_streams_part: float = 0.3
    probe_timeout_s: float = 0.3  # of a connection that shows whether a backend server has ended
    # An entry that has just started, or lost its leader, has a lease again within two seconds. A
    # request waits for it, since most callers come back only once, and after their objective; what
    # is left of its time is enough for an answer, or for coming back once.
    lease_wait_s: float = 2.5
    lease_wait_part: float = 0.6  # of the time that the caller has
    limit_wait_s: float = 1.2  # for a leader that grants what the local part of a limit lacks
    limit_wait_part: float = 0.3  # of the time that the caller has
    lease_lost_s: float = 3.0  # no request waits when the lease was lost longer ago
    connections: ConnectionsConfig = ConnectionsConfig()
    body_budget_bytes: int = DEFAULT_BUDGET_BYTES  # of callers' bodies, all together
    # A stream that stands still is not given up before this time: an engine that runs short of
    # memory reads a prompt again, which takes up to half a second.
    least_stall_s: float = 1.0
    connect_attempts: int = 3  # backend servers to which no connection could be made
