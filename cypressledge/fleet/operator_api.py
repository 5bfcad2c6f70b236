"""Operators' calls about the fleet at a broker's management address: `/fleet/...`.

Operators' scripts read the keys of the answers and the texts of errors: they must not change.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING

from cypressledge.fleet.operator_answers import Body, LeaseRow, PeerRow, RestartTurn, TaskRow, to_body
from cypressledge.fleet.zones.operator_api import Answer, ZoneOperatorApi
from cypressledge.net.http_exchange import HttpRequest
from cypressledge.net.management import ManagementServer

if TYPE_CHECKING:
    from cypressledge.fleet.broker_integration import FleetIntegration

RELEASE_COOLDOWN_TERMS = 3  # longest terms; a broker waits this long to request a lease it released by call


class FleetOperatorApi:
    """Handlers of operators' calls about peers, leases, tasks, the summary and restart turns."""

    def __init__(self, fleet: "FleetIntegration") -> None:
        self.fleet = fleet

    def register(self, management: ManagementServer) -> None:
        """Add the calls to the management server."""
        fleet = self.fleet
        management.add("/fleet/peers", "GET", _json_handler(self.peers))
        management.add("/fleet/leases", "GET", _json_handler(self.leases))
        management.add("/fleet/tasks", "GET", _json_handler(self.tasks))
        management.add("/fleet/summary", "GET", _json_handler(fleet.summaries.answer))
        management.add("/fleet/give-back", "POST", self._release_lease)
        management.add("/fleet/turn", "POST", lambda r: self._turn(r, fleet.turns.request))
        management.add("/fleet/turn/over", "POST", lambda r: self._turn(r, fleet.turns.end_turn))
        if fleet.zones is not None:
            ZoneOperatorApi(fleet.zones, fleet.node.log).register(management)

    def peers(self) -> list[PeerRow]:
        """Return a row for each peer and this broker, sorted by name."""
        node = self.fleet.node
        now = node.now()
        zones = {peer.name: peer.zone for peer in self.fleet.settings.peers}

        rows = [
            PeerRow(
                name=node.name,
                zone=zones.get(node.name, ""),
                state="alive",
                voter=node.name in node.electorate.voters,
                incarnation=node.membership.incarnation,
                heard_s=0.0,
                voters_version=node.electorate.version,
                is_here=True,
            )
        ]
        rows += [
            PeerRow(
                name=member.name,
                zone=zones.get(member.name, ""),
                state=member.state.name.lower(),
                voter=member.name in node.electorate.voters,
                incarnation=member.incarnation,
                heard_s=round((now - member.last_heard_at) / 1e6, 2) if member.last_heard_at else None,
                voters_version=node.voters_versions.get(member.name),
                is_here=False,
            )
            for member in node.membership.members.values()
        ]
        return sorted(rows, key=lambda peer: peer.name)

    def leases(self) -> list[LeaseRow]:
        """Return a row for each lease, sorted by name, with the holder that this broker knows of."""
        manager, now = self.fleet.node.lease_manager, self.fleet.node.now()
        return [
            LeaseRow(
                lease=name,
                state=participation.phase.value,
                holder=manager.known_holder(name, now),
                token=participation.acquisition.token,
                left_s=round(participation.acquisition.remaining(now) / 1e6, 2),
                rank=manager.candidate_rank(name),
                candidates=manager.candidates(name),
            )
            for name, participation in sorted(manager.participations.items())
        ]

    def tasks(self) -> list[TaskRow]:
        """Return a row for each task, with its runs and the processor time of all tasks."""
        runner = self.fleet.runner
        return [
            TaskRow(
                task=task.name,
                lease=task.lease_group,
                running_under=sorted(task.running),
                runs=task.runs,
                cancelled=task.cancelled,
                timed_out=task.timed_out,
                failed=task.failed,
                priority=task.priority,
                cpu_ms=round(runner.budget.spent / 1e3, 2),
                longest_step_ms=round(runner.budget.longest_slice / 1e3, 3),
                turn_p99_ms=self.fleet.node.turn_p99() / 1e3,
            )
            for task in runner.tasks
        ]

    def _release_lease(self, request: HttpRequest) -> Answer:
        node = self.fleet.node
        lease = _text(request)
        if lease not in node.lease_manager.participations:
            return 404, b"no such lease\n"
        cooldown_s = RELEASE_COOLDOWN_TERMS * self.fleet.settings.longest_term / 1e6
        if not node.release(lease, "by hand", cooldown_s=cooldown_s):
            return 409, b"not held here\n"
        return 200, f"{lease} given back\n".encode()

    def _turn(self, request: HttpRequest, action: Callable[[str], RestartTurn]) -> Answer:
        group = _text(request)
        participations = self.fleet.node.lease_manager.participations.values()
        if not any(p.slot.group == group and p.slot.on_demand for p in participations):
            return 404, b"no lease of this name that is asked for by wish\n"
        return 200, to_body(action(group))


def _json_handler(read: Callable[[], Body]) -> Callable[[HttpRequest], Answer]:
    """Return a handler that answers with the result of `read` as JSON."""
    return lambda request: (200, to_body(read()))


def _text(request: HttpRequest) -> str:
    return request.body.decode("utf-8", "replace").strip()
