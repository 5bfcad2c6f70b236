"""Calls of a broker's management address over HTTP, and the option that names it."""

import http.client

import click

from cypressledge.cli_support import ManagementAddress

ANSWER_TIMEOUT_S = 5.0

broker_address_option = click.option(
    "--at",
    type=ManagementAddress(),
    envvar="ROUTER_MANAGEMENT",
    required=True,
    help="A broker's management address.",
)


def call_broker(at: tuple[str, int], method: str, path: str, body: str = "") -> str:
    """Return a broker's answer. Raises `ClickException` with one plain line where there is none."""
    host, port = at
    connection = http.client.HTTPConnection(host, port, timeout=ANSWER_TIMEOUT_S)
    try:
        connection.request(method, path, body.encode())
        answer = connection.getresponse()
        text = answer.read().decode("utf-8", "replace")
    except (OSError, http.client.HTTPException) as err:
        raise click.ClickException(f"no answer from {host}:{port}: {err}") from None
    finally:
        connection.close()
    if answer.status == 404 and text == "no such call\n":
        raise click.ClickException(f"{host}:{port} was started without --fleet")
    if answer.status != 200:
        raise click.ClickException(text.strip() or f"HTTP {answer.status}")
    return text
