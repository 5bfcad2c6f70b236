"""Parses the requests of one HTTP connection with httptools, within limits and a budget of memory."""

from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from urllib.parse import parse_qsl, unquote, urlsplit

import httptools

from cypressledge.clock import monotonic_us
from cypressledge.config import Limits
from cypressledge.net.byte_budget import ByteBudget
from cypressledge.net.http_exchange import HttpRequest
from cypressledge.net.http_head import HeadLimitError, HeadLimits, HeadMeter

# Of the request target, the header fields and the trailers.
HEAD_LIMITS = HeadLimits(max_size=64 << 10, max_field_size=64 << 10, max_fields=100)
MAX_PARAMETERS = 100  # in the query of a request target
UNCHARGED_HEAD_SIZE = 4096  # bytes of memory that the head of each request may take without a reservation
# Bytes of requests that are not handled yet, of all connections; default until the configuration is known.
PENDING_REQUESTS = ByteBudget(8 << 20)
MEMORY_SHARE_OF_REQUESTS = 8  # divisor: they may use 1/8 of the spare memory


def limit_pending_requests(limits: Limits) -> None:
    """Apply the memory limit of the deployment to the requests of all HTTP servers of the process."""
    PENDING_REQUESTS.limit = limits.spare_memory // MEMORY_SHARE_OF_REQUESTS


class InvalidInputError(Exception):
    """Input behind which no further request can be read, with the HTTP status to answer."""

    def __init__(self, status: HTTPStatus) -> None:
        super().__init__(str(status.value))
        self.status = status


class UpgradeRequestedError(Exception):
    """The last request asks for another protocol; what follows its head cannot be parsed."""


