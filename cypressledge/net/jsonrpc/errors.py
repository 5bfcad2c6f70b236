"""Error codes of JSON-RPC 2.0 and of the platform, and the exceptions raised for invalid messages."""

from enum import IntEnum


class ErrorCode(IntEnum):
    """Values of the `code` member of an error object."""

    PARSE_ERROR = -32700
    INVALID_REQUEST = -32600
    METHOD_NOT_FOUND = -32601
    INVALID_PARAMS = -32602
    INTERNAL_ERROR = -32603
    FAILED = -32000  # defined by the platform: the request may have been executed
    REJECTED = -32066  # defined by the platform: not executed, may safely be repeated


class FramingError(Exception):
    """Invalid framing: message boundaries are lost, so no further message can be read."""


class JsonRpcError(Exception):
    """A message that is answered with an error."""

    def __init__(self, code: ErrorCode, text: str) -> None:
        super().__init__(text)
        self.code = code
