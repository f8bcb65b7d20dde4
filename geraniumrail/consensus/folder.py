"""Durable changes of a folder."""

import os
import pathlib


def sync_folder(folder: pathlib.Path) -> None:
    """Makes the names in a folder durable.

    :param folder: the folder.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: pathlib.Path, content: bytes) -> None:
    """Replaces a file so that after a crash either the old or the new content is found.

    :param path: the file.
    :param content: new content.
    """
    temporary = path.with_suffix('.tmp')
    with temporary.open('wb') as opened:
        opened.write(content)
        opened.flush()
        os.fsync(opened.fileno())
    temporary.replace(path)
    sync_folder(path.parent)
