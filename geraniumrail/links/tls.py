"""Mutual TLS of the links."""

import dataclasses
import pathlib

import grpc


@dataclasses.dataclass(frozen=True)
class LinkTls:
    """Paths of PEM files."""

    certificate: str
    key: str
    authority: str

    def server_credentials(self) -> grpc.ServerCredentials:
        """Reads the files; clients must show a certificate of the authority."""
        pair = (_read(self.key), _read(self.certificate))
        return grpc.ssl_server_credentials((pair,), _read(self.authority), require_client_auth=True)

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Reads the files."""
        return grpc.ssl_channel_credentials(
            _read(self.authority),
            _read(self.key),
            _read(self.certificate),
        )


def _read(path: str) -> bytes:
    return pathlib.Path(path).read_bytes()
