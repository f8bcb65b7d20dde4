"""KV cache of answers, exported to and imported from other engines."""

import collections
import dataclasses

from geraniumrail.standins.work import Work

_KEEP = 256


@dataclasses.dataclass(frozen=True)
class KvBlock:
    """What one request had computed."""

    handle: str
    request_id: str
    prompt_digest: int
    tokens: int  # answer tokens covered


class KvStore:
    """A limited number of blocks."""

    def __init__(self, instance: str) -> None:
        """Starts empty.

        :param instance: makes the handles unique.
        """
        self._instance = instance
        self._ended_by_key: collections.OrderedDict[tuple[str, int], Work] = (
            collections.OrderedDict()
        )
        self._exported_by_handle: collections.OrderedDict[str, KvBlock] = collections.OrderedDict()
        self._imported_by_request: collections.OrderedDict[str, KvBlock] = collections.OrderedDict()

    def remember(self, work: Work) -> None:
        """Keeps the KV of an ended request for a while."""
        self._ended_by_key[work.key] = work
        _trim(self._ended_by_key)

    def export(self, request_id: str, attempt: int, running: Work | None) -> KvBlock | None:
        """Makes a block for another engine to fetch.

        :param request_id: the request.
        :param attempt: its attempt.
        :param running: the request if it is in progress.
        """
        work = running or self._ended_by_key.get((request_id, attempt))
        if work is None:
            return None
        handle = f'{self._instance}/{request_id}/{attempt}/{work.computed}'
        block = KvBlock(handle, request_id, work.prompt_digest, work.offset + work.computed)
        self._exported_by_handle[handle] = block
        _trim(self._exported_by_handle)
        return block

    def exported(self, handle: str) -> KvBlock | None:
        """Returns an exported block."""
        return self._exported_by_handle.get(handle)

    def add(self, block: KvBlock) -> None:
        """Stores a block fetched from another engine."""
        self._imported_by_request[block.request_id] = block
        _trim(self._imported_by_request)

    def imported(self, work: Work) -> int:
        """Returns how many answer tokens of a resumed request are covered."""
        block = self._imported_by_request.get(work.request_id)
        if block is None or block.prompt_digest != work.prompt_digest:
            return 0
        return block.tokens


def _trim(kept: 'collections.OrderedDict[object, object]') -> None:
    while len(kept) > _KEEP:
        kept.popitem(last=False)
