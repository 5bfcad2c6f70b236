"""HTTP client for a broker's management address, and the command line option for that address."""

import http.client

import click

from cypressledge.cli_support import ManagementAddress

ANSWER_TIMEOUT_S = 5.0

broker_address_option = click.option(
    "--at",
    type=ManagementAddress(),
    envvar="ROUTER_MANAGEMENT",
    required=True,
    help="Management address of a broker.",
)


def call_broker(at: tuple[str, int], method: str, path: str, body: str = "") -> str:
    """Call the management address and return the text of the answer.

    Raises `ClickException` with one line of text if there is no answer or its status is not 200."""
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
