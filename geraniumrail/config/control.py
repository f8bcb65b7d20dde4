"""How the daemon finds the control members and stores their log."""

import dataclasses
import pathlib

from geraniumrail.config.address import check_address
from geraniumrail.config.section import Section

KEYS = ('seeds', 'data_folder', 'durable')


@dataclasses.dataclass(frozen=True, kw_only=True)
class ControlConfig:
    """`seeds` are peer addresses; without `data_folder` the log is kept in memory.

    `durable` syncs each write to disk; it may be turned off only for experiments.
    """

    seeds: tuple[str, ...]
    data_folder: pathlib.Path | None = None
    durable: bool = False

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
        )
