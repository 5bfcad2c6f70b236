"""The service file of a broker with the ClickHouse front, the administration API, one tenant and engines by
DNS-SD, and the keys that it names."""

import hashlib
from collections.abc import Callable

TENANT, KEY = "sales", "key-of-the-sales-office"
TOKEN = "token-of-the-administrators"
DNS_SD_TYPE = "_clickhouse-http._tcp.cluster.lan."
ENVIRONMENT = {"ADMIN": TOKEN, "ENGINE": "secret"}  # what the file's `..._env` keys name


def service_file(clickhouse_port: int, admin_port: int) -> Callable[..., str]:
    """The file's text, as `BrokerProcess` takes it (`service`), with the two ports that it listens on."""

    def text(broker) -> str:
        return f"""
            [clickhouse]
            listen = "127.0.0.1:{clickhouse_port}"
            [engines]
            user = "broker"
            key_env = "ENGINE"
            [dns_sd]
            server = "127.0.0.1:{broker.dns.port}"
            service = "{DNS_SD_TYPE}"
            [admin]
            listen = "127.0.0.1:{admin_port}"
            token_env = "ADMIN"
            [[tenant]]
            name = "{TENANT}"
            key_sha256 = "{hashlib.sha256(KEY.encode()).hexdigest()}"
            """

    return text
