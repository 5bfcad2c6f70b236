"""DNS-SD (RFC 6763): discovers ClickHouse engines through PTR, SRV and TXT records."""

from collections.abc import Iterable
from typing import Any

import dns.message
import dns.name
import dns.rdatatype
import dns.rrset

from cypressledge.broker.core import BrokerCore
from cypressledge.broker.discovered_engine import DiscoveredEngine
from cypressledge.decisions.contract import EngineListKind, EngineState
from cypressledge.net.dns_discovery import (
    InvalidRecordError,
    NameServerPoller,
    parse_answer,
    read_attributes,
)
from cypressledge.net.engine_naming import EngineNaming
from cypressledge.net.socket_io import Address

UDP_PAYLOAD_SIZE = 8192  # bytes; maximum size of an answer, announced by EDNS
STATES = {"ready": EngineState.READY, "draining": EngineState.DRAINING}

Records = dict[tuple[dns.name.Name, dns.rdatatype.RdataType], list]


class DnsSdPoller(NameServerPoller):
    """Polls a name server for all engines of one DNS-SD service type."""

    def __init__(
        self, core: BrokerCore, server: Address | None, service_type: str, naming: EngineNaming
    ) -> None:
        super().__init__(core, server, naming, "dns-sd")
        self.last_engines: list[DiscoveredEngine] | None = None
        self.browse(server, service_type)

    def browse(self, server: Address | None, service_type: str) -> None:
        """Set the service type and the server to poll from now on."""
        self.service_type = dns.name.from_text(service_type)
        self.set_server(server)

    def poll(self) -> None:
        """Query all records once, and publish a changed list. Raises if there is no valid answer."""
        engines = sorted(self._browse(), key=lambda engine: engine.name)
        if engines != self.last_engines:
            self.last_engines = engines
            self.naming.publish(self.core, EngineListKind.FULL, engines)

    def _query(self, name: dns.name.Name, record_type: dns.rdatatype.RdataType) -> dns.message.Message:
        query = dns.message.make_query(name, record_type, use_edns=True, payload=UDP_PAYLOAD_SIZE)
        return self.exchange(query, lambda raw: parse_answer(query, raw))

    def _browse(self) -> list[DiscoveredEngine]:
        answer = self._query(self.service_type, dns.rdatatype.PTR)
        records = _by_name_and_type([*answer.answer, *answer.additional])
        pointers = records.get((self.service_type, dns.rdatatype.PTR), ())
        return [self._resolve(pointer.target, records) for pointer in pointers]

    def _resolve(self, instance: dns.name.Name, records: Records) -> DiscoveredEngine:
        srv = self._record(instance, dns.rdatatype.SRV, records)
        attributes = read_attributes(self._record(instance, dns.rdatatype.TXT, records))
        info = {name.lower(): value for name, value in attributes.items()}
        host = self._record(srv.target, dns.rdatatype.A, records).address
        state = STATES.get(info.get("state", "ready"))
        if state is None:
            raise InvalidRecordError(f"unknown state in the TXT record of {instance}")
        return DiscoveredEngine(
            name=info.get("id") or instance.labels[0].decode(),
            host=host,
            port=srv.port,
            state=state,
            kind=info.get("kind", ""),
            zone=info.get("zone", ""),
            cell=int(info.get("cell") or 0),
            started_at_ms=int(info.get("started") or 0),
        )

    def _record(self, name: dns.name.Name, record_type: dns.rdatatype.RdataType, records: Records) -> Any:
        """Return a record from `records`; if the server did not send it along, query for it."""
        if (name, record_type) not in records:
            records.update(_by_name_and_type(self._query(name, record_type).answer))
        if not records.get((name, record_type)):
            raise InvalidRecordError(f"no {dns.rdatatype.to_text(record_type)} record for {name}")
        return records[name, record_type][0]


def _by_name_and_type(rrsets: Iterable[dns.rrset.RRset]) -> Records:
    return {(rrset.name, rrset.rdtype): list(rrset) for rrset in rrsets}
