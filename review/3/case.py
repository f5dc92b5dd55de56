"""A deadly part that lets a server write the first events of an answer."""

import os

import deadly
from deployment import run_case

# Number of events that a server writes before it crashes.
EVENTS = int(os.environ.get("EVENTS", "6"))


def prompt(is_deadly):
    """Sound requests share the first part; the last one is each request's own."""
    return deadly.headers_of(["5c1e07a2", deadly.DEADLY] if is_deadly else ["5c1e07a2"])


def main(site):
    return deadly.play(site, ["pool"], site.configuration(1), prompt, deadly_after_events=EVENTS)


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), ["midrand-a", "midrand-b", "isando"], main)
