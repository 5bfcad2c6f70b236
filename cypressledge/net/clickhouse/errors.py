"""ClickHouse error codes and their names, with the HTTP statuses that a ClickHouse server answers with."""

from enum import IntEnum

from cypressledge.net.http_exchange import HttpExchange


class ErrorCode(IntEnum):
    """The ClickHouse error codes that the broker uses."""

    BAD_ARGUMENTS = 36
    NOT_IMPLEMENTED = 48
    SYNTAX_ERROR = 62
    UNKNOWN_FORMAT = 73
    UNKNOWN_SETTING = 115
    TIMEOUT_EXCEEDED = 159
    READONLY = 164
    TOO_MANY_SIMULTANEOUS_QUERIES = 202
    NETWORK_ERROR = 210
    QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING = 216
    HTTP_LENGTH_REQUIRED = 381
    AUTHENTICATION_FAILED = 516


HTTP_STATUSES = {
    ErrorCode.BAD_ARGUMENTS: 400,
    ErrorCode.NOT_IMPLEMENTED: 501,
    ErrorCode.SYNTAX_ERROR: 400,
    ErrorCode.UNKNOWN_FORMAT: 404,
    ErrorCode.UNKNOWN_SETTING: 404,
    ErrorCode.TIMEOUT_EXCEEDED: 408,
    ErrorCode.READONLY: 500,
    ErrorCode.TOO_MANY_SIMULTANEOUS_QUERIES: 503,
    ErrorCode.NETWORK_ERROR: 500,
    ErrorCode.QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING: 500,
    ErrorCode.HTTP_LENGTH_REQUIRED: 411,
    ErrorCode.AUTHENTICATION_FAILED: 403,
}
KNOWN_CODES = frozenset(ErrorCode)


class ClickHouseError(Exception):
    """A request that is answered with an error.

    `status`: HTTP status; 0 stands for the code's status in `HTTP_STATUSES`."""

    def __init__(self, code: ErrorCode, text: str, status: int = 0) -> None:
        super().__init__(text)
        self.code, self.status = code, status or HTTP_STATUSES[code]


def answer_error(
    exchange: HttpExchange, code: int, status: int, text: str, headers: dict[str, str] | None = None
) -> None:
    """Answer with an exception in ClickHouse's format; an error text from an engine is passed on unchanged.

    `code`: an `ErrorCode`, or any code that an engine has answered."""
    name = ErrorCode(code).name if code in KNOWN_CODES else "UNKNOWN_EXCEPTION"
    line = text if text.startswith("Code: ") else f"Code: {int(code)}. DB::Exception: {text}. ({name})"
    all_headers = {
        "Content-Type": "text/plain; charset=UTF-8",
        "X-ClickHouse-Exception-Code": str(int(code)),
    } | (headers or {})
    exchange.answer(status, all_headers, line.encode().rstrip(b"\n") + b"\n")
