"""The tables of the replicated state machine."""

import dataclasses

from geraniumrail.core.backend import Backend
from geraniumrail.core.codec import record
from geraniumrail.core.departure import Departure
from geraniumrail.core.refused import Refused
from geraniumrail.deployment.deployment import Deployment
from geraniumrail.quarantine.quarantine import Quarantine
from geraniumrail.quarantine.release import Release
from geraniumrail.settings.tree import Tree
from geraniumrail.state.booking import Booking
from geraniumrail.state.evacuation import Evacuation
from geraniumrail.state.move import Move
from geraniumrail.state.results import Changed, DutyHeld, WindowClosed


@record
class ChangeEntry:
    """One line of the settings history, and the answer to a resend of its change id."""

    change_id: str
    path: str
    operator: str
    at: float
    values: dict[str, bool | int | float | str | None]
    changed: Changed | None = None
    refused: Refused | None = None


@record
class OrderEntry:
    """The number of an order, for resends of its id."""

    order_id: str
    backend: str
    number: int


@dataclasses.dataclass
class Tables:
    """Mutable tables; only `apply` functions change them, on the one applying task."""

    tree: Tree = dataclasses.field(default_factory=Tree.empty)
    revisions_by_path: dict[str, int] = dataclasses.field(default_factory=dict)
    changes_by_id: dict[str, ChangeEntry] = dataclasses.field(default_factory=dict)
    bookings_by_label: dict[str, Booking] = dataclasses.field(default_factory=dict)
    open_labels: dict[str, None] = dataclasses.field(default_factory=dict)
    moves_by_id: dict[str, Move] = dataclasses.field(default_factory=dict)
    drains_by_target: dict[str, str] = dataclasses.field(default_factory=dict)
    last_order: int = 0
    orders_by_id: dict[str, OrderEntry] = dataclasses.field(default_factory=dict)
    deployment: Deployment = Deployment()
    duty: DutyHeld = DutyHeld(holder='', number=0)
    windows_by_number: dict[int, WindowClosed] = dataclasses.field(default_factory=dict)
    noted_by_instance: dict[str, Backend] = dataclasses.field(default_factory=dict)
    reporting_instances: tuple[str, ...] = ()  # when the last usage window was fixed
    quarantines_by_label: dict[str, Quarantine] = dataclasses.field(default_factory=dict)
    releases_by_id: dict[str, Release] = dataclasses.field(default_factory=dict)  # oldest first
    departures_by_instance: dict[str, Departure] = dataclasses.field(default_factory=dict)
    last_departure: int = 0  # number of the last departure
    evacuations_by_data_centre: dict[str, Evacuation] = dataclasses.field(default_factory=dict)
    last_evacuation_change: int = 0
    # Agreed time of day; the older ones are removed with the next change.
    evacuation_ends_by_data_centre: dict[str, float] = dataclasses.field(default_factory=dict)

    def last_move(self, service: str) -> Move | None:
        """Returns the move of a service that was started last, or None.

        :param service: name of the service.
        """
        moves = (move for move in self.moves_by_id.values() if move.service == service)
        return max(moves, key=lambda move: (move.running(), move.started_at), default=None)

    def running_move(self, service: str) -> Move | None:
        """Returns the move of a service that has no end yet.

        :param service: name of the service.
        """
        running = (move for move in self.moves_by_id.values() if move.running())
        return next((move for move in running if move.service == service), None)


@record
class TablesImage:
    """The tables as they are kept in a snapshot."""

    tree: Tree
    revisions_by_path: dict[str, int]
    changes: tuple[ChangeEntry, ...]
    bookings: tuple[Booking, ...]
    moves: tuple[Move, ...]
    drains_by_target: dict[str, str]
    last_order: int
    orders: tuple[OrderEntry, ...] = ()
    deployment: Deployment = Deployment()
    duty: DutyHeld = DutyHeld(holder='', number=0)
    windows: tuple[WindowClosed, ...] = ()
    noted: tuple[Backend, ...] = ()
    reporting_instances: tuple[str, ...] = ()
    quarantines: tuple[Quarantine, ...] = ()
    releases: tuple[Release, ...] = ()
    departures: tuple[Departure, ...] = ()
    last_departure: int = 0
    evacuations: tuple[Evacuation, ...] = ()
    last_evacuation_change: int = 0
    evacuation_ends_by_data_centre: dict[str, float] = dataclasses.field(default_factory=dict)

    @classmethod
    def from_tables(cls, tables: Tables) -> 'TablesImage':
        """Copies the tables.

        :param tables: the live tables.
        """
        return cls(
            tree=tables.tree,
            revisions_by_path=dict(tables.revisions_by_path),
            changes=tuple(tables.changes_by_id.values()),
            bookings=tuple(tables.bookings_by_label.values()),
            moves=tuple(tables.moves_by_id.values()),
            drains_by_target=dict(tables.drains_by_target),
            last_order=tables.last_order,
            orders=tuple(tables.orders_by_id.values()),
            deployment=tables.deployment,
            duty=tables.duty,
            windows=tuple(tables.windows_by_number.values()),
            noted=tuple(tables.noted_by_instance.values()),
            reporting_instances=tables.reporting_instances,
            quarantines=tuple(tables.quarantines_by_label.values()),
            releases=tuple(tables.releases_by_id.values()),
            departures=tuple(tables.departures_by_instance.values()),
            last_departure=tables.last_departure,
            evacuations=tuple(tables.evacuations_by_data_centre.values()),
            last_evacuation_change=tables.last_evacuation_change,
            evacuation_ends_by_data_centre=dict(tables.evacuation_ends_by_data_centre),
        )

    def to_tables(self) -> Tables:
        """Builds live tables."""
        return Tables(
            tree=self.tree,
            revisions_by_path=dict(self.revisions_by_path),
            changes_by_id={change.change_id: change for change in self.changes},
            bookings_by_label={booking.key.label(): booking for booking in self.bookings},
            open_labels={
                booking.key.label(): None for booking in self.bookings if not booking.final()
            },
            moves_by_id={move.move_id: move for move in self.moves},
            drains_by_target=dict(self.drains_by_target),
            last_order=self.last_order,
            orders_by_id={order.order_id: order for order in self.orders},
            deployment=self.deployment,
            duty=self.duty,
            windows_by_number={each.window: each for each in self.windows},
            noted_by_instance={each.instance: each for each in self.noted},
            reporting_instances=self.reporting_instances,
            quarantines_by_label={each.label: each for each in self.quarantines},
            releases_by_id={each.release_id: each for each in self.releases},
            departures_by_instance={each.instance: each for each in self.departures},
            last_departure=self.last_departure,
            evacuations_by_data_centre={each.data_centre: each for each in self.evacuations},
            last_evacuation_change=self.last_evacuation_change,
            evacuation_ends_by_data_centre=dict(self.evacuation_ends_by_data_centre),
        )