class RequestParser:
    """The requests that are being received on a connection, and those that wait to be handled.

    What they take is charged to `PENDING_REQUESTS`. httptools calls the `on_` methods.
    """

    def __init__(
        self, max_body_size: int, on_expect: Callable[[], None], on_drop: Callable[[], None]
    ) -> None:
        """`on_expect` is called if a client waits for leave to send a body, `on_drop` when requests are
        dropped because others need the memory. `max_body_size` is in bytes."""
        self.waiting: deque[HttpRequest] = deque()
        self.began_at = 0  # µs; first byte of an incomplete request, 0 if there is none
        self.has_completed = False  # a complete request has been received
        self._max_body_size = max_body_size
        self._on_expect, self._on_drop = on_expect, on_drop
        self._held_bytes = 0  # reserved from `PENDING_REQUESTS`
        self._parsed_body_bytes = 0  # of the bytes that are being parsed, those of bodies
        self._head = HeadMeter(HEAD_LIMITS)
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)  # None: dropped
        self._start_request()

    def feed(self, received: bytes) -> None:
        """Parse received bytes. Raises `InvalidInputError` and `UpgradeRequestedError`."""
        if self._parser is None:
            raise InvalidInputError(HTTPStatus.SERVICE_UNAVAILABLE)
        try:
            self._feed(self._parser, received)
        except HeadLimitError:
            raise InvalidInputError(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE) from None
        except httptools.HttpParserCallbackError as err:
            raise InvalidInputError(_status_of_callback_error(err)) from None
        except httptools.HttpParserUpgrade:
            raise UpgradeRequestedError from None
        except (httptools.HttpParserError, ValueError):
            raise InvalidInputError(HTTPStatus.BAD_REQUEST) from None

    def _feed(self, parser: httptools.HttpRequestParser, received: bytes) -> None:
        self._parsed_body_bytes = 0
        parser.feed_data(received)
        self._head.add_parsed(len(received) - self._parsed_body_bytes)
        if self.began_at:
            self._charge_head()

    def take(self) -> HttpRequest:
        """Remove and return the first waiting request, which is to be handled now."""
        request = self.waiting.popleft()
        self._release(request.charged_bytes)
        return request

    def close(self) -> None:
        """Drop all requests, and return what is reserved for them."""
        self._parser = None  # it refers to this object, which would be freed only by a garbage collection
        self.waiting.clear()
        self._release(self._held_bytes)

    # The budget of memory

    @property
    def held_bytes(self) -> int:
        """See `BudgetHolder`: the bytes of requests that are not handled yet."""
        return self._held_bytes

    def give_up_bytes(self) -> None:
        """See `BudgetHolder`: drop the requests' contents, and reject them when their turn comes.

        Behind an incomplete head, whose last field is in the parser, no further request can be read."""
        self._on_drop()
        for request in self.waiting:
            request.drop_content(HTTPStatus.SERVICE_UNAVAILABLE)
        if self.began_at:
            self._request.drop_content(HTTPStatus.SERVICE_UNAVAILABLE)
            self._body, self._target = bytearray(), b""
            if not self._is_head_complete:
                self._parser = None
        self._release(self._held_bytes)

    def _reserve(self, size: int) -> bool:
        """Reserve memory for the incomplete request; return False if this connection gave up what it held."""
        if not PENDING_REQUESTS.reserve_for(self, size):
            return False
        self._held_bytes += size
        self._request.charged_bytes += size
        PENDING_REQUESTS.holders.add(self)
        return True

    def _release(self, size: int) -> None:
        self._held_bytes -= size
        PENDING_REQUESTS.release(size)
        if not self._held_bytes:
            PENDING_REQUESTS.holders.discard(self)

    def _charge_head(self) -> None:
        """Reserve memory for what the incomplete request's head has grown by. Raises `InvalidInputError`."""
        growth = self._head.stored_size - UNCHARGED_HEAD_SIZE - self._charged_head_bytes
        if growth <= 0 or self._request.rejection is not None:
            return
        if self._reserve(growth):
            self._charged_head_bytes += growth
        elif self._parser is None:
            raise InvalidInputError(HTTPStatus.SERVICE_UNAVAILABLE)

    # Callbacks of the httptools parser

    def _start_request(self) -> None:
        self._request, self._target = HttpRequest(), b""
        self._body = bytearray()  # not a list of parts: a part may be a single byte
        self._body_size = self._charged_head_bytes = 0
        self._is_head_complete = False
        self._head.restart()

    def on_message_begin(self) -> None:
        """Handle the beginning of a request."""
        self.began_at = monotonic_us()
        self._start_request()

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store one header field. Raises `HeadLimitError`."""
        self._head.end_field()
        self._request.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Check the declared length and handle `Expect`. Raises `InvalidInputError`, `ValueError`."""
        self._is_head_complete = True
        headers = self._request.headers
        self._request.has_length = "content-length" in headers or "transfer-encoding" in headers
        if int(headers.get("content-length") or 0) > self._max_body_size:
            raise InvalidInputError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if headers.get("expect", "").lower() == "100-continue":
            self._on_expect()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body. Raises `InvalidInputError`."""
        self._body_size += len(body)
        self._parsed_body_bytes += len(body)
        self._head.restart()
        if self._body_size > self._max_body_size:
            raise InvalidInputError(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if self._request.rejection is None and self._reserve(len(body)):
            self._body += body

    def on_message_complete(self) -> None:
        """Queue the complete request. Raises `ValueError`."""
        assert self._parser is not None  # it calls this method
        self.began_at, self.has_completed = 0, True
        request, target = self._request, urlsplit(self._target.decode("latin-1"))
        request.method, request.version = self._parser.get_method().decode(), self._parser.get_http_version()
        request.keep_alive, request.body = self._parser.should_keep_alive(), bytes(self._body)
        request.path = unquote(target.path)
        request.params = dict(parse_qsl(target.query, keep_blank_values=True, max_num_fields=MAX_PARAMETERS))
        self._body, self._target = bytearray(), b""
        self._head.restart()
        self.waiting.append(request)


def _status_of_callback_error(err: httptools.HttpParserCallbackError) -> HTTPStatus:
    """Return the status to answer with; the parser wraps the exceptions of its callbacks."""
    cause = err.__context__
    if isinstance(cause, InvalidInputError):
        return cause.status
    if isinstance(cause, HeadLimitError):
        return HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
    return HTTPStatus.BAD_REQUEST
