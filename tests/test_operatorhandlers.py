"""What operators see of each other, through real processes."""

import asyncio

from lab.cell import FAST_LEASES, Cell, Layout


def test_a_host_whose_operator_lost_a_race_has_the_winner_in_force():
    """With no look at the table between: what it reads next is based on the winner."""
    settings = {**FAST_LEASES, "config_poll_s": 6}

    async def scenario():
        layout = Layout(weights=(1.0, 2.0), norte=False, settings=settings)
        async with Cell(layout) as cell:
            before = (await cell.as_operator("GET", "/v1/config")).json()["version"]
            plain = {
                "based_on": before,
                "sources": cell.sources(),
                "reason": "a race",
            }
            won = await cell.as_operator(
                "POST", "/v1/config", plain, host=cell.hosts[1]
            )
            assert won.status == 200
            lost = await cell.as_operator("POST", "/v1/config", plain)
            assert lost.status == 409
            seen = (await cell.as_operator("GET", "/v1/config")).json()["version"]
            assert seen == lost.json()["version"] == won.json()["version"]
            plain["based_on"] = seen
            again = await cell.as_operator("POST", "/v1/config", plain)
            assert again.status == 200

    asyncio.run(scenario())
