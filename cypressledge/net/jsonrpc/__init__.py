"""The platform's client protocol: JSON-RPC 2.0 over TCP, each message after a `Content-Length` header."""
