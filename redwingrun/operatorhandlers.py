"""HTTP handlers for operators: objects, publishing, drains, status and audit."""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING, Any

import orjson
from attrs import asdict
from tornado.web import HTTPError

from redwingrun.audit import action_write, timestamp
from redwingrun.basehandlers import Handler
from redwingrun.coordination.follower import (
    AuditRow,
    ObjectStoreUnavailable,
    PublishConflict,
    Publisher,
)
from redwingrun.coordination.table import (
    Committed,
    TableUnavailable,
    TableUnknown,
    Transaction,
    Write,
)
from redwingrun.coordination.verdict import may_have_run, not_run
from redwingrun.errors import InvalidInput
from redwingrun.jsonfile import parse_json
from redwingrun.node import DRAINS_PREFIX
from redwingrun.objectcheck import check_objects
from redwingrun.objects import ObjectSet, workers_changing_pool

if TYPE_CHECKING:
    from redwingrun.entry import Entry

TOKEN_BYTES = 8
MAX_REASON_CHARACTERS = 500


class OperatorHandler(Handler):
    """Base of the handlers for operators."""

    node: Entry

    def send_table_error(self, error: Exception) -> None:
        """Send the failure of a call to the table or the object store."""
        if isinstance(error, TableUnknown):
            self.send_failure(may_have_run("table-unsettled", str(error)))
        else:
            self.send_failure(not_run("table-unavailable", str(error)))

    def reason(self) -> str:
        """Return the operator's reason from the query, truncated."""
        return self.get_query_argument("reason", "")[:MAX_REASON_CHARACTERS]


class ConfigHandler(OperatorHandler):
    """The active version of the objects, and publication of a new one."""

    def get(self) -> None:
        """Send the version and the objects that are active on this host."""
        self.operator()
        row = self.node.follower.active_version
        self.send_json(
            {"version": row.number, "objects": orjson.loads(self.node.config.content)}
        )

    async def post(self) -> None:
        """Check a set of objects and publish it."""
        operator = self.operator()
        request = self.json_body()
        try:
            content = _checked_content(request)
        except InvalidInput as error:
            faults = [asdict(fault) for fault in error.faults]
            self.send_failure(not_run("invalid", str(error)), faults=faults)
            return
        changed = workers_changing_pool(
            self.node.objects, ObjectSet.from_content(content)
        )
        if changed:
            detail = (
                f"workers {', '.join(changed)} change pools: drain them, publish"
                " without them, then publish with them in the other pool"
            )
            self.send_failure(not_run("invalid", detail))
            return
        audit = AuditRow(
            action="publish",
            operator=operator.name,
            at=timestamp(),
            from_version=request["based_on"],
            reason=str(request.get("reason", ""))[:MAX_REASON_CHARACTERS],
        )
        try:
            await self._publish(content, request["based_on"], audit)
        except (TableUnavailable, TableUnknown, ObjectStoreUnavailable) as error:
            self.send_table_error(error)

    async def _publish(self, content: bytes, based_on: int, audit: AuditRow) -> None:
        publisher = Publisher(self.node.table, self.node.store)
        token = secrets.token_hex(TOKEN_BYTES)
        result = await publisher.publish(content, based_on, audit, token)
        if isinstance(result, PublishConflict):
            winner = result.winner
            # Activate the winner here, so that the operator, who reads the objects
            # again, gets the version that this response names.
            await self.node.config.receive_version(winner)
            detail = (
                f"the objects are based on version {based_on},"
                f" but version {winner.number} is active:"
                f" it was published by {winner.operator or 'nobody'}"
                f" ({winner.reason or 'no reason given'})"
            )
            self.send_failure(not_run("lost-race", detail), version=winner.number)
            return
        await self.node.config.receive_version(result.row)
        self.send_json({"version": result.row.number, "digest": result.row.digest})


def _checked_content(request: dict[str, Any]) -> bytes:
    """Return the canonical JSON of the objects in a request to publish.

    :raises HTTPError: 400 if the request is not complete.
    :raises InvalidInput: if the objects are not valid.
    """
    based_on = request.get("based_on")
    sources = request.get("sources")
    if not isinstance(based_on, int) or isinstance(based_on, bool) or based_on < 0:
        raise HTTPError(
            400, "based_on must be the version that the set changes, 0 if there is none"
        )
    if not isinstance(sources, dict) or not sources:
        raise HTTPError(
            400, "sources must contain the texts of the object files by name"
        )
    files = [parse_json(name, str(text)) for name, text in sources.items()]
    return check_objects(files, []).content()


class MembersHandler(OperatorHandler):
    """The daemons and the version that is active on each."""

    def get(self) -> None:
        """Send all members as this host last saw them."""
        self.operator()
        self.send_json([asdict(row) for row in self.node.membership.all_members()])


class StatusHandler(OperatorHandler):
    """Summary of the cluster as this host sees it."""

    def get(self) -> None:
        """Send the version, the members, the owners of shards and the drains."""
        self.operator()
        node = self.node
        owners = {}
        for pool in node.objects.pools.values():
            kind = "entry" if pool.type == "minions" else "placer"
            for shard in pool.shards():
                owner = node.membership.owner_of(kind, shard)
                owners[shard] = owner.host if owner else ""
        self.send_json(
            {
                "host": node.settings.host,
                "ready": node.ready,
                "version": node.follower.active_version.number,
                "members": [asdict(row) for row in node.membership.all_members()],
                "owners": owners,
                "drained": sorted(node.drained),
                "leaving": sorted(node.leaving_hosts),
                "waiting": node.router.waiting_count(),
            }
        )


class AuditHandler(OperatorHandler):
    """The audit trail."""

    async def get(self) -> None:
        """Send the whole audit trail, oldest row first."""
        self.operator()
        try:
            rows = await self.node.audit.rows()
        except (TableUnavailable, TableUnknown) as error:
            self.send_failure(not_run("table-unavailable", str(error)))
            return
        self.send_json([asdict(row) for row in rows])


class DrainHandler(OperatorHandler):
    """Draining a minion or worker, and returning it to service."""

    async def put(self, name: str) -> None:
        """Drain it: no new work after each daemon's next poll (``host_poll_s``).

        Running work continues.
        """
        await self._set_drain(name, "drain", "1")

    async def delete(self, name: str) -> None:
        """Return it to service."""
        await self._set_drain(name, "undrain", None)

    async def _set_drain(self, name: str, action: str, value: str | None) -> None:
        operator = self.operator()
        upstreams = {
            item for pool in self.node.objects.pools.values() for item in pool.upstreams
        }
        if name not in upstreams:
            raise HTTPError(404, f"no pool has a minion or worker {name!r}")
        row = AuditRow(action, operator.name, timestamp(), name, reason=self.reason())
        condition, write = action_write(row)
        change = Transaction((condition,), (Write(DRAINS_PREFIX + name, value), write))
        try:
            result = await self.node.table.transact(change)
        except (TableUnavailable, TableUnknown) as error:
            self.send_table_error(error)
            return
        self.send_json(
            {
                "name": name,
                "drained": bool(value),
                "kept": isinstance(result, Committed),
            }
        )


def operator_routes(node: Entry) -> list[tuple[str, type[Handler], dict[str, Any]]]:
    """Return the routes of the handlers for operators."""
    settings = {"node": node}
    return [
        (r"/v1/config", ConfigHandler, settings),
        (r"/v1/members", MembersHandler, settings),
        (r"/v1/status", StatusHandler, settings),
        (r"/v1/audit", AuditHandler, settings),
        (r"/v1/drains/([^/]+)", DrainHandler, settings),
    ]
