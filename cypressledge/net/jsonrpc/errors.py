"""Error codes, of JSON-RPC 2.0 and of the platform, and the exceptions that carry them."""

from enum import IntEnum


class ErrorCode(IntEnum):
    """The `code` of an error object."""

    PARSE_ERROR = -32700
    INVALID_REQUEST = -32600
    METHOD_NOT_FOUND = -32601
    INVALID_PARAMS = -32602
    FAILED = -32000  # the platform's: it may have run
    REJECTED = -32066  # the platform's: trying again is harmless


class FramingError(Exception):
    """Message boundaries are lost: the connection cannot go on."""


class JsonRpcError(Exception):
    """A message that is answered by an error."""

    def __init__(self, code: ErrorCode, text: str) -> None:
        super().__init__(text)
        self.code = code
