"""Log events of the replicated log."""

from absl import logging

from geraniumrail.core.events import Event

LOADED = Event.define(100, 'consensus.loaded', 'A replica has read its data folder.')
CAMPAIGN = Event.define(
    101, 'consensus.campaign', 'A replica has started a campaign and requests votes.'
)
ELECTED = Event.define(102, 'consensus.elected', 'A replica has become the leader of a term.')
LEADERSHIP_ENDED = Event.define(
    103, 'consensus.leadership_ended', 'A replica is no longer the leader of its term.'
)
LEASE_LOST = Event.define(
    104,
    'consensus.lease_lost',
    'A leader has had no contact with a majority within its lease and refuses proposals.',
    logging.WARNING,
)
SNAPSHOT = Event.define(105, 'consensus.snapshot', 'A replica has taken a snapshot.')
SNAPSHOT_INSTALLED = Event.define(
    106, 'consensus.installed', 'A replica has installed a snapshot from the leader.'
)
MEMBERSHIP_CHANGED = Event.define(
    107, 'consensus.members', 'The membership of the group has changed.'
)
TAIL_TRUNCATED = Event.define(
    108,
    'consensus.tail_truncated',
    'An incomplete record at the end of the log has been truncated.',
    logging.WARNING,
)
FAILED = Event.define(
    109,
    'consensus.failed',
    'After an error in its storage or code, a replica does nothing until its process is restarted.',
    logging.ERROR,
)
REQUEST_REFUSED = Event.define(
    110,
    'consensus.refused',
    'A request was refused: it is meant for another replica or group, or this replica has failed.',
    logging.WARNING,
)
DAMAGED_LOG_RENAMED = Event.define(
    111,
    'consensus.damaged_log_renamed',
    'The log is damaged; its files were renamed and the replica starts with a new id.',
    logging.ERROR,
)
DISK_FAILED = Event.define(
    112,
    'consensus.disk_failed',
    'A write to the data folder fails; it is retried and nothing is acknowledged meanwhile.',
    logging.ERROR,
)
DISK_RECOVERED = Event.define(
    113, 'consensus.disk_recovered', 'Writes to the data folder succeed again.'
)
LOAD_STEP = Event.define(
    114,
    'consensus.load_step',
    'A step of a start has ended: its seconds, the bytes that it worked on and the peak memory.',
)
