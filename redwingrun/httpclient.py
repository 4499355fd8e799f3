"""HTTP client on curl that says of each failed call whether it may have run."""

from __future__ import annotations

import asyncio
import hashlib
from functools import partial

import pycurl
from attrs import field, frozen
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from redwingrun.coordination.verdict import (
    TIMEOUT,
    Failure,
    Verdict,
    may_have_run,
    not_run,
)

DIGEST_HEADER = "X-Digest"
REQUEST_ID_HEADER = "X-Request-Id"
VERDICT_HEADER = "X-Verdict"
FROM_HEADER = "X-From"
DEFAULT_MAX_CLIENTS = 128
# Curl handles that are created at the start; more are created when they are needed.
INITIAL_HANDLES = 8
MAX_IDLE_CONNECTIONS = 2048

# Errors that occur before a connection is established, so nothing was sent.
NOT_SENT_ERRORS = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_URL_MALFORMAT,
    }
)
# Reason of a failure: a part of the reply was received until the timeout.
INCOMPLETE = "incomplete"
# What libcurl says in the first case.
NOTHING_RECEIVED = "with 0 bytes received"
# libcurl closes connections that were idle for longer.
MAX_IDLE_S = 118.0
# Longest time of a call whose reply keeps arriving.
MAX_TRANSFER_S = 30.0
MS_PER_S = 1000
# Status that tornado sets when there is no reply.
NO_RESPONSE_STATUS = 599


@frozen
class HttpCall:
    """One HTTP request.

    :param timeout_s: longest time until the whole reply has arrived, or until its
        first bytes have arrived if there is a ``stall_timeout_s``.
    :param stall_timeout_s: after ``timeout_s``, the call ends when no more bytes arrive
        for this long, so that a large reply may take as long as the link needs;
        ``None`` for small replies.
    """

    method: str
    url: str
    timeout_s: float
    body: bytes | None = None
    headers: dict[str, str] = field(factory=dict)
    connect_timeout_s: float = 0.5
    stall_timeout_s: float | None = None


@frozen
class HttpReply:
    """A complete reply with any status."""

    status: int
    body: bytes
    headers: HTTPHeaders


