"""HTTP by curl: one call, with a verdict for every way it can fail."""

from __future__ import annotations

import hashlib

import pycurl
from attrs import field, frozen
from expression import Error, Ok, Result
from tornado.curl_httpclient import CurlAsyncHTTPClient, CurlError
from tornado.httpclient import HTTPClientError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders

from redwingrun.coordination.verdict import Failure, Verdict, may_have_run, not_run

DIGEST_HEADER = "X-Digest"
REQUEST_ID_HEADER = "X-Request-Id"
VERDICT_HEADER = "X-Verdict"
FROM_HEADER = "X-From"
MAX_CLIENTS = 128
# Calls at the same time for which handles are made at once; more when they are needed.
FIRST_CLIENTS = 8
# Open connections that are kept for later calls.
KEPT_CONNECTIONS = 2048

# Failures before curl had a connection: nothing can have been sent.
NOT_SENT = frozenset(
    {
        pycurl.E_COULDNT_CONNECT,
        pycurl.E_COULDNT_RESOLVE_HOST,
        pycurl.E_COULDNT_RESOLVE_PROXY,
        pycurl.E_URL_MALFORMAT,
    }
)
TIMEOUT_STATUS = 599


@frozen
class HttpCall:
    """One HTTP request.

    :param timeout_s: longest time to the whole answer.
    """

    method: str
    url: str
    timeout_s: float
    body: bytes | None = None
    headers: dict[str, str] = field(factory=dict)
    connect_timeout_s: float = 0.5


@frozen
class HttpReply:
    """A whole answer, whatever its status."""

    status: int
    body: bytes
    headers: HTTPHeaders


def digest(body: bytes) -> str:
    """Return the digest that goes with a body."""
    return hashlib.sha256(body).hexdigest()


class HttpClient:
    """Sends calls through curl, which keeps connections and drops failed ones.

    :param sender: told to the other side in each call, for its logs; empty for
        a side that does not know our headers.
    :param max_clients: most calls at the same time.
    """

    def __init__(self, sender: str, max_clients: int = MAX_CLIENTS):
        self._sender = sender
        self._curl = _KeepingClient(force_instance=True, max_clients=max_clients)

    async def send(self, call: HttpCall) -> Result[HttpReply, Failure]:
        """Send a call.

        :return: the answer, or a failure whose verdict says whether the call
            may have had an effect.
        """
        headers = dict(call.headers)
        if self._sender:
            headers[FROM_HEADER] = self._sender
        if self._sender and call.body is not None:
            headers[DIGEST_HEADER] = digest(call.body)
        request = HTTPRequest(
            call.url,
            method=call.method,
            headers=headers,
            body=call.body,
            connect_timeout=min(call.connect_timeout_s, call.timeout_s),
            request_timeout=call.timeout_s,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=_never_resend,
        )
        try:
            response = await self._curl.fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            return Error(failure_of(error))
        if response.code == TIMEOUT_STATUS:
            return Error(failure_of(response.error))
        return _checked(response)

    def close(self) -> None:
        """Close all connections."""
        self._curl.close()


class _KeepingClient(CurlAsyncHTTPClient):
    """Keeps connections between waves of calls, and makes handles as they are needed.

    By default libcurl keeps four times the number of calls under way, and closes the
    rest each time that a wave is over; tornado makes a handle for each call that
    there may ever be.
    """

    def initialize(self, max_clients: int, **kwargs: object) -> None:
        super().initialize(min(FIRST_CLIENTS, max_clients), **kwargs)
        self._max_clients = max_clients
        self._multi.setopt(pycurl.M_MAXCONNECTS, KEPT_CONNECTIONS)

    def fetch_impl(self, request: object, callback: object) -> None:
        """Send a request, with a new handle if all are in use."""
        if not self._free_list and len(self._curls) < self._max_clients:
            curl = self._curl_create()
            self._curls.append(curl)
            self._free_list.append(curl)
        super().fetch_impl(request, callback)


def _never_resend(curl: pycurl.Curl) -> None:
    """Keep libcurl from sending a request again by itself.

    When a reused connection dies before the first byte of an answer, libcurl
    rewinds the body and sends it on a new one: the first may have run. It gives
    up with an error when the body can't be rewound.
    """
    curl.setopt(pycurl.SEEKFUNCTION, lambda offset, origin: pycurl.SEEKFUNC_FAIL)


def failure_of(error: BaseException | None) -> Failure:
    """Return the verdict of a call that ended without a whole answer."""
    if isinstance(error, CurlError) and _was_refused(error):
        return not_run("connection-refused", str(error))
    if isinstance(error, CurlError) and error.errno in NOT_SENT:
        return not_run("not-connected", str(error))
    if isinstance(error, CurlError) and error.errno == pycurl.E_OPERATION_TIMEDOUT:
        return _timed_out(str(error))
    if isinstance(error, HTTPClientError) and "in request queue" in str(error):
        return not_run("client-busy", str(error))
    return may_have_run("connection-lost", str(error))


def _was_refused(error: CurlError) -> bool:
    """Tell whether nothing listens at the address."""
    return error.errno == pycurl.E_COULDNT_CONNECT


def _timed_out(text: str) -> Failure:
    # libcurl says "Connection timed out" before and "Operation timed out" after
    # the connection stood; older ones say "Connection timeout after".
    if "Connection time" in text or "Failed to connect" in text:
        return not_run("not-connected", text)
    return may_have_run("timeout", text)


def _checked(response: HTTPResponse) -> Result[HttpReply, Failure]:
    body = response.body or b""
    stated = response.headers.get(DIGEST_HEADER)
    if stated is not None and stated != digest(body):
        return Error(may_have_run("damaged", "the answer does not match its digest"))
    return Ok(HttpReply(response.code, body, response.headers))


def failure_from_status(reply: HttpReply) -> Failure | None:
    """Return the failure that a status stands for, ``None`` for an answer.

    Only a status with an explicit *not run* allows another attempt.
    """
    if reply.status < 300:
        return None
    text = reply.body[:200].decode(errors="replace")
    if reply.headers.get(VERDICT_HEADER) == Verdict.NOT_RUN.value:
        return not_run(f"status-{reply.status}", text)
    return may_have_run(f"status-{reply.status}", text)
