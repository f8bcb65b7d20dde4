"""Settings of a replica."""

import dataclasses

# Of entries since a snapshot, where the memory and the disk of the machine are not known.
DEFAULT_LOG_BYTES = 16777216
# Part of `snapshot_after_bytes` that is kept before a snapshot.
_KEPT_PART = 8


@dataclasses.dataclass(frozen=True, kw_only=True)
class ReplicaConfig:
    """Settings of one replica; times are in seconds."""

    name: str  # first part of the replica id
    address: str  # ip:port at which the other replicas reach this one
    group: str = 'main'
    heartbeat_s: float = 0.4
    # A leader stops acting this long after its last contact with a majority. The lease is shorter
    # than the election timeout because clocks run at different rates.
    lease_s: float = 1.5
    election_timeout_s: float = 2.0  # lower bound; each timeout is drawn from one to two times this
    tick_s: float = 0.05  # interval of the checks of the lease and the election timeout
    call_timeout_s: float = 1.0
    propose_timeout_s: float = 5.0
    max_pending_proposals: int = 4096  # waiting for their result; more are refused
    # A larger entry might exceed the message limit of the transport and block replication for good.
    max_command_bytes: int = 1048576
    # An idle leader sends a new commit index after this delay, not with the next heartbeat.
    commit_notice_s: float = 0.05
    # Entries are bounded by number and by size: commands have from a few bytes to a MiB.
    snapshot_after_entries: int = 500  # entries applied since the last snapshot
    snapshot_after_bytes: int = DEFAULT_LOG_BYTES  # the same, as the sum of their payloads
    keep_entries: int = 200  # kept before a snapshot, for followers that lag behind slightly
    max_append_entries: int = 512  # limits of one append request
    max_append_bytes: int = 524288
    install_part_bytes: int = 262144  # of a snapshot in one request

    @property
    def max_uncommitted_bytes(self) -> int:
        """Largest sum of the payloads of a leader's uncommitted entries, or one longer command.

        No snapshot can replace them: they are added to the applied part of the log, which has the
        same bound.
        """
        return self.snapshot_after_bytes

    @property
    def keep_bytes(self) -> int:
        """Largest sum of the payloads that are kept before a snapshot."""
        return self.snapshot_after_bytes // _KEPT_PART

    def with_election_timeout(self, timeout_s: float) -> 'ReplicaConfig':
        """Returns settings with another election timeout, and lease and heartbeat in proportion.

        :param timeout_s: election timeout.
        """
        ratio = timeout_s / self.election_timeout_s
        return dataclasses.replace(
            self,
            heartbeat_s=self.heartbeat_s * ratio,
            lease_s=self.lease_s * ratio,
            election_timeout_s=timeout_s,
        )
