"""Commands of operations: drains, order numbers, notes of backend servers and quarantines."""

import itertools

from geraniumrail.errors.state import UnknownQuarantineError
from geraniumrail.quarantine.quarantine import quarantine_label
from geraniumrail.quarantine.release import Release
from geraniumrail.state import commands, results
from geraniumrail.state.apply import apply
from geraniumrail.state.note_backends import NoteBackends
from geraniumrail.state.release_quarantine import ReleaseQuarantine
from geraniumrail.state.set_quarantines import SetQuarantines
from geraniumrail.state.tables import OrderEntry, Tables

MAX_ORDERS = 1000  # kept for resends
MAX_RELEASES = 64  # as many as there may be quarantines


@apply.register
def _drain(command: commands.SetDrain, tables: Tables) -> object:
    if command.draining:
        tables.drains_by_target[command.target] = command.operator
    else:
        tables.drains_by_target.pop(command.target, None)
    return results.DrainSet(target=command.target, draining=command.draining)


@apply.register
def _order(command: commands.IssueOrder, tables: Tables) -> object:
    earlier = tables.orders_by_id.get(command.order_id)
    if earlier is not None:
        superseded = any(
            issued.backend == earlier.backend and issued.number > earlier.number
            for issued in tables.orders_by_id.values()
        )
        return results.OrderIssued(number=earlier.number, superseded=superseded)
    tables.last_order += 1
    if command.order_id:
        entry = OrderEntry(
            order_id=command.order_id,
            backend=command.backend,
            number=tables.last_order,
        )
        tables.orders_by_id[command.order_id] = entry
        surplus = max(0, len(tables.orders_by_id) - MAX_ORDERS)
        for order_id in list(itertools.islice(tables.orders_by_id, surplus)):
            tables.orders_by_id.pop(order_id)
    return results.OrderIssued(number=tables.last_order)


@apply.register
def _note(command: NoteBackends, tables: Tables) -> object:
    for instance in command.removed:
        tables.noted_by_instance.pop(instance, None)
    tables.noted_by_instance.update({each.instance: each for each in command.added})
    return results.BackendsNoted(count=len(tables.noted_by_instance))


@apply.register
def _quarantine(command: SetQuarantines, tables: Tables) -> object:
    for label in command.removed:
        tables.quarantines_by_label.pop(label, None)
    releases = tables.releases_by_id.values()
    for quarantine in command.added:
        # The leader may not have known of a release when it proposed this.
        if not any(release.ends(quarantine) for release in releases):
            tables.quarantines_by_label[quarantine.label] = quarantine
    return results.QuarantinesSet(count=len(tables.quarantines_by_label))


@apply.register
def _release(command: ReleaseQuarantine, tables: Tables) -> object:
    release = tables.releases_by_id.get(command.release_id)
    if release is None:
        quarantine = tables.quarantines_by_label.pop(command.label, None)
        if quarantine is None:
            raise UnknownQuarantineError(label=command.label)
        release = Release(
            release_id=command.release_id,
            service=quarantine.service,
            parts=quarantine.parts,
            at=command.at,
            operator=command.operator,
        )
        tables.releases_by_id[release.release_id] = release
        for old in list(tables.releases_by_id)[:-MAX_RELEASES]:
            tables.releases_by_id.pop(old)
    return results.QuarantineReleased(
        label=quarantine_label(release.service, release.parts),
        operator=release.operator,
        at=release.at,
    )
