"""Routing of quick requests: slots, long work, peers, ejection, fairness, rejection."""

from __future__ import annotations

import asyncio

from redwingrun.dispatcher import (
    Dispatcher,
    Forward,
    Minion,
    PoolLoad,
    Reject,
    Send,
    SendNews,
)
from redwingrun.objects import Upstream
from redwingrun.requests import Request


def minion(name: str, slots: int = 2, unattributed_busy: int = 0) -> Minion:
    upstream = Upstream(name=name, address="", data_centre="", slots=slots)
    return Minion(upstream, 1, unattributed_busy=unattributed_busy)


def make(
    *minions: Minion, queue_limit: int = 100, long_share: float = 0.5
) -> Dispatcher:
    dispatcher = Dispatcher("pool", queue_limit, 1.0)
    dispatcher.set_weights({}, long_share)
    dispatcher.set_minions({item.name: item for item in minions})
    return dispatcher


def request(name: str, **changes) -> Request:
    values = {
        "request_id": name,
        "workload": "check",
        "team": "setters",
        "pool": "pool",
        "arrived_s": 0.0,
        "deadline_s": 5.0,
        "estimate_s": 0.05,
    }
    return Request(**{**values, **changes})


def test_a_minion_gets_no_more_requests_than_slots():
    dispatcher = make(minion("a"))
    actions = [dispatcher.submit(request(f"r{index}"), 0.0) for index in range(3)]
    assert [type(item[0]) if item else None for item in actions] == [
        Send,
        Send,
        None,
    ]
    assert dispatcher.waiting_count() == 1


def test_slots_that_an_earlier_owner_may_hold_are_not_used():
    dispatcher = make(minion("a", unattributed_busy=2))
    assert dispatcher.submit(request("r"), 0.0) == []


def test_the_fastest_minion_is_chosen():
    slow, fast = minion("slow"), minion("fast")
    dispatcher = make(slow, fast)
    slow.speed.value, fast.speed.value = 0.5, 2.0
    assert dispatcher.submit(request("r"), 0.0)[0].minion == "fast"


def test_long_requests_leave_slots_for_short_ones():
    dispatcher = make(minion("a", slots=4))
    for index in range(4):
        dispatcher.submit(request(f"long{index}", long=True), 0.0)
    assert dispatcher.waiting_count() == 2
    assert isinstance(dispatcher.submit(request("short"), 0.0)[0], Send)


def test_a_queued_request_is_forwarded_to_a_peer_with_a_free_slot():
    dispatcher = make()
    dispatcher.submit(request("r"), 0.0)
    actions = dispatcher.receive_load("peer", PoolLoad(free_short=1), 0.1)
    assert [type(item) for item in actions] == [Forward]
    assert dispatcher.waiting_count() == 0


def test_a_peers_load_is_not_used_when_it_is_too_old():
    dispatcher = make()
    dispatcher.receive_load("peer", PoolLoad(free_short=1), 0.0)
    assert dispatcher.submit(request("r"), 2.0) == [SendNews("peer")]


def test_a_peer_that_declined_gets_no_request_until_it_reports_again():
    dispatcher = make()
    dispatcher.receive_load("peer", PoolLoad(free_short=5), 0.0)
    sent = request("r")
    assert isinstance(dispatcher.submit(sent, 0.0)[0], Forward)
    dispatcher.mark_peer_full("peer")
    assert dispatcher.requeue(sent, 0.1) == []
    assert dispatcher.waiting_count() == 1


def test_free_slots_are_reported_to_a_peer_with_queued_requests():
    dispatcher = make(minion("a"))
    assert dispatcher.receive_load("peer", PoolLoad(waiting_short=3), 0.0) == [
        SendNews("peer")
    ]


def test_a_queued_request_that_misses_its_deadline_is_rejected():
    dispatcher = make()
    dispatcher.submit(request("r", deadline_s=1.0), 0.0)
    expired = dispatcher.expire(1.5)
    assert [(type(item), item.failure.reason) for item in expired] == [
        (Reject, "deadline")
    ]


def test_a_full_queue_evicts_from_the_team_with_the_most_requests():
    dispatcher = make(queue_limit=4)
    for index in range(4):
        dispatcher.submit(request(f"r{index}", team="loud"), 0.0)
    actions = dispatcher.submit(request("quiet", team="quiet"), 0.0)
    assert actions[0].request.request_id == "r3"
    rejected = dispatcher.submit(request("again", team="loud"), 0.0)
    assert rejected[0].request.request_id == "again"


def test_a_minion_that_fails_all_requests_is_ejected_and_probed():
    dispatcher = make(minion("bad", slots=8), minion("good", slots=8))
    for index in range(6):
        sent = request(f"r{index}")
        dispatcher.minions()["bad"].request_by_id[sent.request_id] = sent
        dispatcher.complete_request("bad", sent, None, False, 0.0)
    assert dispatcher.ejector.ejected() == ["bad"]
    names = {
        dispatcher.submit(request(f"s{index}"), 0.1)[0].minion for index in range(4)
    }
    assert names == {"good"}
    assert dispatcher.ejector.usable("bad", 2.0)
    dispatcher.ejector.record_sent("bad")
    assert not dispatcher.ejector.usable("bad", 2.0)
    dispatcher.ejector.record("bad", True, 2.1)
    assert dispatcher.ejector.ejected() == []


def test_at_most_half_of_the_minions_are_ejected():
    dispatcher = make(*[minion(f"m{index}") for index in range(4)])
    for name in dispatcher.minions():
        for _ in range(10):
            dispatcher.ejector.record(name, False, 0.0)
    assert len(dispatcher.ejector.ejected()) == 2


def test_a_retry_has_its_own_id_and_remembers_that_an_attempt_may_have_run():
    first = request("r", waiter=asyncio.Future(loop=asyncio.new_event_loop()))
    second = first.next_attempt(may_have_run=True).next_attempt(may_have_run=False)
    assert (second.request_id, second.may_have_run) == ("r~2", True)
    assert second.waiter is first.waiter
