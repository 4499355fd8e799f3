"""Client accounts in the operator's configuration."""

from __future__ import annotations

from typing import Any

import orjson
import pytest

from redwingrun.jobs.spec import QueueSet
from redwingrun.jobs.tasksize import TaskSize
from redwingrun.platform.queues import decode_queues

ROUTE = {"name": "q", "hostname": "h", "pathPrefix": "/q/", "backend": "p"}
ACCOUNT = {
    "name": "copy-desk",
    "apiKeys": ["key-one-of-two", "key-two-of-two"],
    "weight": 14,
    "cap": {"cpu": 16000, "memMb": 2048},
}


def decode(**fields: Any) -> QueueSet:
    return decode_queues(orjson.dumps({"version": 7, **fields}).decode())


def test_accounts_are_found_by_each_of_their_keys():
    """Guards against a key that is refused although the configuration holds it."""
    queues = decode(routes=[ROUTE], tenants=[ACCOUNT])
    for key in ACCOUNT["apiKeys"]:
        account = queues.accounts.find_by_key(key)
        assert (account.name, account.weight) == ("copy-desk", 14)
        assert account.cap == TaskSize(16000, 2048, 0)
    assert queues.accounts.find_by_key("another-key") is None
    assert queues.accounts.find_by_key("") is None


def test_keys_are_not_kept():
    """Guards against keys that reach a log with the configuration."""
    account = decode(tenants=[ACCOUNT]).accounts.find_by_name("copy-desk")
    assert all(key not in repr(account) for key in ACCOUNT["apiKeys"])


@pytest.mark.parametrize("public", [{}, {"public": False}])
def test_queues_require_a_key_where_there_are_accounts(public: dict[str, bool]):
    """Guards against an open queue: fields that are false may be left out."""
    queues = decode(routes=[ROUTE | public], tenants=[ACCOUNT])
    assert queues.queue_by_name["q"].requires_key


@pytest.mark.parametrize(
    "fields", [{"routes": [ROUTE | {"public": True}], "tenants": [ACCOUNT]}, {}]
)
def test_public_queues_and_deployments_without_accounts_require_no_key(
    fields: dict[str, Any],
):
    """Guards against refusals in deployments that know no keys."""
    queues = decode(**({"routes": [ROUTE]} | fields))
    assert not queues.queue_by_name["q"].requires_key


@pytest.mark.parametrize(
    "account",
    [{"apiKeys": "key"}, {"apiKeys": [7]}, {"weight": "much"}, {"cap": {"cpu": -1}}],
)
def test_damaged_accounts_are_refused(account: dict[str, Any]):
    """Guards against a configuration that is applied in part."""
    with pytest.raises(ValueError, match="must be"):
        decode(tenants=[ACCOUNT | account])
