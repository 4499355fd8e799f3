"""Routing of short requests: slots, classes, news, ejection, fairness, refusal."""

from __future__ import annotations

import asyncio

from redwingrun.dispatcher import (
    Dispatcher,
    Forward,
    Minion,
    PoolNews,
    Reject,
    Send,
    SendNews,
)
from redwingrun.objects import Upstream
from redwingrun.requests import Request


def minion(name: str, slots: int = 2, foreign: int = 0) -> Minion:
    upstream = Upstream(name=name, address="", data_centre="", slots=slots)
    return Minion(upstream, 1, foreign=foreign)


def make(
    *minions: Minion, queue_limit: int = 100, long_share: float = 0.5
) -> Dispatcher:
    dispatcher = Dispatcher("pool", queue_limit, 1.0)
    dispatcher.set_shares({}, long_share)
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


def test_no_minion_gets_more_than_its_slots():
    dispatcher = make(minion("a"))
    actions = [dispatcher.submit(request(f"r{index}"), 0.0) for index in range(3)]
    assert [type(found[0]) if found else None for found in actions] == [
        Send,
        Send,
        None,
    ]
    assert dispatcher.waiting() == 1


def test_slots_that_an_earlier_owner_may_hold_are_not_used():
    dispatcher = make(minion("a", foreign=2))
    assert dispatcher.submit(request("r"), 0.0) == []


def test_the_faster_minion_goes_first():
    slow, fast = minion("slow"), minion("fast")
    dispatcher = make(slow, fast)
    slow.speed.value, fast.speed.value = 0.5, 2.0
    assert dispatcher.submit(request("r"), 0.0)[0].minion == "fast"


def test_long_work_leaves_slots_for_short_work():
    dispatcher = make(minion("a", slots=4))
    for index in range(4):
        dispatcher.submit(request(f"long{index}", long=True), 0.0)
    assert dispatcher.waiting() == 2
    assert isinstance(dispatcher.submit(request("short"), 0.0)[0], Send)


def test_waiting_work_goes_to_a_peer_with_a_free_slot():
    dispatcher = make()
    dispatcher.submit(request("r"), 0.0)
    actions = dispatcher.receive_news("peer", PoolNews(free_short=1), 0.1)
    assert [type(item) for item in actions] == [Forward]
    assert dispatcher.waiting() == 0


def test_old_news_is_void():
    dispatcher = make()
    dispatcher.receive_news("peer", PoolNews(free_short=1), 0.0)
    assert dispatcher.submit(request("r"), 2.0) == [SendNews("peer")]


def test_a_peer_that_declined_is_not_asked_again_until_it_has_news():
    dispatcher = make()
    dispatcher.receive_news("peer", PoolNews(free_short=5), 0.0)
    sent = request("r")
    assert isinstance(dispatcher.submit(sent, 0.0)[0], Forward)
    dispatcher.mark_peer_full("peer")
    assert dispatcher.requeue(sent, 0.1) == []
    assert dispatcher.waiting() == 1


def test_an_idle_owner_invites_a_peer_with_waiting_work():
    dispatcher = make(minion("a"))
    assert dispatcher.receive_news("peer", PoolNews(waiting_short=3), 0.0) == [
        SendNews("peer")
    ]


def test_what_can_not_be_answered_in_time_is_refused_as_not_run():
    dispatcher = make()
    dispatcher.submit(request("r", deadline_s=1.0), 0.0)
    late = dispatcher.expire(1.5)
    assert [(type(item), item.failure.reason) for item in late] == [
        (Reject, "deadline")
    ]


def test_a_full_queue_takes_from_the_team_that_has_most():
    dispatcher = make(queue_limit=4)
    for index in range(4):
        dispatcher.submit(request(f"r{index}", team="loud"), 0.0)
    actions = dispatcher.submit(request("quiet", team="quiet"), 0.0)
    assert actions[0].request.request_id == "r3"
    refused = dispatcher.submit(request("again", team="loud"), 0.0)
    assert refused[0].request.request_id == "again"


def test_a_minion_that_fails_everything_is_ejected_and_probed():
    dispatcher = make(minion("bad", slots=8), minion("good", slots=8))
    for index in range(6):
        sent = request(f"r{index}")
        dispatcher.minions()["bad"].busy[sent.request_id] = sent
        dispatcher.complete_request("bad", sent, None, False, 0.0)
    assert dispatcher.ejector.ejected() == ["bad"]
    names = {
        dispatcher.submit(request(f"s{index}"), 0.1)[0].minion for index in range(4)
    }
    assert names == {"good"}
    assert dispatcher.ejector.usable("bad", 2.0)
    dispatcher.ejector.sent("bad")
    assert not dispatcher.ejector.usable("bad", 2.0)
    dispatcher.ejector.record("bad", True, 2.1)
    assert dispatcher.ejector.ejected() == []


def test_at_most_half_of_the_minions_are_ejected():
    dispatcher = make(*[minion(f"m{index}") for index in range(4)])
    for name in dispatcher.minions():
        for _ in range(10):
            dispatcher.ejector.record(name, False, 0.0)
    assert len(dispatcher.ejector.ejected()) == 2


def test_another_try_has_an_id_of_its_own_and_remembers_what_may_have_run():
    first = request("r", waiter=asyncio.Future(loop=asyncio.new_event_loop()))
    second = first.next_attempt(may_have_run=True).next_attempt(may_have_run=False)
    assert (second.request_id, second.may_have_run) == ("r~2", True)
    assert second.waiter is first.waiter
