"""Concurrent operators, tested with real processes."""

import asyncio

from lab.cell import SHORT_INTERVALS, Cell, Layout


def test_a_host_activates_the_version_that_its_operator_lost_to():
    """The operator can read and change the winning version immediately.

    The host must not wait for its next poll of the table, which is 6 s later.
    """
    settings = {**SHORT_INTERVALS, "config_poll_s": 6}

    async def scenario():
        layout = Layout(weights=(1.0, 2.0), norte=False, settings=settings)
        async with Cell(layout) as cell:
            before = (await cell.call_as_operator("GET", "/v1/config")).json()[
                "version"
            ]
            request = {
                "based_on": before,
                "sources": cell.sources(),
                "reason": "a race",
            }
            won = await cell.call_as_operator(
                "POST", "/v1/config", request, host=cell.hosts[1]
            )
            assert won.status == 200
            lost = await cell.call_as_operator("POST", "/v1/config", request)
            assert lost.status == 409
            active = (await cell.call_as_operator("GET", "/v1/config")).json()[
                "version"
            ]
            assert active == lost.json()["version"] == won.json()["version"]
            request["based_on"] = active
            again = await cell.call_as_operator("POST", "/v1/config", request)
            assert again.status == 200

    asyncio.run(scenario())
