"""A deadly part beside one other shared part, while no sound request has come with that one for a minute."""

import os

import deadly
from deployment import run_case

# Sound requests come this long after the first one with the deadly part.
SOUND_FROM_S = 20.0
FIRST_PART = os.environ.get("FIRST_PART", "5c1e0000")


def prompt(is_deadly):
    """Sound requests share the first part; the last one is each request's own."""
    return deadly.headers_of([FIRST_PART, deadly.DEADLY] if is_deadly else [FIRST_PART])


def main(site):
    return deadly.play(site, ["pool"], site.configuration(1), prompt, sound_from_s=SOUND_FROM_S, load_s=28.0)


if __name__ == "__main__":
    run_case(os.path.dirname(os.path.abspath(__file__)), ["midrand-a", "midrand-b", "isando"], main)
