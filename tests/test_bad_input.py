"""Invalid files, settings and calls: refused with a clear message and no effect."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from lab.cell import Cell, Layout
from redwingrun.cmdline import app
from redwingrun.config import parse_settings
from redwingrun.errors import InvalidInput
from redwingrun.jsonfile import parse_json
from redwingrun.objectcheck import load_objects, objects_from_text

POOL = {
    "type": "workers",
    "upstreams": {
        "w0": {"address": "a", "data_centre": "d", "cores": 4, "memory_gb": 8}
    },
}
VALID = {
    "teams": {"t": {}},
    "policies": {"p": {}},
    "pools": {"w": POOL},
    "workloads": {
        "plan": {
            "kind": "batch",
            "pool": "w",
            "policy": "p",
            "teams": ["t"],
            "size": {"cores": 1},
        }
    },
}


def changed(path: str, value: object) -> str:
    """Return the valid set as text, with the value at a path changed."""
    objects = json.loads(json.dumps(VALID))
    *parents, last = path.split("/")
    target = objects
    for key in parents:
        target = target[key]
    target[last] = value
    return json.dumps(objects, indent=1)


OBJECT_FAULTS = {
    "empty file": ("", "the file is empty"),
    "not JSON": ("{", "not JSON"),
    "not an object": ("[1]", "must hold one JSON object"),
    "a duplicate name": ('{"teams": {"t": {}, "t": {}}}', "is defined twice"),
    "an unknown section": ('{"team": {}}', "did you mean 'teams'?"),
    "an unknown key": (changed("teams/t/shares", 1), "did you mean 'share'?"),
    "an unknown kind": (
        changed("workloads/plan/kind", "quik"),
        "did you mean 'quick'?",
    ),
    "a missing key": (changed("workloads/plan", {"kind": "batch"}), "pool: is missing"),
    "a negative size": (changed("workloads/plan/size", {"cores": -1}), "outside 0 to"),
    "an absurd size": (
        changed("workloads/plan/size", {"cores": 1e300}),
        "outside 0 to",
    ),
    "not a number": (
        changed("workloads/plan/size", {"cores": "many"}),
        "is not a number",
    ),
    "a broken reference": (
        changed("workloads/plan/policy", "q"),
        "there is no policy 'q'",
    ),
    "a broken team": (changed("workloads/plan/teams", ["u"]), "there is no team 'u'"),
    "the wrong pool": (
        changed("workloads/plan/kind", "quick"),
        "needs a pool of minions",
    ),
    "a cycle": (
        changed("teams", {"t": {"parent": "u"}, "u": {"parent": "t"}}),
        "form a cycle",
    ),
    "a task that never fits": (
        changed("workloads/plan/size", {"cores": 5}),
        "no worker of w is large enough: cores 5 of at most 4",
    ),
    "a worker in two pools": (
        changed("pools/v", POOL),
        "w0: is also in pool w",
    ),
    "two workers with one address": (
        changed("pools/w/upstreams/w1", POOL["upstreams"]["w0"]),
        "w1: has the same address as w0",
    ),
    "a gang that never fits": (changed("workloads/plan/count", 9), "do not fit into w"),
}


@pytest.mark.parametrize("name", OBJECT_FAULTS)
def test_a_faulty_set_of_objects_is_refused_with_file_line_and_object(name):
    text, expected = OBJECT_FAULTS[name]
    with pytest.raises(InvalidInput, match="set.jsonc") as caught:
        objects_from_text("set.jsonc", text)
    assert expected in str(caught.value)


def test_all_faults_are_reported_together_with_their_lines():
    text = changed("workloads/plan/policy", "q").replace('"kind"', '"kinde"')
    with pytest.raises(InvalidInput) as caught:
        objects_from_text("set.jsonc", text)
    assert len(caught.value.faults) >= 2
    lines = text.splitlines()
    assert '"kinde"' in lines[caught.value.faults[0].line - 1]


def test_the_same_name_in_two_files_is_refused(tmp_path):
    for name in ("one.jsonc", "two.jsonc"):
        (tmp_path / name).write_text('{"teams": {"t": {}}}')
    with pytest.raises(InvalidInput, match="is also defined in .*one.jsonc"):
        load_objects([tmp_path / "one.jsonc", tmp_path / "two.jsonc"])


SETTINGS = {
    "host": "h",
    "data_centre": "d",
    "listen_ip": "127.0.0.1",
    "http_port": 1,
    "peer_port": 2,
    "table_url": "http://127.0.0.1:3",
    "object_store_url": "http://127.0.0.1:3",
    "host_list_url": "http://127.0.0.1:3",
    "token_file": "t",
    "peer_secret_file": "s",
}
SETTING_FAULTS = {
    "an unknown key": ({"hots": "x"}, "did you mean 'host'?"),
    "a host name instead of an IP": (
        {"listen_ip": "localhost"},
        "is not an IP address",
    ),
    "a port out of range": ({"http_port": 70000}, "outside 1 to 65535"),
    "the same port twice": ({"peer_port": 1}, "is the same as http_port"),
    "not a URL": ({"table_url": "table"}, "is not an http:// or https:// address"),
    "a lease too short": ({"lease_term_s": 1.0}, "must fit into lease_term_s"),
    "a promise too short": ({"promise_s": 1.0}, "more than twice lease_margin_s"),
    "true for a number": ({"weight": True}, "is not a number"),
    "an unknown log level": ({"log_level": "loud"}, "not one of quiet, normal, all"),
}


@pytest.mark.parametrize("name", SETTING_FAULTS)
def test_faulty_settings_are_refused(name):
    changes, expected = SETTING_FAULTS[name]
    text = json.dumps({**SETTINGS, **changes}, indent=1)
    with pytest.raises(InvalidInput) as caught:
        parse_settings(parse_json("entry.jsonc", text))
    assert expected in str(caught.value)


@pytest.mark.parametrize("content", [b"", b"\xff\xfe", b"nonsense"])
def test_check_exits_1_and_names_the_file(tmp_path: Path, content):
    path = tmp_path / "set.jsonc"
    path.write_bytes(content)
    result = CliRunner().invoke(app, ["check", str(path)])
    assert result.exit_code == 1
    assert "set.jsonc" in result.output


def test_check_refuses_missing_and_huge_files(tmp_path: Path):
    path = tmp_path / "huge.jsonc"
    path.write_bytes(b" " * (9 << 20))
    result = CliRunner().invoke(app, ["check", str(path), str(tmp_path / "none.jsonc")])
    assert result.exit_code == 1
    assert "split the file" in result.output


CHECK = "/v1/run/grade-check"
ORDER = "/v1/run/hold-order"
PLAN = "/v1/tasks/re-plan"
KEY = {"Idempotency-Key": "k"}
# Team, method, path, headers, expected status, expected part of the detail.
CALLS = {
    "an unknown workload": ("setters", "POST", "/v1/run/none", {}, 404, "no workload"),
    "another team's workload": ("setters", "POST", PLAN, {}, 403, "may not submit"),
    "no idempotency key": ("setters", "POST", ORDER, {}, 400, "Idempotency-Key"),
    "an invalid idempotency key": (
        "setters",
        "POST",
        ORDER,
        {"Idempotency-Key": "a b"},
        400,
        "must be 1 to",
    ),
    "a task as a request": (
        "head-setter",
        "POST",
        "/v1/run/re-plan",
        {},
        400,
        "/v1/tasks/",
    ),
    "a request as a task": (
        "setters",
        "POST",
        "/v1/tasks/grade-check",
        {},
        400,
        "/v1/run/",
    ),
    "a deadline that is not a number": (
        "setters",
        "POST",
        CHECK,
        {"X-Deadline-S": "soon"},
        400,
        "not a number",
    ),
    "an infinite deadline": (
        "setters",
        "POST",
        CHECK,
        {"X-Deadline-S": "inf"},
        400,
        "outside",
    ),
    "urgent work that the policy forbids": (
        "head-setter",
        "POST",
        PLAN,
        {"X-Urgent": "1"},
        403,
        "not allow",
    ),
    "an unknown task": (
        "setters",
        "GET",
        "/v1/task/walls:setters:x",
        {},
        404,
        "no task",
    ),
    "an unknown request": (
        "setters",
        "GET",
        "/v1/requests/none",
        {},
        404,
        "no request",
    ),
    "an unknown path": ("setters", "GET", "/v2", {}, 404, "there is no /v2"),
    "the wrong method": ("setters", "PUT", CHECK, {}, 405, ""),
    "an operator's path": ("setters", "GET", "/v1/audit", {}, 403, "only operators"),
}


async def _check_calls(cell: Cell) -> None:
    for name, (team, method, path, headers, status, detail) in CALLS.items():
        body = None if method == "GET" else {"nonce": name}
        reply = await cell.call_as_team(team, method, path, body, headers=headers)
        assert reply.status == status, (name, reply)
        assert reply.json()["verdict"] == "not run", (name, reply)
        assert detail in reply.json()["detail"], (name, reply)


async def _check_keys_and_tokens(cell: Cell) -> None:
    first = await cell.call_as_team(
        "setters", "POST", ORDER, {"nonce": "first"}, headers=KEY
    )
    other = await cell.call_as_team(
        "setters", "POST", ORDER, {"nonce": "other"}, headers=KEY
    )
    again = await cell.call_as_team(
        "setters", "POST", ORDER, {"nonce": "first"}, headers=KEY
    )
    assert (first.status, other.status, again.status) == (200, 409, 200)
    assert first.body == again.body
    stored = await cell.call_as_team("setters", "GET", "/v1/results/k")
    other_team = await cell.call_as_team("head-setter", "GET", "/v1/results/k")
    assert (stored.body, other_team.status) == (first.body, 404)
    for headers in (
        {},
        {"Authorization": "Bearer wrong"},
        {"Authorization": "Basic eDp5"},
    ):
        reply = await cell.call("POST", cell.hosts[0].url + CHECK, {}, headers)
        assert (reply.status, reply.json()["verdict"]) == (401, "not run")


async def _check_publishing(cell: Cell) -> None:
    before = (await cell.call_as_operator("GET", "/v1/config")).json()
    for request in (
        {},
        {"based_on": "1", "sources": {}},
        {"based_on": 1, "sources": {"x": "{"}},
        {"based_on": 1, "sources": {"x": '{"workloads": {"w": {}}}'}},
        {"based_on": 99, "sources": cell.sources()},
    ):
        reply = await cell.call_as_operator("POST", "/v1/config", request)
        assert reply.status in (400, 409), (request, reply)
        assert reply.json()["verdict"] == "not run"
    sources = cell.sources()
    workers = cell.pools["walls"]["upstreams"]
    other = {"type": "workers", "upstreams": {"walls-w0": workers.pop("walls-w0")}}
    sources["pools.jsonc"] = json.dumps({"pools": {**cell.pools, "other": other}})
    request = {"based_on": before["version"], "sources": sources}
    reply = await cell.call_as_operator("POST", "/v1/config", request)
    assert (reply.status, "change pools" in reply.json()["detail"]) == (400, True)
    reply = await cell.call_as_operator("PUT", "/v1/drains/nobody")
    assert reply.status == 404
    after = (await cell.call_as_operator("GET", "/v1/config")).json()
    assert after == before


async def _check_quota_never_fits(cell: Cell) -> None:
    sources = cell.sources()
    with_quota = '"head-setter": {"quota": {"cores": 3}, '
    sources["hanoi.jsonc"] = sources["hanoi.jsonc"].replace(
        '"head-setter": {', with_quota, 1
    )
    version = (await cell.call_as_operator("GET", "/v1/config")).json()["version"]
    request = {"based_on": version, "sources": sources}
    assert (await cell.call_as_operator("POST", "/v1/config", request)).status == 200

    async def applied() -> bool:
        reply = await cell.call_as_team("head-setter", "POST", PLAN, {"nonce": "never"})
        return reply.status == 422

    await cell.wait_until(applied, 9, "the placer has applied the smaller quota")
    reply = await cell.call_as_team("head-setter", "POST", PLAN, {"nonce": "never"})
    assert reply.json()["verdict"] == "not run"
    expected = "quota of team head-setter: cores 4 of at most 3"
    assert expected in reply.json()["detail"]


async def _check_malformed_requests(cell: Cell) -> None:
    port = cell.hosts[0].http_port
    for raw in (
        b"nonsense\r\n\r\n",
        b"POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"A: " + b"b" * 70000 + b"\r\n\r\n",
        b"POST /v1/run/x HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
    ):
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(raw)
        try:
            reply = await asyncio.wait_for(reader.read(200), 10)
        except ConnectionError:
            # The server closed the connection with unread input, so the kernel
            # discarded its response.
            reply = b""
        assert reply == b"" or b" 4" in reply.split(b"\r\n")[0], (raw[:40], reply)
        writer.close()
    alive = await cell.call("GET", cell.hosts[0].url + "/healthz")
    assert alive.status == 200


def test_bad_calls_are_refused_as_not_run_and_change_nothing():
    async def scenario():
        async with Cell(Layout(weights=(1.0,), norte=False)) as cell:
            await _check_calls(cell)
            await _check_keys_and_tokens(cell)
            await _check_publishing(cell)
            await _check_quota_never_fits(cell)
            await _check_malformed_requests(cell)
            runs = (await cell.counters("minions"))["runs_by_nonce"]
            assert runs == {"first": 1}

    asyncio.run(scenario())


def test_calls_over_the_limit_are_refused_as_not_run():
    async def scenario():
        layout = Layout(weights=(1.0,), norte=False)
        layout.settings["max_calls"] = 4
        async with Cell(layout) as cell:
            body = {"nonce": "slow", "work_s": 0.5}
            replies = await asyncio.gather(
                *[cell.call_as_team("setters", "POST", CHECK, body) for _ in range(8)]
            )
            refused = [reply for reply in replies if reply.status == 503]
            assert len(refused) == 4
            assert all(reply.verdict == "not run" for reply in refused)

    asyncio.run(scenario())
