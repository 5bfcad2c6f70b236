"""The service file of a broker, and the keys and tokens that it refers to.

The broker has the ClickHouse HTTP interface, the administration API, one tenant, and engines found by DNS-SD.
"""

import hashlib
from collections.abc import Callable

TENANT, KEY = "sales", "key-of-the-sales-office"
TOKEN = "token-of-the-administrators"
DNS_SD_TYPE = "_clickhouse-http._tcp.cluster.lan."
ENVIRONMENT = {"ADMIN": TOKEN, "ENGINE": "secret"}  # variables named by the `..._env` keys of the file


def service_file(clickhouse_port: int, admin_port: int) -> Callable[..., str]:
    """Return the option `service` of `BrokerProcess`: a function that returns the file's text for a broker.

    The file contains the two ports on which the broker listens.
    """

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