def digest(body: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of a body."""
    return hashlib.sha256(body).hexdigest()


class HttpClient:
    """Sends calls with curl and reuses its connections.

    After a call to a server that got no answer, connections to it that are older than
    that are not reused: they may have gone silent, without a reset, with the first.

    :param sender: name of this process, sent with each call for the server's logs,
        along with a digest of the body; empty to send neither header.
    :param max_clients: most calls at the same time; further calls wait.
    """

    def __init__(self, sender: str, max_clients: int = DEFAULT_MAX_CLIENTS):
        self._sender = sender
        # Time of the last call to a server that timed out without any answer.
        self._silent_s_by_server: dict[str, float] = {}
        self._curl = _PooledCurlClient(force_instance=True, max_clients=max_clients)

    async def send(self, call: HttpCall) -> Result[HttpReply, Failure]:
        """Send a call.

        :return: the reply, or a failure whose verdict says whether the call may
            have had an effect.
        """
        headers = dict(call.headers)
        if self._sender:
            headers[FROM_HEADER] = self._sender
        if self._sender and call.body is not None:
            headers[DIGEST_HEADER] = digest(call.body)
        max_age_s = self._max_connection_age_s(_server_of(call))
        is_small = call.stall_timeout_s is None
        request = HTTPRequest(
            call.url,
            method=call.method,
            headers=headers,
            body=call.body,
            connect_timeout=min(call.connect_timeout_s, call.timeout_s),
            request_timeout=call.timeout_s if is_small else MAX_TRANSFER_S,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=partial(self._prepare, call, max_age_s),
        )
        try:
            response = await self._curl.fetch(request, raise_error=False)
        except (HTTPClientError, OSError, ValueError) as error:
            # A ValueError is raised for a URL or a header that can't be encoded.
            return self._failed(call, error)
        if response.code == NO_RESPONSE_STATUS:
            return self._failed(call, response.error)
        return _check_digest(response)

    def _prepare(
        self, call: HttpCall, max_connection_age_s: int, curl: pycurl.Curl
    ) -> None:
        _set_options(curl, max_connection_age_s)
        if call.stall_timeout_s is not None:
            self._curl.watch_transfer(curl, call.timeout_s, call.stall_timeout_s)

    def _failed(
        self, call: HttpCall, error: BaseException | None
    ) -> Result[HttpReply, Failure]:
        """Return the failure of a call, and remember a server that was silent.

        A small reply of which a part arrived may only have been slow.
        """
        failure = failure_from_error(error)
        has_stalled = failure.reason == INCOMPLETE and call.stall_timeout_s is not None
        if failure.reason == TIMEOUT or has_stalled:
            server = _server_of(call)
            self._silent_s_by_server[server] = asyncio.get_running_loop().time()
        return Error(failure)

    def _max_connection_age_s(self, server: str) -> int:
        """Return how old a connection may be to be reused, 0 for no limit."""
        silent_s = self._silent_s_by_server.get(server)
        if silent_s is None:
            return 0
        since_s = asyncio.get_running_loop().time() - silent_s
        if since_s > MAX_IDLE_S:
            del self._silent_s_by_server[server]
            return 0
        return max(1, int(since_s))

    def close(self) -> None:
        """Close all connections."""
        self._curl.close()


class _PooledCurlClient(CurlAsyncHTTPClient):
    """Keeps idle connections open and creates curl handles when they are needed.

    By default, libcurl keeps at most four times as many connections as there are
    calls in flight, and closes the others whenever a burst of calls ends. By default,
    tornado creates a handle for each of the ``max_clients`` calls at the start.
    """

    def initialize(self, max_clients: int, **kwargs: object) -> None:
        super().initialize(min(INITIAL_HANDLES, max_clients), **kwargs)
        self._max_clients = max_clients
        self._multi.setopt(pycurl.M_MAXCONNECTS, MAX_IDLE_CONNECTIONS)

    def fetch_impl(self, request: object, callback: object) -> None:
        """Send a request, creating a handle if all are in use."""
        if not self._free_list and len(self._curls) < self._max_clients:
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super().fetch_impl(request, callback)

    def watch_transfer(
        self, curl: pycurl.Curl, timeout_s: float, stall_timeout_s: float
    ) -> None:
        """End the request of a handle when its reply does not arrive any more.

        libcurl's own bounds don't serve: one is on the whole time, the other on an
        average over several seconds.

        :param timeout_s: time allowed until the first bytes.
        :param stall_timeout_s: time allowed without more bytes after that.
        """
        request = curl.info["request"]
        started_s = self.io_loop.time()
        received_bytes = 0.0

        def check() -> None:
            nonlocal received_bytes
            if self._multi is None or not curl.info or curl.info["request"] != request:
                return
            before_bytes = received_bytes
            received_bytes = curl.getinfo(pycurl.SIZE_DOWNLOAD)
            if received_bytes > before_bytes:
                self.io_loop.call_later(stall_timeout_s, check)
                return
            took_ms = (self.io_loop.time() - started_s) * MS_PER_S
            expected_bytes = curl.getinfo(pycurl.CONTENT_LENGTH_DOWNLOAD)
            received = f"{received_bytes:.0f} bytes received"
            if received_bytes:
                received = f"{received_bytes:.0f} out of {expected_bytes:.0f} bytes"
            message = f"Operation timed out after {took_ms:.0f} ms with {received}"
            self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, message)
            self._process_queue()

        self.io_loop.call_later(timeout_s, check)


def _server_of(call: HttpCall) -> str:
    """Return the IP and port that a call is sent to."""
    return call.url.split("/")[2]


def _set_options(curl: pycurl.Curl, max_connection_age_s: int) -> None:
    """Limit the age of a reused connection, and prevent a second sending.

    When a reused connection fails before the first byte of the reply, libcurl
    rewinds the body and sends the request again on a new connection, although the
    first one may have run. If rewinding fails, it returns an error instead.
    """
    curl.setopt(pycurl.MAXLIFETIME_CONN, max_connection_age_s)
    curl.setopt(pycurl.SEEKFUNCTION, lambda offset, origin: pycurl.SEEKFUNC_FAIL)


def failure_from_error(error: BaseException | None) -> Failure:
    """Return the failure of a call that ended without a complete reply."""
    if isinstance(error, CurlError) and _was_refused(error):
        return not_run("connection-refused", str(error))
    if isinstance(error, CurlError) and error.errno in NOT_SENT_ERRORS:
        return not_run("not-connected", str(error))
    if isinstance(error, CurlError) and error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return _timeout_failure(str(error))
    if isinstance(error, HTTPClientError) and "in request queue" in str(error):
        return not_run("client-busy", str(error))
    return may_have_run("connection-lost", str(error))


def _was_refused(error: CurlError) -> bool:
    """Return whether no connection could be made, as when nothing listens there."""
    return error.errno == pycurl.E_COULDNT_CONNECT


def _timeout_failure(text: str) -> Failure:
    # libcurl reports "Connection timed out" while it connects and "Operation timed
    # out" once it is connected. Older versions report "Connection timeout after".
    if "Connection time" in text or "Failed to connect" in text:
        return not_run("not-connected", text)
    if NOTHING_RECEIVED in text:
        return may_have_run(TIMEOUT, text)
    return may_have_run(INCOMPLETE, text)


def _check_digest(response: HTTPResponse) -> Result[HttpReply, Failure]:
    body = response.body or b""
    expected_digest = response.headers.get(DIGEST_HEADER)
    if expected_digest is not None and expected_digest != digest(body):
        return Error(may_have_run("damaged", "the reply does not match its digest"))
    return Ok(HttpReply(response.code, body, response.headers))


def failure_from_status(reply: HttpReply) -> Failure | None:
    """Return the failure that an error status stands for, ``None`` for any other.

    The request may have run, unless the reply says *not run*.
    """
    if reply.status < 300:
        return None
    detail = reply.body[:200].decode(errors="replace")
    if reply.headers.get(VERDICT_HEADER) == Verdict.NOT_RUN.value:
        return not_run(f"status-{reply.status}", detail)
    return may_have_run(f"status-{reply.status}", detail)
