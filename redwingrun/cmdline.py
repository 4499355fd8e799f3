"""The command line ``redwingrun`` for operators and callers, based on `Api`."""

from __future__ import annotations

import difflib
import json
import platform
import sys
from collections.abc import Callable
from functools import wraps
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from redwingrun import __version__
from redwingrun.api import Api
from redwingrun.auth import TokenStore
from redwingrun.config import load_settings, settings_reference
from redwingrun.errors import NotReachable, RedwingrunError
from redwingrun.jsonfile import read_json_file
from redwingrun.objectcheck import load_objects
from redwingrun.objects import CLASS_BY_SECTION

EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
PUBLISH_WAIT_S = 60.0

app = typer.Typer(
    help="Operate a redwingrun cluster and submit work to it.",
    no_args_is_help=True,
    add_completion=False,
)
debug_app = typer.Typer(help="Help with troubleshooting.", no_args_is_help=True)
app.add_typer(debug_app, name="debug")

Server = Annotated[
    str,
    typer.Option(
        envvar="REDWINGRUN_SERVER", help="Address of any entry, http://IP:port."
    ),
]
Token = Annotated[
    str,
    typer.Option(
        envvar="REDWINGRUN_TOKEN", help="Your token; preferably set in the environment."
    ),
]
AsJson = Annotated[bool, typer.Option("--json", help="Print JSON.")]
Files = Annotated[list[Path], typer.Argument(help="Files in JSON with comments.")]


