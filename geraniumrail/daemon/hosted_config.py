"""Settings of a process that runs on somebody else's platform."""

import dataclasses

from geraniumrail.config.control import LEAST_LOG_BYTES
from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.consensus.config import DEFAULT_LOG_BYTES
from geraniumrail.core.byte_budget import DEFAULT_BUDGET_BYTES
from geraniumrail.fairness.retry_budget import RetryLimit
from geraniumrail.fairness.slack import Slack

# A group on small machines that are close to each other; a common restart is over in two of these.
ELECTION_TIMEOUT_S = 1.0
# Callers that keep an answer three times as long still leave a stopping entry within its grace.
KEEP_FOR_S = 2.0
# Part of the tolerated slack that is used; the rest covers entries that start with full buckets and
# the one request by which a ledger exceeds its bucket.
QUOTA_SLACK_PART = 0.75
# Parts of what is tolerated of retries that are used. A process that restarts uses its part of the
# slack once more.
RETRY_RATIO = 0.2  # tolerated where nothing else is known
RETRY_RATIO_PART = 0.9
RETRY_SLACK_PART = 0.5
# Parts of the memory limit. Joining an answer takes as much as the largest once more, and a body
# that is sent is kept twice; the rest is for the process itself.
ANSWERS_PART = 0.2
BODIES_PART = 0.15
# Parts of the memory and of the disk that the log of a control process takes between snapshots. It
# is held in memory, and on disk beside its successor while it is replaced; a restarted process
# applies all of it before it serves, and a new replica is sent all of it.
LOG_MEMORY_PART = 1 / 32
LOG_DISK_PART = 1 / 16
BYTES_PER_MB = 1_000_000
# What an entry needs for each core that is busy forwarding: its memory without requests aside, the
# scarcest of processor, memory and link decides how many callers it can bear.
IDLE_PROCESS_MB = 70
MB_PER_CORE = 200
MBPS_PER_CORE = 8
MIN_CAPACITY = 0.01  # of an entry that is given to callers at all


@dataclasses.dataclass(frozen=True, kw_only=True)
class HostedConfig:
    """The daemon's own settings, and what the platform expects of it."""

    daemon: DaemonConfig
    usage_window_s: float = 0  # 0: usage is not reported
    usage_late_s: float = 0  # after the end of a window; its report is due then
    orders_backends: bool = False  # backend servers are ordered from the platform
    duty_lease_s: float = 3  # within which two holders of a duty must not alternate
    quota_slack: Slack = Slack()  # by which limits may be exceeded by all entries together
    retry_share: float = RETRY_RATIO_PART * RETRY_RATIO  # retries for each request
    retry_limit: RetryLimit = RetryLimit()
    grace_s: float = 8  # between the signal to stop and the kill
    memory_mb: float = 0  # above which the process is killed; 0: not known
    disk_mb: float = 0  # of the data folder; 0: not known
    keep_for_s: float = KEEP_FOR_S  # how long callers may keep an answer of the directory
    cores: float = 0  # processor time in a second, in cores; 0: not known
    link_mbps: float = 0  # 0: not known
    max_descriptors: int = 0  # 0: not known
    # A cold backend server may get its rate times the first, plus the second, in one second.
    cold_overage: float = 1
    cold_slack: float = 0


def answer_budget_bytes(memory_mb: float) -> int:
    """Returns how many bytes of answers of backend servers an entry keeps, all together.

    :param memory_mb: limit of the process; 0 if it is not known.
    """
    return int(ANSWERS_PART * memory_mb * BYTES_PER_MB) or DEFAULT_BUDGET_BYTES


def body_budget_bytes(memory_mb: float) -> int:
    """Returns how many bytes of callers' bodies an entry keeps, all together.

    :param memory_mb: limit of the process; 0 if it is not known.
    """
    return int(BODIES_PART * memory_mb * BYTES_PER_MB) or DEFAULT_BUDGET_BYTES


def log_bytes(memory_mb: float, disk_mb: float) -> int:
    """Returns after how many bytes of commands a control process replaces its log by a snapshot.

    :param memory_mb: limit of the process; 0 if it is not known.
    :param disk_mb: of the data folder; 0 if it is not known.
    """
    parts = (memory_mb * LOG_MEMORY_PART, disk_mb * LOG_DISK_PART)
    known = (int(part * BYTES_PER_MB) for part in parts if part > 0)
    return max(LEAST_LOG_BYTES, min((DEFAULT_LOG_BYTES, *known)))


def sized_daemon(config: HostedConfig) -> DaemonConfig:
    """Returns the daemon's own settings with the bound of the log that its machine allows.

    :param config: settings of the process.
    """
    bound = log_bytes(config.memory_mb, config.disk_mb)
    control = dataclasses.replace(config.daemon.control, snapshot_after_bytes=bound)
    return dataclasses.replace(config.daemon, control=control)


def voters_for(losses: int) -> int:
    """Returns the number of voters whose majority outlives a number of losses.

    :param losses: processes that may be lost at once, with their disks.
    """
    return 2 * losses + 1


def usable_slack(tokens: float, window_s: float) -> Slack:
    """Returns the slack to use of what is tolerated.

    :param tokens: tolerated in each window.
    :param window_s: its length in seconds.
    """
    return Slack(QUOTA_SLACK_PART * tokens, window_s)


def usable_retries(slack: float, window_s: float) -> RetryLimit:
    """Returns the limit of retries to use of what is tolerated.

    :param slack: tolerated in each window beyond a share of its requests.
    :param window_s: its length in seconds.
    """
    return RetryLimit(window_s=window_s, slack=RETRY_SLACK_PART * slack)


def entry_capacity(config: HostedConfig) -> float:
    """Returns what the machine of an entry can bear, in cores; 1 if nothing is known of it.

    :param config: settings of the process.
    """
    known = (
        (config.cores, config.cores),
        (config.memory_mb, (config.memory_mb - IDLE_PROCESS_MB) / MB_PER_CORE),
        (config.link_mbps, config.link_mbps / MBPS_PER_CORE),
    )
    capacities = [capacity for figure, capacity in known if figure > 0]
    return max(MIN_CAPACITY, min(capacities)) if config.cores > 0 else 1
