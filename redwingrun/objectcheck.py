"""The check of a whole set of object files: every fault, with file, line and object."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from attrs import evolve

from redwingrun.checkedfields import Problem, build_checked, nearest
from redwingrun.errors import Fault, InvalidInput
from redwingrun.jsonfile import JsonFile, parse_json, read_json_file
from redwingrun.objects import (
    KIND_BY_SECTION,
    MINIONS,
    QUICK,
    WORKERS,
    ObjectSet,
    Pool,
    Resources,
    Team,
    Upstream,
    Workload,
    never_fits_reason,
)


def load_objects(paths: list[Path]) -> ObjectSet:
    """Read object files and check the whole set.

    :raises InvalidInput: names every fault of every file.
    """
    files: list[JsonFile] = []
    faults: list[Fault] = []
    for path in paths:
        try:
            files.append(read_json_file(path))
        except InvalidInput as error:
            faults.extend(error.faults)
    return check_objects(files, faults)


def objects_from_text(name: str, source: str) -> ObjectSet:
    """Check objects from text; ``name`` stands for the file."""
    return check_objects([parse_json(name, source)], [])


def check_objects(files: list[JsonFile], faults: list[Fault]) -> ObjectSet:
    """Return the checked set of several files.

    :raises InvalidInput: names every fault.
    """
    reader = _Reader(faults)
    for source in files:
        reader.take(source)
    objects = ObjectSet(**reader.by_section)
    reader.check_references(objects)
    if reader.faults:
        raise InvalidInput(reader.faults)
    return objects


class _Reader:
    """Gathers the objects of several files, and their faults."""

    def __init__(self, faults: list[Fault]):
        self.faults = list(faults)
        self.by_section: dict[str, dict[str, Any]] = {
            key: {} for key in KIND_BY_SECTION
        }
        self._file_by_object: dict[tuple[str, str], JsonFile] = {}

    def take(self, source: JsonFile) -> None:
        """Take the objects of one file."""
        for key in source.duplicate_keys:
            line = source.line_of(key)
            self.faults.append(
                Fault(source.name, line, key, "stands twice", "keep one")
            )
        for section, plain in source.value.items():
            if section not in KIND_BY_SECTION:
                problem = f"unknown section{nearest(section, KIND_BY_SECTION)}"
                fault = Fault(source.name, source.line_of(section), section, problem)
                self.faults.append(fault)
            elif not isinstance(plain, dict):
                fault = Fault(
                    source.name,
                    source.line_of(section),
                    section,
                    "must be an object by name",
                )
                self.faults.append(fault)
            else:
                self._take_section(source, section, plain)

    def _take_section(
        self, source: JsonFile, section: str, plain: dict[str, Any]
    ) -> None:
        for name, item in plain.items():
            where = (section, name)
            if where in self._file_by_object:
                other = self._file_by_object[where].name
                self._fault(
                    source, section, name, "", f"stands in {other} too", "keep one"
                )
                continue
            self._file_by_object[where] = source
            found, problems = build_checked(KIND_BY_SECTION[section], item)
            self._problems(source, section, name, problems)
            if found is not None:
                self.by_section[section][name] = evolve(found, name=name)
                self._check_parts(source, section, name, found)

    def _check_parts(
        self, source: JsonFile, section: str, name: str, found: Any
    ) -> None:
        parts: list[tuple[str, Any, type]] = []
        if isinstance(found, Workload):
            parts.append(("size", found.size, Resources))
        if isinstance(found, Team):
            parts.append(("quota", found.quota, Resources))
        if isinstance(found, Pool):
            parts.extend((key, item, Upstream) for key, item in found.upstreams.items())
        valid = True
        for key, item, kind in parts:
            _, problems = build_checked(kind, item)
            valid = valid and not problems
            self._problems(source, section, name, problems, key)
        if not valid:
            # References to it are fine, but nothing else of it can be checked.
            self.by_section[section].pop(name)

    def _problems(
        self,
        source: JsonFile,
        section: str,
        name: str,
        problems: list[Problem],
        part: str = "",
    ) -> None:
        for item in problems:
            path = ".".join(key for key in (part, item.name) if key)
            self._fault(source, section, name, path, item.problem, item.remedy)

    def _fault(
        self,
        source: JsonFile,
        section: str,
        name: str,
        path: str,
        problem: str,
        remedy: str,
    ) -> None:
        line = source.line_of(section, name, *[key for key in path.split(".") if key])
        subject = f"{section[:-1] if section != 'policies' else 'policy'} {name}"
        text_of = f"{path}: {problem}" if path else problem
        self.faults.append(Fault(source.name, line, subject, text_of, remedy))

    def check_references(self, objects: ObjectSet) -> None:
        """Check what spans several objects."""
        for workload in objects.workloads.values():
            self._check_workload(objects, workload)
        for team in objects.teams.values():
            self._check_team(objects, team)
        self._check_upstreams(objects)

    def _check_upstreams(self, objects: ObjectSet) -> None:
        """Each minion and worker stands once: its owner counts alone what it holds."""
        pool_by_name: dict[str, str] = {}
        name_by_address: dict[str, str] = {}
        for pool in objects.pools.values():
            for name, upstream in pool.upstreams_by_name.items():
                other = pool_by_name.setdefault(name, pool.name)
                if other != pool.name:
                    self._twice(pool, name, f"stands in pool {other} too")
                same = name_by_address.setdefault(upstream.address, name)
                if same != name:
                    self._twice(pool, name, f"has the address of {same} too")

    def _twice(self, pool: Pool, name: str, problem: str) -> None:
        source = self._file_by_object["pools", pool.name]
        self._fault(source, "pools", pool.name, name, problem, "keep one")

    def _check_workload(self, objects: ObjectSet, workload: Workload) -> None:
        self._reference("workloads", workload.name, "pool", workload.pool, "pools")
        self._reference(
            "workloads", workload.name, "policy", workload.policy, "policies"
        )
        for team in workload.teams:
            self._reference("workloads", workload.name, "teams", team, "teams")
        pool = objects.pools.get(workload.pool)
        if pool is None:
            return
        source = self._file_by_object["workloads", workload.name]
        needed = MINIONS if workload.kind == QUICK else WORKERS
        if pool.type != needed:
            problem = (
                f"{workload.kind} work needs a pool of {needed}, "
                f"{pool.name} has {pool.type}"
            )
            self._fault(
                source, "workloads", workload.name, "pool", problem, "name another"
            )
        elif pool.type == WORKERS:
            reason = never_fits_reason(workload, pool)
            if reason:
                self._fault(
                    source,
                    "workloads",
                    workload.name,
                    "size",
                    reason,
                    "make it smaller",
                )

    def _check_team(self, objects: ObjectSet, team: Team) -> None:
        if not team.parent:
            return
        self._reference("teams", team.name, "parent", team.parent, "teams")
        seen = {team.name}
        parent = team.parent
        while parent in objects.teams:
            if parent in seen:
                source = self._file_by_object["teams", team.name]
                problem = f"its parents form a cycle through {parent}"
                self._fault(
                    source, "teams", team.name, "parent", problem, "cut the cycle"
                )
                return
            seen.add(parent)
            parent = objects.teams[parent].parent

    def _reference(
        self, section: str, name: str, path: str, target: str, kind: str
    ) -> None:
        known = [key for where, key in self._file_by_object if where == kind]
        if target in known:
            return
        source = self._file_by_object[section, name]
        singular = "policy" if kind == "policies" else kind[:-1]
        problem = f"there is no {singular} {target!r}{nearest(target, known)}"
        self._fault(source, section, name, path, problem, "define it or name another")
