"""What the leader tells an entry of prompt parts that crash backend servers."""

import dataclasses

from geraniumrail.quarantine.quarantine import Quarantine


@dataclasses.dataclass(frozen=True)
class PartHazards:
    """None stands for a part that the entry has been told already."""

    quarantines: tuple[Quarantine, ...] | None = ()
    watched: dict[str, tuple[str, ...]] | None = dataclasses.field(default_factory=dict)
    trials: tuple[str, ...] = ()  # quarantines of which this entry may send one request

    @classmethod
    def from_evidence(
        cls,
        quarantines: tuple[Quarantine, ...],
        suspects: dict[str, tuple[str, ...]],
        trials: tuple[str, ...],
    ) -> 'PartHazards':
        """Has the parts in quarantine watched too: an answered request ends a quarantine.

        :param quarantines: in force.
        :param suspects: parts of the requests at recent crashes, by service.
        :param trials: quarantines of which this entry may send one request.
        """
        watched = dict(suspects)
        for quarantine in quarantines:
            known = watched.get(quarantine.service, ())
            watched[quarantine.service] = tuple(dict.fromkeys((*known, *quarantine.parts)))
        return cls(quarantines, watched, trials)

    def changed_since(self, sent: 'PartHazards | None') -> 'PartHazards':
        """Returns what an entry has not been told.

        :param sent: what it was told last; None: nothing.
        """
        if sent is None:
            return self
        return PartHazards(
            None if self.quarantines == sent.quarantines else self.quarantines,
            None if self.watched == sent.watched else self.watched,
            self.trials,
        )
