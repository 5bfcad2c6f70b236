"""Restart turns: a broker restarts under a lease, and requests it only while few others are missing."""

from cypressledge.fleet.node import FleetNode
from cypressledge.fleet.operator_answers import RestartTurn


class RestartTurns:
    """This broker's requests for restart turns, by lease group. The number of a group's slots is the number
    of brokers that may be missing at the same time."""

    def __init__(self, node: FleetNode) -> None:
        self.node = node
        self.requested_groups: set[str] = set()

    def tick(self, now: int) -> None:
        """Request the lease of a requested turn while fewer brokers are missing than may be at the same time,
        and withdraw the request otherwise. A broker that restarts in its turn counts as missing until it is
        back, however long its start takes."""
        manager = self.node.lease_manager
        for group in self.requested_groups:
            if any(granted.group == group for granted in manager.held_leases(now)):
                continue
            allowed = sum(p.slot.group == group for p in manager.participations.values())
            if self._missing_brokers() < allowed:
                if group not in manager.requested_groups:
                    manager.request(group, now)
            else:
                manager.requested_groups.discard(group)

    def request(self, group: str) -> RestartTurn:
        """Request a turn; return its status."""
        self.requested_groups.add(group)
        self.tick(self.node.now())
        return self._status(group)

    def end_turn(self, group: str) -> RestartTurn:
        """End a turn, or withdraw the request for one; return its status."""
        self.requested_groups.discard(group)
        self.node.release_group(group)
        return self._status(group)

    def leases_kept_on_stop(self) -> set[str]:
        """Return the leases that this process keeps when it stops during its restart turn."""
        return {
            p.slot.lease
            for p in self.node.lease_manager.participations.values()
            if p.slot.group in self.requested_groups
        }

    def _missing_brokers(self) -> int:
        members = self.node.membership.members.values()
        return sum(member.state != 0 and member.incarnation > 0 for member in members)

    def _status(self, group: str) -> RestartTurn:
        self.node.wake()
        held = [
            granted
            for granted in self.node.lease_manager.held_leases(self.node.now())
            if granted.group == group
        ]
        return RestartTurn(
            lease=group,
            requested=group in self.requested_groups,
            granted=bool(held),
            token=held[0].token if held else 0,
            missing=self.node.membership.missing(),
        )
