"""How the daemon finds the control members and stores their log."""

import dataclasses
import pathlib

from geraniumrail.config.address import check_address
from geraniumrail.config.section import Section
from geraniumrail.consensus.config import DEFAULT_LOG_BYTES

KEYS = (
    'seeds',
    'data_folder',
    'durable',
    'voters',
    'found',
    'election_timeout_s',
    'snapshot_after_bytes',
)

_MAX_VOTERS = 9
_LEAST_TIMEOUT_S = 0.5
_MOST_TIMEOUT_S = 60
# A log that is shorter than one long command would be rewritten for each of them.
LEAST_LOG_BYTES = 1048576
_MOST_LOG_BYTES = 1073741824


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlConfig:
    """`seeds` are peer addresses; without `data_folder` the log is kept in memory.

    `durable` syncs each write to disk; it may be turned off only for experiments. With `voters`
    the group keeps that many voters by itself; with `found` the seeds form it from empty folders.
    The log is replaced by a snapshot after `snapshot_after_bytes` of applied commands.
    """

    seeds: tuple[str, ...]
    data_folder: pathlib.Path | None = None
    durable: bool = False
    voters: int = 0  # 0: operators change the members
    found: bool = False
    election_timeout_s: float | None = None  # None: the default of ReplicaConfig
    snapshot_after_bytes: int = DEFAULT_LOG_BYTES

    @classmethod
    def from_config(cls, section: Section) -> 'ControlConfig':
        """Reads the section.

        :param section: the section.
        :raises ConfigError: if a value is refused, or `durable` is set without a folder.
        """
        has_folder = 'data_folder' in section.nodes_by_key
        durable = section.flag('durable', default=has_folder)
        if durable and not has_folder:
            raise section.error('durable', 'may not be true without data_folder')
        return cls(
            seeds=tuple(check_address(section, 'seeds', seed) for seed in section.texts('seeds')),
            data_folder=pathlib.Path(section.text('data_folder')) if has_folder else None,
            durable=durable,
            voters=section.whole('voters', 0, _MAX_VOTERS, 0),
            found=section.flag('found', default=False),
            election_timeout_s=_election_timeout_s(section),
            snapshot_after_bytes=section.whole(
                'snapshot_after_bytes', LEAST_LOG_BYTES, _MOST_LOG_BYTES, DEFAULT_LOG_BYTES
            ),
        )


def _election_timeout_s(section: Section) -> float | None:
    if 'election_timeout_s' not in section.nodes_by_key:
        return None
    return section.number('election_timeout_s', _LEAST_TIMEOUT_S, _MOST_TIMEOUT_S, 0)
