"""What tests share: bounded waits, closing and resetting sockets, one HTTP call."""

import contextlib
import socket
import struct
import time
from pathlib import Path

ROOT = Path(__file__).parents[2]
WAIT = 15.0  # seconds that a test waits for an event at most


def wait_until(condition, what="an event"):
    """Wait, within bounds, until something holds; return it."""
    end = time.monotonic() + WAIT
    while time.monotonic() < end:
        if result := condition():
            return result
        time.sleep(0.01)
    raise AssertionError(f"waited in vain for {what}")


def close_connection(sock):
    """Close both sides, whatever the peer does."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def reset_connection(sock):
    """Close so that the peer meets a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def http_call(port, head, body=b"", timeout=WAIT):
    """One HTTP call on a connection of its own: the status and the body."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as sock:
        sock.sendall(head.encode() + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        response = b""
        while chunk := sock.recv(65536):
            response += chunk
    response_head, _, content = response.partition(b"\r\n\r\n")
    return int(response_head.split()[1]), content
