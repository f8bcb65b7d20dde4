"""API keys; the file holds only their SHA-256 digests."""

import dataclasses
import hashlib
import re
import secrets

from geraniumrail.config.section import Section
from geraniumrail.settings.path import is_name

KEYS = ('name', 'role', 'organisation', 'sha256')
ROLES = ('operator', 'caller', 'backend')
_KEY_BYTES = 32
_DIGEST = re.compile('[0-9a-f]{64}')


def new_key() -> str:
    """Returns a random API key of 32 bytes in URL-safe base64."""
    return secrets.token_urlsafe(_KEY_BYTES)


def hash_key(key: str) -> str:
    """Returns the digest under which a key is stored, in hexadecimal.

    A plain digest is enough for random keys of 32 bytes: they can't be guessed.

    :param key: the API key, possibly with undecodable bytes of an HTTP header.
    """
    return hashlib.sha256(key.encode(errors='surrogateescape')).hexdigest()


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyOwner:
    """Who presents a key; `organisation` is set for callers."""

    name: str
    role: str
    organisation: str = ''


@dataclasses.dataclass(frozen=True, kw_only=True)
class KeyConfig:
    """The digest of one key and its owner."""

    sha256: str
    owner: KeyOwner

    @classmethod
    def from_config(cls, section: Section) -> 'KeyConfig':
        """Reads one item of the list.

        :param section: the item.
        :raises ConfigError: if a value is refused, or the organisation does not fit the role.
        """
        role = section.choice('role', ROLES)
        digest = section.text('sha256')
        if not _DIGEST.fullmatch(digest):
            raise section.error('sha256', 'must be 64 lower-case hexadecimal digits')
        is_caller = role == 'caller'
        if not is_caller and 'organisation' in section.nodes_by_key:
            raise section.error('organisation', f'has no meaning for role {role}')
        organisation = section.text('organisation') if is_caller else ''
        if is_caller and not is_name(organisation):
            raise section.error('organisation', f'{organisation!r} is not a name')
        owner = KeyOwner(name=section.text('name'), role=role, organisation=organisation)
        return cls(sha256=digest, owner=owner)


def read_keys(sections: tuple[Section, ...]) -> tuple[KeyConfig, ...]:
    """Reads the list of keys.

    :param sections: the items.
    :raises ConfigError: if an item is refused, or a name or digest is used twice.
    """
    keys_by_digest: dict[str, KeyConfig] = {}
    names: set[str] = set()
    for section in sections:
        key = KeyConfig.from_config(section)
        if key.owner.name in names:
            raise section.error('name', f'{key.owner.name} is used twice')
        other = keys_by_digest.get(key.sha256)
        if other is not None:
            raise section.error('sha256', f'is that of key {other.owner.name}')
        names.add(key.owner.name)
        keys_by_digest[key.sha256] = key
    return tuple(keys_by_digest.values())
