"""Lists the names that leave a process: on the wire, in stored data, logs and settings.

Renames inside the code must not change them. Run ``python -m lab.outernames > LIST``
before such a change and ``python -m lab.outernames --check LIST`` after it: the
second prints the names that are gone.
"""

from __future__ import annotations

import ast
import json
import re
import sys
from collections.abc import Iterator
from pathlib import Path

import attrs
import typer
from google.protobuf.descriptor import FileDescriptor

from redwingrun import cmdline, objects, peer_pb2
from redwingrun.auth import Identity
from redwingrun.config import Settings
from redwingrun.coordination.follower import AuditRow, VersionRow
from redwingrun.coordination.ledger import LedgerRow
from redwingrun.coordination.members import MemberRow
from redwingrun.coordination.shards import ShardRow
from redwingrun.errors import Fault
from redwingrun.jobs import jobpeer_pb2, peerlist
from redwingrun.jobs.partitionwriter import OwnerRow
from redwingrun.jobs.progress import JobState
from redwingrun.jobs.spec import StepSpec, TaskSize
from redwingrun.platform.settings import PlatformSettings, TimeBounds
from redwingrun.taskclient import TaskView
from redwingrun.tasks import MemberKey, TaskRow
from redwingrun.workers import (
    Grant,
    MemberReport,
    StartCall,
    SyncCall,
    WorkerReport,
)

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("redwingrun", "lab", "standins", "benchmarks", "examples")
NOT_SOURCES = ("_pb2.py", "_grpc.py", "outernames.py")
# Classes whose attribute names are the names of fields in stored data or messages.
ENCODED = (
    AuditRow,
    Fault,
    Grant,
    Identity,
    LedgerRow,
    MemberKey,
    MemberReport,
    MemberRow,
    OwnerRow,
    PlatformSettings,
    Settings,
    ShardRow,
    StartCall,
    StepSpec,
    SyncCall,
    TaskRow,
    TaskSize,
    TaskView,
    TimeBounds,
    VersionRow,
    WorkerReport,
    peerlist.MemberRow,
    objects.ObjectSet,
    objects.Policy,
    objects.Pool,
    objects.Resources,
    objects.Team,
    objects.Upstream,
    objects.Workload,
)
# Log methods whose first argument is the name of an event.
EVENT_METHODS = frozenset(["event", "fault", "detail"])
# Log and metric methods whose keyword arguments are fields and labels.
FIELD_METHODS = frozenset(
    ["event", "fault", "detail", "count", "gauge", "seconds", "timed", "log_message"]
)
WORD = re.compile(r"[A-Za-z_][\w.-]*")


def names() -> set[str]:
    """Return all names, each as a line ``kind<TAB>name``."""
    found: set[str] = set()
    for descriptor in (peer_pb2.DESCRIPTOR, jobpeer_pb2.DESCRIPTOR):
        found.update(_protocol(descriptor))
    for kind in ENCODED:
        found.update(f"stored field\t{item.name}" for item in attrs.fields(kind))
    found.update(f"enum value\t{item.name}" for item in JobState)
    found.update(_commands(typer.main.get_command(cmdline.app), ""))
    for folder in SOURCES:
        for path in sorted((ROOT / folder).glob("**/*.py")):
            if not path.name.endswith(NOT_SOURCES):
                found.update(_texts(ast.parse(path.read_text(encoding="utf-8"))))
    for path in sorted((ROOT / "deploy").iterdir()):
        text = path.read_text(encoding="utf-8")
        found.update(f"deploy file\t{word}" for word in WORD.findall(text))
    for path in sorted((ROOT / "redwingrun" / "charts").iterdir()):
        found.update(f"chart\t{name}" for name in _keys(json.loads(path.read_text())))
    return found


def _protocol(descriptor: FileDescriptor) -> Iterator[str]:
    for message in descriptor.message_types_by_name.values():
        yield f"message\t{message.full_name}"
        for item in message.fields:
            yield f"message field\t{message.full_name}.{item.name}"
    for service in descriptor.services_by_name.values():
        for method in service.methods:
            yield f"call\t{service.full_name}/{method.name}"


def _commands(command: object, path: str) -> Iterator[str]:
    for item in command.params:
        yield from (f"option\t{path} {option}" for option in item.opts)
    for name, inner in getattr(command, "commands", {}).items():
        yield f"command\t{path} {name}"
        yield from _commands(inner, f"{path} {name}")


def _texts(tree: ast.AST) -> Iterator[str]:
    """Yield strings without white space, log events, and log fields and labels."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            if node.value and not re.search(r"\s", node.value):
                yield f"text\t{json.dumps(node.value)}"
        elif isinstance(node, ast.Call):
            name = getattr(node.func, "attr", getattr(node.func, "id", ""))
            if name in EVENT_METHODS:
                yield from (f"log event\t{_text(item)}" for item in node.args[:1])
            if name in FIELD_METHODS:
                yield from (f"field or label\t{k.arg}" for k in node.keywords if k.arg)


def _text(node: ast.AST) -> str:
    return node.value if isinstance(node, ast.Constant) else ast.unparse(node)


def _keys(content: object) -> Iterator[str]:
    if isinstance(content, dict):
        for key, value in content.items():
            yield key
            yield from _keys(value)
    elif isinstance(content, list):
        for item in content:
            yield from _keys(item)
    else:
        yield str(content)


def main() -> int:
    """Print the list, or the names of an earlier list that are gone."""
    if sys.argv[1:2] != ["--check"]:
        print("\n".join(sorted(names())))
        return 0
    before = set(Path(sys.argv[2]).read_text(encoding="utf-8").splitlines())
    gone = sorted(before - names())
    print("\n".join([*gone, f"{len(before)} names, {len(gone)} gone"]))
    return 1 if gone else 0


if __name__ == "__main__":
    sys.exit(main())
