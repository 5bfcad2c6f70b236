"""Shared helpers of tests: waits with a time limit, closing and resetting sockets, HTTP calls."""

import contextlib
import socket
import struct
import time
from pathlib import Path

ROOT = Path(__file__).parents[2]
WAIT = 15.0  # s; longest wait of a test for an event


def wait_until(condition, what="an event"):
    """Wait at most `WAIT` seconds until the condition is true, and return its value."""
    end = time.monotonic() + WAIT
    while time.monotonic() < end:
        if result := condition():
            return result
        time.sleep(0.01)
    raise AssertionError(f"timed out after {WAIT} s waiting for {what}")


def close_connection(sock):
    """Shut down both directions of a connection and close it, whether or not the peer is still connected."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def reset_connection(sock):
    """Close a connection with a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def http_call(port, head, body=b"", timeout=WAIT):
    """Send one HTTP request on a new connection, and return the status and the body of the response."""
    with socket.create_connection(("127.0.0.1", port), timeout=timeout) as sock:
        sock.sendall(head.encode() + b"\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        response = b""
        while chunk := sock.recv(65536):
            response += chunk
    response_head, _, content = response.partition(b"\r\n\r\n")
    return int(response_head.split()[1]), content
