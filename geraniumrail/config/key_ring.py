"""Finds the owner of an API key."""

import dataclasses

from geraniumrail.config.daemon import DaemonConfig
from geraniumrail.config.keys import KeyOwner, hash_key


@dataclasses.dataclass(frozen=True)
class KeyRing:
    """The owners of all keys.

    The lookup is by digest, so its timing tells nothing about a stored key.
    """

    owners_by_digest: dict[str, KeyOwner]

    @classmethod
    def from_config(cls, config: DaemonConfig) -> 'KeyRing':
        """Collects the keys of the settings file.

        :param config: the settings file.
        """
        return cls({key.sha256: key.owner for key in config.keys})

    def lookup(self, key: str) -> KeyOwner | None:
        """Returns the owner, or None if the key is not known.

        :param key: the API key as presented.
        """
        return self.owners_by_digest.get(hash_key(key))
