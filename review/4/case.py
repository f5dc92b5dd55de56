"""A deadly part behind sixteen other shared parts, as in a prompt that holds a long conversation."""

import os

import deadly
from deployment import run_case

# Shared parts before the deadly one, and after it.
BEFORE = int(os.environ.get("BEFORE", "18"))
AFTER = 3


def prompt(is_deadly):
    """Sound requests share all parts but the deadly one, and the last one, which is each request's own."""
    parts = ["5c1e%04x" % number for number in range(BEFORE + AFTER)]
    if is_deadly:
        parts.insert(BEFORE, deadly.DEADLY)
    return deadly.headers_of(parts)


def main(site):
    return deadly.play(site, ["pool"], site.configuration(1), prompt)


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), ["midrand-a", "midrand-b", "isando"], main)
