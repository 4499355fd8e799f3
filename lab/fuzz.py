"""``make fuzz``: runs the model-based tests with a new random seed and prints it."""

from __future__ import annotations

import random
import sys

from hypothesis import seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.jobs.test_engine_model import SliceMachine
from tests.test_config_model import ConfigMachine
from tests.test_ledger_model import LedgerMachine
from tests.test_ownership_model import OwnershipMachine
from tests.test_tasklease_model import SEARCH, TaskLeaseMachine

# State machine and number of examples by name.
MACHINES = {
    "ownership": (OwnershipMachine, 200),
    "ledger": (LedgerMachine, 600),
    "tasklease": (TaskLeaseMachine, 200),
    "config": (ConfigMachine, 400),
    "slice": (SliceMachine, 200),
}


def main() -> int:
    """Run state machines with a given or random seed: ``fuzz [SEED [MACHINE...]]``."""
    seed_value = (
        int(sys.argv[1])
        if len(sys.argv) > 1
        else random.SystemRandom().randrange(2**32)
    )
    names = sys.argv[2:] or list(MACHINES)
    failed = 0
    for name in names:
        machine, examples = MACHINES[name]
        print(f"{name}: seed {seed_value}, {examples} examples", flush=True)
        run_settings = settings(SEARCH, max_examples=examples)
        try:
            run_state_machine_as_test(seed(seed_value)(machine), settings=run_settings)
        except Exception as error:
            failed += 1
            print(f"{name}: FAILED with seed {seed_value}: {error!r}")
            print("\n".join(getattr(error, "__notes__", [])))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
