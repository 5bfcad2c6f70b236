"""Operators' calls of zone failover, at a broker's management address: `/zone/...`.

Operators' scripts depend on the keys of the answers and the texts of errors: don't change them.
"""

import msgspec
from structlog.typing import FilteringBoundLogger

from cypressledge.fleet.operator_answers import to_body
from cypressledge.fleet.settings import ZoneCommandRequest
from cypressledge.fleet.zones.events import BrokerEvent
from cypressledge.fleet.zones.failover import ZoneFailover
from cypressledge.net.http_exchange import HttpRequest
from cypressledge.net.management import ManagementServer

Answer = tuple[int, bytes]  # HTTP status and body


class ZoneOperatorApi:
    """Handlers of operators' calls about zones."""

    def __init__(self, zones: ZoneFailover, log: FilteringBoundLogger) -> None:
        self.zones = zones
        self.log = log

    def register(self, management: ManagementServer) -> None:
        """Register the calls at the management server."""
        management.add("/zone/status", "GET", self._status)
        management.add("/zone/wish", "POST", self._command)
        management.add("/zone/dry-run", "POST", self._dry_run)

    def _status(self, _: HttpRequest) -> Answer:
        return 200, to_body(self.zones.status())

    def _command(self, request: HttpRequest) -> Answer:
        command = self._read_command(request)
        if isinstance(command, tuple):
            return command
        planner = self.zones.command(command.zone, command.action, command.duration, command.reason)
        self.log.info(
            BrokerEvent.COMMAND_RECEIVED,
            zone=command.zone,
            what=command.action,
            span_s=command.duration_s,
            why=command.reason,
            planner=planner,
        )
        if not planner:
            return 409, b"there is no planner\n"
        return 200, f"passed on to {planner}\n".encode()

    def _dry_run(self, request: HttpRequest) -> Answer:
        command = self._read_command(request)
        if isinstance(command, tuple):
            return command
        lines = self.zones.dry_run(command.zone, command.action, command.duration, command.reason)
        if lines is not None:
            return 200, "\n".join(lines).encode() + b"\n"
        planner = self.zones.planner_name
        return 409, f"ask the planner, {planner}\n".encode() if planner else b"there is no planner\n"

    def _read_command(self, request: HttpRequest) -> ZoneCommandRequest | Answer:
        """Return the command in a request's body, or an error answer if it or its zone is invalid."""
        try:
            command = msgspec.json.decode(request.body, type=ZoneCommandRequest)
        except msgspec.MsgspecError as err:
            return 400, f"{err}\n".encode()
        topology = self.zones.topology
        if command.zone not in (*topology.zones, *topology.regions):
            return 404, b"no such zone\n"
        return command
