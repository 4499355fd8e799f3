"""A small soak of real member processes under faults, judged by the rule TWICE."""
