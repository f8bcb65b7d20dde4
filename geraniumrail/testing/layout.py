"""Names, addresses and settings files of a deployment."""

import dataclasses
import pathlib

import yaml

from geraniumrail.config.keys import hash_key
from geraniumrail.testing.ports import free_addresses

REGION = 'klang-valley'
DATA_CENTRES = ('shah-alam', 'petaling', 'cheras', 'shah-alam')
OPERATOR_KEY = 'test-operator-key'
BACKEND_KEY = 'test-backend-key'
ORGANISATIONS = ('head-office', 'workshops', 'salon-a', 'salon-b', 'salon-c')
ROLES = ('entry', 'control')
SERVERS = ('callers', 'operators', 'peers')


@dataclasses.dataclass(frozen=True)
class EntryPlace:
    """Where one entry listens."""

    name: str
    data_centre: str
    callers: str
    operators: str
    peers: str
    config: pathlib.Path
    data: pathlib.Path | None  # None: an instance without a disk


def caller_key(organisation: str) -> str:
    """Returns the API key of an organisation.

    :param organisation: its name.
    """
    return f'test-{organisation}-key'


def lay_out(
    folder: pathlib.Path,
    entries: int = 4,
    diskless: int = 1,
    roles: tuple[str, ...] = ROLES,
) -> list[EntryPlace]:
    """Chooses addresses and writes the settings files.

    :param folder: folder of the deployment.
    :param entries: number of entries.
    :param diskless: how many of the last entries have no disk.
    :param roles: roles of each process.
    """
    addresses = free_addresses(entries * len(SERVERS))
    places = [
        EntryPlace(
            name=f'entry-{number + 1}',
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            callers=addresses[number * 3],
            operators=addresses[number * 3 + 1],
            peers=addresses[number * 3 + 2],
            config=folder / f'entry-{number + 1}.yaml',
            data=folder / f'entry-{number + 1}' if number < entries - diskless else None,
        )
        for number in range(entries)
    ]
    seeds = [place.peers for place in places]
    for place in places:
        place.config.write_text(yaml.safe_dump(_config(place, seeds, roles)))
    return places


def _config(place: EntryPlace, seeds: list[str], roles: tuple[str, ...]) -> dict[str, object]:
    control: dict[str, object] = {'seeds': seeds}
    if place.data is not None:
        control |= {'data_folder': str(place.data), 'durable': True}
    callers = [
        {
            'name': organisation,
            'role': 'caller',
            'organisation': organisation,
            'sha256': hash_key(caller_key(organisation)),
        }
        for organisation in ORGANISATIONS
    ]
    config = {
        'instance': place.name,
        'region': REGION,
        'data_centre': place.data_centre,
        'roles': list(roles),
        'callers': {'listen': place.callers},
        'operators': {'listen': place.operators},
        'peers': {'listen': place.peers},
        'control': control,
        'keys': [
            {'name': 'operator', 'role': 'operator', 'sha256': hash_key(OPERATOR_KEY)},
            {'name': 'backends', 'role': 'backend', 'sha256': hash_key(BACKEND_KEY)},
            *callers,
        ],
    }
    if 'entry' not in roles:
        config.pop('callers')
    if 'control' not in roles:
        config.pop('operators')
        control.pop('data_folder', None)
        control.pop('durable', None)
    return config
