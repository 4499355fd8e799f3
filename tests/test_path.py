"""Requests and tasks from end to end, through a cell of real processes."""

import asyncio
import time
from functools import partial

from lab.cell import Cell, Layout

URGENT_START_BOUND_S = 4.8


def test_a_check_an_order_and_a_task_are_served_end_to_end():
    """Also: a second order with the same key does not run again.

    Another team can't read the result of the task.
    """

    async def scenario():
        async with Cell(Layout(weights=(1.0, 2.0), norte=False)) as cell:
            check = await cell.call_as_team(
                "setters", "POST", "/v1/run/grade-check", {"nonce": "a"}
            )
            assert check.json()["nonce"] == "a"
            key = {"Idempotency-Key": "k"}
            for _ in range(2):
                order = await cell.call_as_team(
                    "setters", "POST", "/v1/run/hold-order", {"nonce": "b"}, headers=key
                )
                assert order.json()["nonce"] == "b"
            runs = (await cell.counters("minions"))["runs_by_nonce"]
            assert runs == {"a": 1, "b": 1}
            body = {"nonce": "c", "work_s": 0.3}
            await cell.call_as_team(
                "head-setter", "POST", "/v1/tasks/re-plan", body, headers=key
            )

            async def is_done():
                path = "/v1/task/walls:head-setter:k"
                response = await cell.call_as_team("head-setter", "GET", path)
                return response.json()["state"] == "succeeded"

            await cell.wait_until(is_done, 20, "the task ends")
            path = "/v1/task/walls:head-setter:k/result"
            result = await cell.call_as_team("head-setter", "GET", path)
            assert result.json()["nonce"] == "c"
            other_team = await cell.call_as_team("setters", "GET", path)
            assert other_team.status == 404

    asyncio.run(scenario())


def test_an_urgent_task_preempts_a_batch_task_and_both_succeed():
    """The only worker is full of batch tasks when an urgent task is submitted.

    A batch task must be stopped so that the urgent one starts within
    `URGENT_START_BOUND_S`, and must then succeed in a second attempt.
    """

    async def scenario():
        async with Cell(Layout(weights=(1.0, 2.0), workers=1, norte=False)) as cell:

            async def submit(
                workload: str, key: str, work_s: float, **headers: str
            ) -> str:
                reply = await cell.call_as_team(
                    "head-setter",
                    "POST",
                    f"/v1/tasks/{workload}",
                    {"nonce": key, "work_s": work_s},
                    headers={"Idempotency-Key": key, **headers},
                )
                assert reply.status == 202, reply
                return reply.json()["task_id"]

            async def in_state(task_id: str, state: str) -> bool:
                reply = await cell.call_as_team(
                    "head-setter", "GET", f"/v1/task/{task_id}"
                )
                return reply.json()["state"] == state

            batch = [
                await submit("re-plan", f"plan-{index}", 6.0) for index in range(8)
            ]
            for task_id in batch:
                await cell.wait_until(
                    partial(in_state, task_id, "running"), 20, task_id
                )
            started_s = time.monotonic()
            urgent = await submit("storm-re-plan", "storm", 0.5, **{"X-Urgent": "1"})
            starts = f"{urgent} starts"
            await cell.wait_until(partial(in_state, urgent, "running"), 20, starts)
            assert time.monotonic() - started_s <= URGENT_START_BOUND_S
            for task_id in [urgent, *batch]:
                await cell.wait_until(
                    partial(in_state, task_id, "succeeded"), 40, task_id
                )
            workers = await cell.counters("workers")
            assert workers["overcommitted"] == workers["doubled"] == 0
            assert max(workers["starts_by_task"].values()) == 2

    asyncio.run(scenario())
