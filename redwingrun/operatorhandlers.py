"""The operators' HTTP: objects, publishing, draining, status and the audit trail."""

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
from redwingrun.objects import ObjectSet, moved_workers

if TYPE_CHECKING:
    from redwingrun.entry import Entry

TOKEN_BYTES = 8
MAX_REASON_CHARACTERS = 500


class OperatorHandler(Handler):
    """What the operators' handlers share: failures of the table as verdicts."""

    node: Entry

    def send_table_error(self, error: Exception) -> None:
        """Answer a failed call to the table or object store."""
        if isinstance(error, TableUnknown):
            self.send_failure(may_have_run("table-unsettled", str(error)))
        else:
            self.send_failure(not_run("table-unavailable", str(error)))

    def reason(self) -> str:
        """Return why the operator acts, from the query or body."""
        return self.get_query_argument("reason", "")[:MAX_REASON_CHARACTERS]


class ConfigHandler(OperatorHandler):
    """The objects in force, and publishing others."""

    def get(self) -> None:
        """Answer with the version and content in force on this host."""
        self.operator()
        row = self.node.follower.active_version
        self.send_json(
            {"version": row.number, "objects": orjson.loads(self.node.config.content)}
        )

    async def post(self) -> None:
        """Check a whole set of objects and publish it."""
        operator = self.operator()
        plain = self.json_body()
        try:
            content = _checked_content(plain)
        except InvalidInput as error:
            faults = [asdict(fault) for fault in error.faults]
            self.send_failure(not_run("invalid", str(error)), faults=faults)
            return
        moved = moved_workers(self.node.objects, ObjectSet.from_content(content))
        if moved:
            detail = (
                f"workers {', '.join(moved)} change pools: drain them, publish without"
                " them, and then with them in the other pool"
            )
            self.send_failure(not_run("invalid", detail))
            return
        audit = AuditRow(
            action="publish",
            operator=operator.name,
            at=timestamp(),
            from_version=plain["based_on"],
            reason=str(plain.get("reason", ""))[:MAX_REASON_CHARACTERS],
        )
        try:
            await self._publish(content, plain["based_on"], audit)
        except (TableUnavailable, TableUnknown, ObjectStoreUnavailable) as error:
            self.send_table_error(error)

    async def _publish(self, content: bytes, based_on: int, audit: AuditRow) -> None:
        publisher = Publisher(self.node.table, self.node.store)
        token = secrets.token_hex(TOKEN_BYTES)
        result = await publisher.publish(content, based_on, audit, token)
        if isinstance(result, PublishConflict):
            winner = result.winner
            # The operator reads again and goes on from what the answer names.
            await self.node.config.receive_version(winner)
            detail = (
                f"version {winner.number} was published"
                f" by {winner.operator or 'nobody'}"
                f" meanwhile ({winner.reason or 'no reason given'})"
            )
            self.send_failure(not_run("lost-race", detail), version=winner.number)
            return
        await self.node.config.receive_version(result.row)
        self.send_json({"version": result.row.number, "digest": result.row.digest})


def _checked_content(plain: dict[str, Any]) -> bytes:
    based_on = plain.get("based_on")
    sources = plain.get("sources")
    if not isinstance(based_on, int) or isinstance(based_on, bool) or based_on < 0:
        raise HTTPError(
            400, "based_on must be the version that was changed, 0 for the first"
        )
    if not isinstance(sources, dict) or not sources:
        raise HTTPError(400, "sources must hold the texts of the object files by name")
    files = [parse_json(name, str(text)) for name, text in sources.items()]
    return check_objects(files, []).content()


class MembersHandler(OperatorHandler):
    """The daemons and the version that each has in force."""

    def get(self) -> None:
        """Answer with all members seen last."""
        self.operator()
        self.send_json([asdict(row) for row in self.node.membership.rows()])


class StatusHandler(OperatorHandler):
    """A summary of the cell as this host sees it."""

    def get(self) -> None:
        """Answer with version, members, owners and drains."""
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
                "members": [asdict(row) for row in node.membership.rows()],
                "owners": owners,
                "drained": sorted(node.drained),
                "leaving": sorted(node.leaving_hosts),
                "waiting": node.router.waiting(),
            }
        )


class AuditHandler(OperatorHandler):
    """The audit trail."""

    async def get(self) -> None:
        """Answer with the whole trail, oldest first."""
        self.operator()
        try:
            rows = await self.node.audit.rows()
        except (TableUnavailable, TableUnknown) as error:
            self.send_failure(not_run("table-unavailable", str(error)))
            return
        self.send_json([asdict(row) for row in rows])


class DrainHandler(OperatorHandler):
    """Taking an upstream out of service, and back."""

    async def put(self, name: str) -> None:
        """Drain: no new work after a few seconds; running work goes on."""
        await self._set(name, "drain", "1")

    async def delete(self, name: str) -> None:
        """Take it back into service."""
        await self._set(name, "undrain", None)

    async def _set(self, name: str, action: str, value: str | None) -> None:
        operator = self.operator()
        known = {
            item for pool in self.node.objects.pools.values() for item in pool.upstreams
        }
        if name not in known:
            raise HTTPError(404, f"no pool has a minion or worker {name!r}")
        row = AuditRow(action, operator.name, timestamp(), name, reason=self.reason())
        condition, write = action_write(row)
        change = Transaction((condition,), (Write(DRAINS_PREFIX + name, value), write))
        try:
            done = await self.node.table.transact(change)
        except (TableUnavailable, TableUnknown) as error:
            self.send_table_error(error)
            return
        self.send_json(
            {"name": name, "drained": bool(value), "kept": isinstance(done, Committed)}
        )


def operator_routes(node: Entry) -> list[tuple[str, type[Handler], dict[str, Any]]]:
    """Return the operators' routes."""
    settings = {"node": node}
    return [
        (r"/v1/config", ConfigHandler, settings),
        (r"/v1/members", MembersHandler, settings),
        (r"/v1/status", StatusHandler, settings),
        (r"/v1/audit", AuditHandler, settings),
        (r"/v1/drains/([^/]+)", DrainHandler, settings),
    ]
