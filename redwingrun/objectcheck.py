"""Check a set of object files and report every fault with its file and line."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from attrs import evolve

from redwingrun.checkedfields import FieldProblem, build_checked, did_you_mean
from redwingrun.errors import Fault, InvalidInput
from redwingrun.jsonfile import JsonFile, parse_json, read_json_file
from redwingrun.objects import (
    CLASS_BY_SECTION,
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
    """Read object files and check them as one set.

    :raises InvalidInput: if the set is not valid; names every fault of every file.
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
    """Check a set of objects that is given as the text of one file.

    :param name: name of the file in error messages.
    :raises InvalidInput: if the set is not valid; names every fault.
    """
    return check_objects([parse_json(name, source)], [])


def check_objects(files: list[JsonFile], faults: list[Fault]) -> ObjectSet:
    """Check the objects of several parsed files as one set.

    :param faults: faults found so far.
    :raises InvalidInput: if there are faults; names the given and the new ones.
    """
    collector = _ObjectCollector(faults)
    for source in files:
        collector.add_file(source)
    objects = ObjectSet(**collector.objects_by_section)
    collector.check_references(objects)
    if collector.faults:
        raise InvalidInput(collector.faults)
    return objects


class _ObjectCollector:
    """Collects the objects and the faults of several files."""

    def __init__(self, faults: list[Fault]):
        self.faults = list(faults)
        self.objects_by_section: dict[str, dict[str, Any]] = {
            key: {} for key in CLASS_BY_SECTION
        }
        self._file_by_object: dict[tuple[str, str], JsonFile] = {}

    def add_file(self, source: JsonFile) -> None:
        """Add the objects of one file."""
        for key in source.duplicate_keys:
            line = source.line_of(key)
            self.faults.append(
                Fault(source.name, line, key, "is defined twice", "keep one")
            )
        for section, objects in source.value.items():
            if section not in CLASS_BY_SECTION:
                problem = f"unknown section{did_you_mean(section, CLASS_BY_SECTION)}"
                fault = Fault(source.name, source.line_of(section), section, problem)
                self.faults.append(fault)
            elif not isinstance(objects, dict):
                fault = Fault(
                    source.name,
                    source.line_of(section),
                    section,
                    "must be a JSON object with the objects by name",
                )
                self.faults.append(fault)
            else:
                self._add_section(source, section, objects)

    def _add_section(
        self, source: JsonFile, section: str, objects: dict[str, Any]
    ) -> None:
        for name, item in objects.items():
            key = (section, name)
            if key in self._file_by_object:
                other = self._file_by_object[key].name
                self._add_fault(
                    source, section, name, "", f"is also defined in {other}", "keep one"
                )
                continue
            self._file_by_object[key] = source
            found, problems = build_checked(CLASS_BY_SECTION[section], item)
            self._add_problems(source, section, name, problems)
            if found is not None:
                self.objects_by_section[section][name] = evolve(found, name=name)
                self._check_nested(source, section, name, found)

    def _check_nested(
        self, source: JsonFile, section: str, name: str, found: Any
    ) -> None:
        """Check the JSON objects within an object; drop the object on a fault."""
        nested: list[tuple[str, Any, type]] = []
        if isinstance(found, Workload):
            nested.append(("size", found.size, Resources))
        if isinstance(found, Team):
            nested.append(("quota", found.quota, Resources))
        if isinstance(found, Pool):
            nested.extend(
                (key, item, Upstream) for key, item in found.upstreams.items()
            )
        valid = True
        for key, item, object_class in nested:
            _, problems = build_checked(object_class, item)
            valid = valid and not problems
            self._add_problems(source, section, name, problems, key)
        if not valid:
            # References to it are still resolved; its other checks are skipped.
            self.objects_by_section[section].pop(name)

    def _add_problems(
        self,
        source: JsonFile,
        section: str,
        name: str,
        problems: list[FieldProblem],
        prefix: str = "",
    ) -> None:
        for item in problems:
            path = ".".join(key for key in (prefix, item.name) if key)
            self._add_fault(source, section, name, path, item.problem, item.remedy)

    def _add_fault(
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
        message = f"{path}: {problem}" if path else problem
        self.faults.append(Fault(source.name, line, subject, message, remedy))

    def check_references(self, objects: ObjectSet) -> None:
        """Check references and other rules that involve several objects."""
        for workload in objects.workloads.values():
            self._check_workload(objects, workload)
        for team in objects.teams.values():
            self._check_team(objects, team)
        self._check_upstreams(objects)

    def _check_upstreams(self, objects: ObjectSet) -> None:
        """Check that no minion or worker is in two pools or has two names.

        Only one owner may place work on it, because only that owner counts what runs
        there.
        """
        pool_by_name: dict[str, str] = {}
        name_by_address: dict[str, str] = {}
        for pool in objects.pools.values():
            for name, upstream in pool.upstreams_by_name.items():
                first_pool = pool_by_name.setdefault(name, pool.name)
                if first_pool != pool.name:
                    self._add_duplicate(pool, name, f"is also in pool {first_pool}")
                first_name = name_by_address.setdefault(upstream.address, name)
                if first_name != name:
                    self._add_duplicate(
                        pool, name, f"has the same address as {first_name}"
                    )

    def _add_duplicate(self, pool: Pool, name: str, problem: str) -> None:
        source = self._file_by_object["pools", pool.name]
        self._add_fault(source, "pools", pool.name, name, problem, "keep one")

    def _check_workload(self, objects: ObjectSet, workload: Workload) -> None:
        self._check_reference(
            "workloads", workload.name, "pool", workload.pool, "pools"
        )
        self._check_reference(
            "workloads", workload.name, "policy", workload.policy, "policies"
        )
        for team in workload.teams:
            self._check_reference("workloads", workload.name, "teams", team, "teams")
        pool = objects.pools.get(workload.pool)
        if pool is None:
            return
        source = self._file_by_object["workloads", workload.name]
        needed_type = MINIONS if workload.kind == QUICK else WORKERS
        if pool.type != needed_type:
            problem = (
                f"{workload.kind} work needs a pool of {needed_type}, "
                f"{pool.name} is a pool of {pool.type}"
            )
            self._add_fault(
                source, "workloads", workload.name, "pool", problem, "name another"
            )
        elif pool.type == WORKERS:
            reason = never_fits_reason(workload, pool)
            if reason:
                self._add_fault(
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
        self._check_reference("teams", team.name, "parent", team.parent, "teams")
        seen = {team.name}
        parent = team.parent
        while parent in objects.teams:
            if parent in seen:
                source = self._file_by_object["teams", team.name]
                problem = f"its parents form a cycle through {parent}"
                self._add_fault(
                    source,
                    "teams",
                    team.name,
                    "parent",
                    problem,
                    "remove one of these parents",
                )
                return
            seen.add(parent)
            parent = objects.teams[parent].parent

    def _check_reference(
        self, section: str, name: str, path: str, target: str, target_section: str
    ) -> None:
        """Add a fault when the target is not defined in any file."""
        known = [key for where, key in self._file_by_object if where == target_section]
        if target in known:
            return
        source = self._file_by_object[section, name]
        singular = "policy" if target_section == "policies" else target_section[:-1]
        problem = f"there is no {singular} {target!r}{did_you_mean(target, known)}"
        self._add_fault(
            source, section, name, path, problem, "define it or name another"
        )