def report_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Make a command print errors that a user can correct.

    It then exits with 3 for :exc:`NotReachable`, and with 1 for any other error.
    """

    @wraps(command)
    def run(*args: Any, **kwargs: Any) -> None:
        try:
            command(*args, **kwargs)
        except NotReachable as error:
            typer.echo(f"redwingrun: {error}", err=True)
            raise typer.Exit(EXIT_UNREACHABLE) from error
        except RedwingrunError as error:
            typer.echo(f"redwingrun: {error}", err=True)
            raise typer.Exit(EXIT_REFUSED) from error

    return run


class Output:
    """Prints results for people or as JSON."""

    def __init__(self, as_json: bool):
        self._as_json = as_json
        self._console = Console()

    def rows(self, columns: list[str], rows: list[list[str]]) -> None:
        """Print rows: as JSON, as a table on a terminal, or else tab-separated."""
        if self._as_json:
            items = [dict(zip(columns, row, strict=True)) for row in rows]
            typer.echo(json.dumps(items, indent=2))
            return
        if not self._console.is_terminal:
            for row in rows:
                typer.echo("\t".join(row))
            return
        table = Table(*columns)
        for row in rows:
            table.add_row(*row)
        self._console.print(table)

    def value(self, data: Any, text: str) -> None:
        """Print one result: as JSON or as text."""
        typer.echo(json.dumps(data, indent=2) if self._as_json else text)


@app.command()
@report_errors
def check(files: Files, as_json: AsJson = False) -> None:
    """Check object files as one set, or settings files, or token files.

    Example: redwingrun check objects/*.jsonc
    """
    kinds: dict[str, list[Path]] = {"objects": [], "settings": [], "tokens": []}
    for path in files:
        kinds[_kind_of(path)].append(path)
    for path in kinds["settings"]:
        load_settings(path)
    for path in kinds["tokens"]:
        TokenStore.load(path)
    if kinds["objects"]:
        load_objects(kinds["objects"])
    counts = {kind: len(paths) for kind, paths in kinds.items() if paths}
    summary = ", ".join(f"{count} {kind} file(s)" for kind, count in counts.items())
    Output(as_json).value({"ok": True, **counts}, f"ok: {summary}")


def _kind_of(path: Path) -> str:
    value = read_json_file(path).value
    if "host" in value or "table_url" in value:
        return "settings"
    first = next(iter(value.values()), None)
    if isinstance(first, dict) and "role" in first:
        return "tokens"
    return "objects"


@app.command()
@report_errors
def publish(
    files: Files,
    server: Server,
    token: Token,
    reason: Annotated[str, typer.Option(help="Reason, for the audit trail.")],
    based_on: Annotated[
        int | None,
        typer.Option(
            help="Version that the files are based on; default is the active one."
        ),
    ] = None,
    wait: Annotated[
        bool,
        typer.Option(help="Wait until every live daemon has activated the version."),
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Check files as one set and publish them in place of the active set.

    Example: redwingrun publish objects/*.jsonc --reason "more slots" --wait
    """
    load_objects(files)
    api = Api(server, token)
    if based_on is None:
        based_on = api.config()["version"]
    sources = {str(path): path.read_text(encoding="utf-8") for path in files}
    published = api.publish(sources, based_on, reason)
    if wait:
        _wait_until_active(api, published["version"])
    state = "active on all daemons" if wait else "published"
    Output(as_json).value(published, f"version {published['version']} {state}")


def _wait_until_active(api: Api, version: int) -> None:
    console = Console(stderr=True)
    with console.status(f"waiting for version {version}") as status:
        for lagging in api.until_active(version, PUBLISH_WAIT_S):
            status.update(
                f"waiting for {len(lagging)} daemon(s): {', '.join(lagging[:3])}"
            )


@app.command()
@report_errors
def get(
    server: Server,
    token: Token,
    section: Annotated[
        str, typer.Argument(help="workloads, policies, pools or teams.")
    ] = "",
    name: Annotated[str, typer.Argument(help="Name of one object.")] = "",
) -> None:
    """Print the active objects as JSON.

    Example: redwingrun get workloads grade-check
    """
    config = Api(server, token).config()
    data: Any = config["objects"]
    for key in (section, name):
        if key:
            if key not in data:
                known = ", ".join(sorted(data))
                raise RedwingrunError(f"there is no {key!r}, only: {known}")
            data = data[key]
    typer.echo(json.dumps(data, indent=2, sort_keys=True))


@app.command()
@report_errors
def diff(files: Files, server: Server, token: Token) -> None:
    """Show how files differ from the active set; exit 0 in either case.

    Example: redwingrun diff objects/*.jsonc
    """
    new_objects = json.loads(load_objects(files).content())
    config = Api(server, token).config()
    before = json.dumps(config["objects"], indent=2, sort_keys=True).splitlines()
    after = json.dumps(new_objects, indent=2, sort_keys=True).splitlines()
    lines = difflib.unified_diff(
        before, after, f"version {config['version']}", "files", "", "", 2
    )
    text = "\n".join(lines)
    typer.echo(text or f"no difference from version {config['version']}")


@app.command()
@report_errors
def submit(
    workload: Annotated[str, typer.Argument(help="Name of the workload.")],
    server: Server,
    token: Token,
    body: Annotated[str, typer.Option(help="The payload, or @FILE.")] = "{}",
    key: Annotated[
        str, typer.Option(help="Idempotency key: work with the same key runs once.")
    ] = "",
    deadline_s: Annotated[
        float | None, typer.Option(help="Longest time to the answer in seconds.")
    ] = None,
    urgent: Annotated[
        bool, typer.Option(help="Preempt batch work if necessary.")
    ] = False,
    task: Annotated[
        bool, typer.Option(help="Submit a task and do not wait for it.")
    ] = False,
    as_json: AsJson = False,
) -> None:
    """Run a quick request and print its answer, or submit a task with --task.

    Example: redwingrun submit grade-check --body '{"wall": 3}'
    """
    headers = {}
    if key:
        headers["Idempotency-Key"] = key
    if deadline_s is not None:
        headers["X-Deadline-S"] = str(deadline_s)
    if urgent:
        headers["X-Urgent"] = "1"
    payload = Path(body[1:]).read_bytes() if body.startswith("@") else body.encode()
    api = Api(server, token)
    if task:
        reply = api.submit(workload, payload, headers)
        Output(as_json).value(reply, f"{reply['task_id']} {reply['state']}")
        return
    answer = api.run(workload, payload, headers)
    data = {
        "request_id": answer.headers.get("X-Request-Id"),
        "upstream": answer.headers.get("X-Upstream"),
        "waited_s": float(answer.headers.get("X-Waited-S", 0)),
        "answer": answer.body.decode(errors="replace"),
    }
    Output(as_json).value(data, data["answer"])


@app.command()
@report_errors
def cancel(
    name: Annotated[str, typer.Argument(help="Id of a task or request.")],
    server: Server,
    token: Token,
    as_json: AsJson = False,
) -> None:
    """Cancel a task, or a request that still waits on the entry.

    Example: redwingrun cancel walls:head-setter:plan-7
    """
    reply = Api(server, token).cancel(name)
    Output(as_json).value(reply, f"{name} {reply.get('state') or reply.get('verdict')}")


@app.command()
@report_errors
def status(server: Server, token: Token, as_json: AsJson = False) -> None:
    """Show the daemons with their versions, and the owners of the shards.

    Example: redwingrun status
    """
    summary = Api(server, token).status()
    if as_json:
        typer.echo(json.dumps(summary, indent=2))
        return
    output = Output(False)
    rows = [
        [row["host"], row["kind"], row["data_centre"], str(row["config_version"])]
        for row in sorted(
            summary["members"], key=lambda row: (row["host"], row["kind"])
        )
    ]
    output.rows(["host", "daemon", "data centre", "version"], rows)
    owners = [
        [shard, owner or "nobody"] for shard, owner in sorted(summary["owners"].items())
    ]
    output.rows(["shard", "owner"], owners)
    if summary["drained"] or summary["leaving"]:
        names = [[name, "drained"] for name in summary["drained"]]
        names += [[name, "leaving"] for name in summary["leaving"]]
        output.rows(["upstream", "state"], names)


@app.command()
@report_errors
def explain(
    name: Annotated[str, typer.Argument(help="Id of a task or request.")],
    server: Server,
    token: Token,
    as_json: AsJson = False,
) -> None:
    """Explain why a task waits, or what happened to a request.

    Example: redwingrun explain walls:head-setter:plan-7
    """
    explanation = Api(server, token).explain(name)
    state = explanation.get("state", "request")
    notes = (
        explanation.get("notes") or explanation.get("steps") or ["no details are known"]
    )
    Output(as_json).value(
        explanation, "\n".join([f"{name}: {state}", *[f"  {line}" for line in notes]])
    )


@app.command()
@report_errors
def audit(server: Server, token: Token, as_json: AsJson = False) -> None:
    """Show every change and every action of an operator, oldest first.

    Example: redwingrun audit
    """
    rows = [
        [
            row["at"],
            row["operator"],
            row["action"],
            row["subject"] or f"{row['from_version']} to {row['to_version']}",
            row["reason"],
        ]
        for row in Api(server, token).audit()
    ]
    Output(as_json).rows(["at", "operator", "action", "subject", "reason"], rows)


@app.command()
@report_errors
def drain(
    name: Annotated[str, typer.Argument(help="Name of a minion or worker.")],
    server: Server,
    token: Token,
    back: Annotated[bool, typer.Option(help="Return it to service.")] = False,
    as_json: AsJson = False,
) -> None:
    """Place no new work on a minion or worker; running work continues.

    Example: redwingrun drain routeboard-m3
    """
    reply = Api(server, token).drain(name, back)
    Output(as_json).value(
        reply, f"{name} {'drained' if reply['drained'] else 'in service'}"
    )


@debug_app.command("sys")
@report_errors
def debug_sys() -> None:
    """Show versions and the kinds of objects, for a bug report.

    Example: redwingrun debug sys
    """
    from importlib.metadata import version

    packages = [
        "tornado",
        "grpclib",
        "pycurl",
        "attrs",
        "eliot",
        "Expression",
        "hdrhistogram",
    ]
    lines = [f"redwingrun {__version__}", f"python {platform.python_version()}"]
    lines += [f"{name} {version(name)}" for name in packages]
    lines.append(f"objects: {', '.join(CLASS_BY_SECTION)}")
    typer.echo("\n".join(lines))


@debug_app.command("settings")
@report_errors
def debug_settings() -> None:
    """List every setting with its default and meaning.

    Example: redwingrun debug settings
    """
    Output(False).rows(
        ["setting", "default", "meaning"], [list(row) for row in settings_reference()]
    )


@debug_app.command("node")
@report_errors
def debug_node(server: Server, token: Token) -> None:
    """Show the state of one daemon; --server may also name a placer.

    Example: redwingrun debug node --server http://10.0.0.1:8081
    """
    typer.echo(json.dumps(Api(server, token).debug(), indent=2))


def main() -> None:
    """Run the command line."""
    sys.exit(app())
