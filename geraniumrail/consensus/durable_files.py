"""File operations whose effect survives a crash."""

import os
import pathlib
from collections.abc import Iterable


def sync_folder(folder: pathlib.Path) -> None:
    """Makes the directory entries of a folder durable.

    :param folder: the folder.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, content: bytes) -> None:
    """Writes all of the content.

    :param descriptor: of a file opened for writing.
    :param content: what to write.
    """
    written = os.write(descriptor, content)
    while written < len(content):
        written += os.write(descriptor, content[written:])


def truncate_file(path: pathlib.Path, size: int) -> None:
    """Truncates a file, durably.

    :param path: the file.
    :param size: new size in bytes.
    """
    with path.open('r+b') as opened:
        opened.truncate(size)
        os.fsync(opened.fileno())


def replace_file(path: pathlib.Path, parts: Iterable[bytes]) -> None:
    """Replaces a file so that after a crash either the old or the new content is found.

    :param path: the file.
    :param parts: new content, written one after the other.
    """
    temporary = _temporary(path)
    try:
        with temporary.open('wb') as opened:
            opened.writelines(parts)
            opened.flush()
            os.fsync(opened.fileno())
        temporary.replace(path)
    except OSError:
        drop_replacement(path)  # a full disk would stay full
        raise
    sync_folder(path.parent)


def drop_replacement(path: pathlib.Path) -> None:
    """Removes what an interrupted `replace_file` has left.

    :param path: the file that was not replaced.
    """
    _temporary(path).unlink(missing_ok=True)


def _temporary(path: pathlib.Path) -> pathlib.Path:
    return path.with_suffix('.tmp')
