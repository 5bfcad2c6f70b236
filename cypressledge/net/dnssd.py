"""DNS-SD (RFC 6763): finds ClickHouse engines by PTR, SRV and TXT records."""

from dataclasses import replace

import dns.message
import dns.name
import dns.rdatatype

from cypressledge.broker.core import Core
from cypressledge.decisions.contract import EngineListKind, EngineState
from cypressledge.net.directory import BadRecord, Catalogue, Listed, Poller, checked, texts

STATES = {"ready": EngineState.READY, "draining": EngineState.DRAINING}


class DnsSd(Poller):
    """Browses one service type."""

    def __init__(
        self, core: Core, server: tuple[str, int] | None, service: str, catalogue: Catalogue
    ) -> None:
        super().__init__(core, server, catalogue, "dns-sd")
        self.last: list[Listed] | None = None
        self.browse(server, service)

    def browse(self, server: tuple[str, int] | None, service: str) -> None:
        """Browse for this type at that server from now on."""
        self.service = dns.name.from_text(service)
        self.move(server)

    def poll(self) -> None:
        """Browse once."""
        engines = sorted(self._browse(), key=lambda e: e.name)
        if engines != self.last:
            self.last = engines
            self.catalogue.tell(self.core, EngineListKind.FULL, engines)

    def _ask(self, name: dns.name.Name, kind) -> dns.message.Message:
        query = dns.message.make_query(name, kind, use_edns=True, payload=8192)
        return self.ask(query, lambda raw: checked(query, raw))

    def _browse(self) -> list[Listed]:
        answer = self._ask(self.service, dns.rdatatype.PTR)
        records = _by_name([*answer.answer, *answer.additional])
        return [
            self._resolve(ptr.target, records) for ptr in records.get((self.service, dns.rdatatype.PTR), ())
        ]

    def _resolve(self, instance: dns.name.Name, records: dict) -> Listed:
        srv = self._record(instance, dns.rdatatype.SRV, records)[0]
        info = {k.lower(): v for k, v in texts(self._record(instance, dns.rdatatype.TXT, records)[0]).items()}
        host = self._record(srv.target, dns.rdatatype.A, records)[0].address
        state = STATES.get(info.get("state", "ready"))
        if state is None:
            raise BadRecord(f"state of {instance}")
        engine = Listed(info.get("id") or instance.labels[0].decode(), host, srv.port, state)
        return replace(
            engine,
            kind=info.get("kind", ""),
            zone=info.get("zone", ""),
            cell=int(info.get("cell") or 0),
            born_ms=int(info.get("started") or 0),
        )

    def _record(self, name: dns.name.Name, kind, records: dict) -> list:
        """From the additional section, where the server put it there, else by a query of its own."""
        if (name, kind) not in records:
            records.update(_by_name(self._ask(name, kind).answer))
        if not records.get((name, kind)):
            raise BadRecord(f"no {dns.rdatatype.to_text(kind)} record for {name}")
        return records[name, kind]


def _by_name(rrsets) -> dict:
    return {(rrset.name, rrset.rdtype): list(rrset) for rrset in rrsets}
