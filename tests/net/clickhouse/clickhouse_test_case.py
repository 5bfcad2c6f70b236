"""Test case with a broker that serves ClickHouse HTTP, DNS-SD discovery and the administration API."""

import hashlib
import http.client
import json
import socket
from contextlib import closing
from urllib.parse import urlencode

from cypressledge.lab.site import free_port
from tests.fakes.broker_process import BrokerTestCase
from tests.fakes.support import WAIT, wait_until

KEY, TOKEN = "key-of-the-sales-office", "token-of-the-administrators"
LOGIN = {"X-ClickHouse-User": "sales", "X-ClickHouse-Key": KEY}
SERVICE_TYPE = "_clickhouse-http._tcp.cluster.lan."


class ClickHouseTestCase(BrokerTestCase):
    """Starts a broker with a service file, whose engines are discovered by DNS-SD, and queries it."""

    def start_service(self, *engines, lines=(), change=None):
        """Start the broker with these ClickHouse engines, and with `lines`, engines of the line protocol.

        `change` replaces top-level keys of the configuration."""
        self.port, self.admin = free_port(), free_port()
        broker = self.broker(
            *lines,
            change=change,
            env={"ADMIN": TOKEN, "ENGINE": "secret"},
            service=lambda process: f"""
            [clickhouse]
            listen = "127.0.0.1:{self.port}"
            [engines]
            user = "broker"
            key_env = "ENGINE"
            [dns_sd]
            server = "127.0.0.1:{process.dns.port}"
            service = "{SERVICE_TYPE}"
            [admin]
            listen = "127.0.0.1:{self.admin}"
            token_env = "ADMIN"
            [[tenant]]
            name = "sales"
            key_sha256 = "{hashlib.sha256(KEY.encode()).hexdigest()}"
            """,
        )
        for number, engine in enumerate(engines):
            broker.dns.instances[f"ch-{number}.{SERVICE_TYPE}"] = (engine.port, "ready")
        if engines:
            broker.wait_until_ready()
            wait_until(
                lambda: len(self.call_admin_api("GET", "/v1/engines")[1]["engines"])
                == len(engines) + len(lines)
            )
        return broker

    def query(
        self, body=b"SELECT a, b, c FROM sales_17.orders", method="POST", path="/", login=LOGIN, **params
    ):
        """Send one query; return the status, headers and body of its answer."""
        with closing(http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT)) as conn:
            conn.request(method, f"{path}?{urlencode(params)}", body if method == "POST" else None, login)
            answer = conn.getresponse()
            return answer.status, answer.headers, answer.read()

    def start_query(self, target):
        """Send a query and return its connection, with the answer unread."""
        conn = http.client.HTTPConnection("127.0.0.1", self.port, timeout=WAIT)
        self.addCleanup(conn.close)
        conn.request("POST", target, b"SELECT a FROM sales_1.t", LOGIN)
        return conn

    def query_error(self, *args, **more):
        """Send a query that is answered with an error; return its status and exception code."""
        status, headers, body = self.query(*args, **more)
        code = headers["X-ClickHouse-Exception-Code"]
        assert body.startswith(b"Code: %s. DB::Exception: " % code.encode()), body
        return status, int(code)

    def call_admin_api(self, method, path, value=None, token=TOKEN):
        """Call the administration API once; return the status and the JSON value of its answer."""
        with closing(http.client.HTTPConnection("127.0.0.1", self.admin, timeout=WAIT)) as conn:
            conn.request(
                method,
                path,
                json.dumps(value) if value is not None else None,
                {"Authorization": f"Bearer {token}"},
            )
            answer = conn.getresponse()
            body = answer.read()
            return answer.status, json.loads(body) if body else None

    def counter(self, name):
        """Return the value of one of the broker's counters."""
        return self.call_admin_api("GET", "/v1/counters")[1].get(name, 0)

    def send_raw(self, *parts):
        """Send raw bytes, and read until the broker closes the connection."""
        with closing(socket.create_connection(("127.0.0.1", self.port), WAIT)) as sock:
            for part in parts:
                sock.sendall(part)
            return b"".join(iter(lambda: sock.recv(65536), b""))
