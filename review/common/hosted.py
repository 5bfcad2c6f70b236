"""Stand-ins of the hosted service: DNS-SD records, engines and clients with the ClickHouse HTTP interface."""

import hashlib
import http.client
import socket
import threading
from urllib.parse import parse_qs, urlencode, urlsplit

import dns.message
import dns.rrset
from standins import HOST, Server, free_port

TENANT, KEY = "sales-office", "key-of-the-sales-office"
SERVICE_TYPE = "_clickhouse-http._tcp.cluster.lan."


class NameServer:
    """Answers DNS-SD queries from `engines` (name -> port), and directory queries with an empty list."""

    def __init__(self, kind):
        self.kind, self.engines = kind, {}
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((HOST, 0))
        self.port = self.sock.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            raw, peer = self.sock.recvfrom(4096)
            query = dns.message.from_wire(raw)
            answer = dns.message.make_response(query)
            name = query.question[0].name.to_text()

            def add(section, owner, kind, *texts):
                section.append(dns.rrset.from_text_list(owner, 1, "IN", kind, texts))

            if name == SERVICE_TYPE:
                instances = [f"{engine}.{SERVICE_TYPE}" for engine in self.engines]
                add(answer.answer, name, "PTR", *instances)
                for engine, port in self.engines.items():
                    add(answer.additional, f"{engine}.{SERVICE_TYPE}", "SRV", f"0 0 {port} host.cluster.lan.")
                    text = f'"txtvers=1" "kind={self.kind}" "state=ready"'
                    add(answer.additional, f"{engine}.{SERVICE_TYPE}", "TXT", text)
                add(answer.additional, "host.cluster.lan.", "A", HOST)
            else:
                add(answer.authority, "cluster.lan.", "SOA", "ns. root. 1 1 1 1 1")
            self.sock.sendto(answer.to_wire(max_size=8000), peer)


class HttpEngine(Server):
    """An engine with the ClickHouse HTTP interface.

    `play(engine, conn, query_id, statement)` answers each query.
    """

    def __init__(self, record, name, play):
        self.record, self.name, self.play = record, name, play
        super().__init__()

    def serve(self, conn, file):
        while line := file.readline():
            headers = {}
            while field := file.readline().strip():
                key, _, value = field.decode().partition(":")
                headers[key.lower()] = value.strip()
            params = {k: v[0] for k, v in parse_qs(urlsplit(line.split()[1].decode()).query).items()}
            statement = file.read(int(headers.get("content-length", 0)))
            self.record.write(
                self.name, f"asked {params['query_id']} {params.get('workload')} {statement[:60]!r}"
            )
            self.play(self, conn, params["query_id"], statement)


def result(query_id, rows):
    """A complete answer of an engine."""
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/tab-separated-values; charset=UTF-8\r\n"
        f"X-ClickHouse-Query-Id: {query_id}\r\nContent-Length: {len(rows)}\r\n\r\n"
    )
    return head.encode() + rows


def service_file(listen_port, name_server):
    """The service file, in the form of deploy/clickhouse.toml, without the administration API."""
    return f"""
[clickhouse]
listen = "{HOST}:{listen_port}"

[dns_sd]
server = "{HOST}:{name_server.port}"
service = "{SERVICE_TYPE.rstrip('.')}"

[[tenant]]
name = "{TENANT}"
key_sha256 = "{hashlib.sha256(KEY.encode()).hexdigest()}"
"""


def http_ask(port, statement, timeout, **params):
    """Send one query over HTTP on a connection of its own, and return the status and the whole body."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        headers = {"X-ClickHouse-User": TENANT, "X-ClickHouse-Key": KEY}
        connection.request("POST", "/?" + urlencode(params), body=statement, headers=headers)
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


__all__ = ["HttpEngine", "NameServer", "free_port", "http_ask", "result", "service_file"]
