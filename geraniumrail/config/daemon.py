"""The daemon's settings file."""

import dataclasses
import pathlib

from geraniumrail.config.control import KEYS as CONTROL_KEYS
from geraniumrail.config.control import ControlConfig
from geraniumrail.config.document import load_yaml
from geraniumrail.config.keys import KEYS as KEY_KEYS
from geraniumrail.config.keys import KeyConfig, read_keys
from geraniumrail.config.limits import KEYS as LIMITS_KEYS
from geraniumrail.config.limits import LimitsConfig
from geraniumrail.config.listen import KEYS as LISTEN_KEYS
from geraniumrail.config.listen import ListenConfig
from geraniumrail.config.metrics import KEYS as METRICS_KEYS
from geraniumrail.config.metrics import MetricsConfig
from geraniumrail.config.section import Section
from geraniumrail.settings.path import is_name

ENTRY = 'entry'
CONTROL = 'control'
LEVELS = ('debug', 'info', 'warning', 'error')
_ROLES = (ENTRY, CONTROL)
_SERVERS = ('callers', 'operators', 'peers')
_NAMES = ('instance', 'region', 'data_centre')
_KEYS = (*_NAMES, 'roles', *_SERVERS, 'metrics', 'control', 'keys', 'limits', 'log')
# (role, server) pairs: the role can't work without the server.
_NEEDED = ((ENTRY, 'callers'), (ENTRY, 'peers'), (CONTROL, 'operators'), (CONTROL, 'peers'))


@dataclasses.dataclass(frozen=True, kw_only=True)
class DaemonConfig:
    """The settings of one process."""

    instance: str
    region: str
    data_centre: str
    roles: frozenset[str]
    control: ControlConfig
    callers: ListenConfig | None = None
    operators: ListenConfig | None = None
    peers: ListenConfig | None = None
    metrics: MetricsConfig = MetricsConfig()
    keys: tuple[KeyConfig, ...] = ()
    limits: LimitsConfig = LimitsConfig()
    log_level: str = 'info'

    @classmethod
    def from_file(cls, path: str | pathlib.Path) -> 'DaemonConfig':
        """Reads a YAML file.

        :param path: the file.
        :raises ConfigError: if the file is refused.
        """
        file = pathlib.Path(path)
        return cls.from_config(Section.from_node(file, '', load_yaml(file), _KEYS))

    @classmethod
    def from_config(cls, root: Section) -> 'DaemonConfig':
        """Reads the top level of the file.

        :param root: the top level.
        :raises ConfigError: if a value is refused or values contradict each other.
        """
        instance, region, data_centre = (_read_name(root, key) for key in _NAMES)
        servers = {
            key: ListenConfig.from_config(root.section(key, LISTEN_KEYS)) for key in _SERVERS
        }
        members = root.required('control', root.section('control', CONTROL_KEYS))
        log = root.section('log', ('level',))
        config = cls(
            instance=instance,
            region=region,
            data_centre=data_centre,
            roles=_read_roles(root),
            control=ControlConfig.from_config(members),
            metrics=MetricsConfig.from_config(root.section('metrics', METRICS_KEYS)),
            keys=read_keys(root.sections('keys', KEY_KEYS)),
            limits=LimitsConfig.from_config(root.section('limits', LIMITS_KEYS)),
            log_level='info' if log is None else log.choice('level', LEVELS),
            **servers,
        )
        _check_servers(root, config)
        if CONTROL not in config.roles and config.control.data_folder is not None:
            raise members.error('data_folder', 'has no meaning without role control')
        return config


def _read_name(root: Section, key: str) -> str:
    name = root.text(key)
    if not is_name(name):
        raise root.error(key, f'{name!r} is not a name of letters, digits and . _ : -')
    return name


def _read_roles(root: Section) -> frozenset[str]:
    roles = root.texts('roles')
    unknown = next((role for role in roles if role not in _ROLES), None)
    if unknown is not None:
        raise root.error('roles', f'must list {" or ".join(_ROLES)}, got {unknown}')
    return frozenset(roles)


def _check_servers(root: Section, config: DaemonConfig) -> None:
    missing = next(
        (
            (role, server)
            for role, server in _NEEDED
            if role in config.roles and getattr(config, server) is None
        ),
        None,
    )
    if missing is not None:
        raise root.error(missing[1], f'is missing; role {missing[0]} needs it')
    if config.callers is not None and ENTRY not in config.roles:
        raise root.error('callers', 'has no meaning without role entry')
    if config.peers is not None and config.peers.tls is not None:
        if config.peers.tls.authority is None:
            raise root.error('peers', 'tls needs an authority, because peers check each other')
    _check_addresses(root, config)


def _check_addresses(root: Section, config: DaemonConfig) -> None:
    keys_by_address: dict[str, str] = {}
    for key in (*_SERVERS, 'metrics'):
        server = getattr(config, key)
        address = '' if server is None else server.listen
        other = keys_by_address.get(address)
        if other is not None:
            raise root.error(key, f'listens on {address} like {other}')
        if address:
            keys_by_address[address] = key
