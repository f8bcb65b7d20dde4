"""Configurations on the way to the entries: compressed, and packed once for all of them."""

import dataclasses
import zlib

from geraniumrail.core import codec
from geraniumrail.deployment.deployment import Deployment

# Names repeat in all routes, so that the fastest level leaves a small part.
LEVEL = 1


class DeploymentPacker:
    """Keeps the newest packed configuration, since each change goes to all entries at once."""

    def __init__(self) -> None:
        """Starts with nothing packed."""
        self._deployment: Deployment | None = None
        self._packed = b''

    def pack(self, deployment: Deployment) -> bytes:
        """Returns a configuration without its source, packed.

        :param deployment: the one in force.
        """
        if deployment is not self._deployment:
            self._packed = zlib.compress(codec.encode(sent_part(deployment)), LEVEL)
            self._deployment = deployment
        return self._packed


def sent_part(deployment: Deployment) -> Deployment:
    """Returns what entries need of a configuration.

    :param deployment: the configuration.
    """
    return dataclasses.replace(deployment, source=b'')


def unpack(packed: bytes) -> Deployment | None:
    """Returns a configuration, or None for no bytes.

    :param packed: of `DeploymentPacker.pack`.
    """
    return codec.decode(zlib.decompress(packed)) if packed else None
