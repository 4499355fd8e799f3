"""The pages: every shown command runs, the settings are those of the program."""

from __future__ import annotations

import asyncio
import os
import re
import shlex
import sys
from pathlib import Path

from lab.cell import OPERATOR_TOKEN, TOKEN_BY_TEAM, Cell
from lab.session import write_objects
from redwingrun.config import reference

ROOT = Path(__file__).resolve().parent.parent
PAGES = (ROOT / "README.md", ROOT / "docs" / "OPERATIONS.md")
COMMAND = re.compile(r"^\s+(?:(?P<who>[a-z-]+): )?\$ redwingrun (?P<rest>.+)$")


def shown_commands() -> list[tuple[str, list[str]]]:
    """Return who runs what, in the order of the pages."""
    found = []
    for page in PAGES:
        for line in page.read_text(encoding="utf-8").splitlines():
            match = COMMAND.match(line)
            if match:
                found.append((match["who"] or "operator", shlex.split(match["rest"])))
    return found


async def run(cell: Cell, who: str, words: list[str]) -> tuple[int, str]:
    token = OPERATOR_TOKEN if who == "operator" else TOKEN_BY_TEAM[who]
    environment = {
        **os.environ,
        "PYTHONPATH": str(ROOT),
        "REDWINGRUN_SERVER": cell.hosts[0].url,
        "REDWINGRUN_TOKEN": token,
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        "from redwingrun.cmdline import main; main()",
        *words,
        cwd=cell.folder,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


def test_every_shown_command_runs():
    commands = shown_commands()
    assert len(commands) >= 12

    async def scenario():
        async with Cell() as cell:
            write_objects(cell)
            for who, words in commands:
                code, output = await run(cell, who, words)
                assert code == 0, (words, output)

    asyncio.run(scenario())


def test_the_settings_on_the_operators_page_are_those_of_the_program():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    for name, default, help_text in reference():
        shown = default if default == "required" else f"`{default}`"
        assert f"| `{name}` | {shown} | {help_text} |" in page


def test_every_page_that_is_linked_exists():
    for page in [ROOT / "README.md", *(ROOT / "docs").glob("*.md")]:
        for target in re.findall(r"\]\(([^)#]+)\)", page.read_text(encoding="utf-8")):
            assert (page.parent / target).exists(), f"{page.name} links to {target}"


def test_every_module_has_a_doc_comment_and_no_code_imports_relatively():
    for path in [*ROOT.glob("redwingrun/**/*.py"), *ROOT.glob("standins/*.py")]:
        text = path.read_text(encoding="utf-8")
        if "pb2" in path.name or path.name == "peer_grpc.py":
            continue
        assert text.startswith('"""'), path
        assert not re.search(r"^\s*from \.", text, re.M), path


def test_the_coordination_package_imports_nothing_of_the_daemons():
    for path in ROOT.glob("redwingrun/coordination/*.py"):
        for line in path.read_text(encoding="utf-8").splitlines():
            if line.startswith(("from redwingrun", "import redwingrun")):
                assert "redwingrun.coordination" in line, (path, line)


def test_every_setting_is_used():
    texts = [
        path.read_text(encoding="utf-8") for path in ROOT.glob("redwingrun/**/*.py")
    ]
    used = set(re.findall(r"(?:settings|self)\.(?=([a-z_]+))", "".join(texts)))
    assert [name for name, _, _ in reference() if name not in used] == []
