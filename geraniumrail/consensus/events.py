"""Log events of the replicated log."""

from absl import logging

from geraniumrail.core.events import Event

LOADED = Event.define(100, 'consensus.loaded', 'a replica has read its data folder')
CAMPAIGN = Event.define(101, 'consensus.campaign', 'a replica asks for votes')
ELECTED = Event.define(102, 'consensus.elected', 'a replica has become leader')
ENDED = Event.define(103, 'consensus.leadership_ended', 'a leader has stopped leading')
LEASE_LOST = Event.define(
    104,
    'consensus.lease_lost',
    'a leader has not heard from a majority within its lease and refuses proposals',
    logging.WARNING,
)
SNAPSHOT = Event.define(105, 'consensus.snapshot', 'a replica has taken a snapshot')
INSTALLED = Event.define(106, 'consensus.installed', 'a replica has loaded a snapshot it was sent')
MEMBERS = Event.define(107, 'consensus.members', 'the membership of the group has changed')
TAIL_CUT = Event.define(
    108,
    'consensus.tail_cut',
    'an incomplete record at the end of the log has been truncated',
    logging.WARNING,
)
FAILED = Event.define(
    109,
    'consensus.failed',
    'a replica has stopped taking part after a failure of its storage or code',
    logging.ERROR,
)
REFUSED = Event.define(
    110,
    'consensus.refused',
    'a request that is meant for another replica or group has been refused',
    logging.WARNING,
)
SET_ASIDE = Event.define(
    111,
    'consensus.set_aside',
    'the log can not be read; it was renamed and the replica starts as a new one',
    logging.ERROR,
)
DISK_FAILED = Event.define(
    112,
    'consensus.disk_failed',
    'the disk refuses a write; it is tried again and nothing is acknowledged meanwhile',
    logging.ERROR,
)
DISK_REGAINED = Event.define(113, 'consensus.disk_regained', 'the disk takes writes again')
