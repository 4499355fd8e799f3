"""The whole path through real processes, once."""

import asyncio

from lab.cell import Cell, Layout


def test_a_check_an_order_and_a_task_are_served_end_to_end():
    async def scenario():
        async with Cell(Layout(weights=(1.0, 2.0), norte=False)) as cell:
            check = await cell.as_team("setters", "POST", "/v1/run/grade-check", {"nonce": "a"})
            assert check.json()["nonce"] == "a"
            key = {"Idempotency-Key": "k"}
            for _ in range(2):
                order = await cell.as_team(
                    "setters", "POST", "/v1/run/hold-order", {"nonce": "b"}, headers=key
                )
                assert order.json()["nonce"] == "b"
            runs = (await cell.counters("minions"))["runs_by_nonce"]
            assert runs == {"a": 1, "b": 1}
            body = {"nonce": "c", "work_s": 0.3}
            await cell.as_team("head-setter", "POST", "/v1/tasks/re-plan", body, headers=key)

            async def done():
                path = "/v1/task/walls:head-setter:k"
                response = await cell.as_team("head-setter", "GET", path)
                return response.json()["state"] == "succeeded"

            await cell.until(done, 20, "the task ends")
            path = "/v1/task/walls:head-setter:k/result"
            result = await cell.as_team("head-setter", "GET", path)
            assert result.json()["nonce"] == "c"
            stranger = await cell.as_team("setters", "GET", path)
            assert stranger.status == 404

    asyncio.run(scenario())
