"""Print all measurements; ``--only`` selects one part."""

import argparse

from measure.claims import print_claims
from measure.control import print_control
from measure.costs import print_costs
from measure.fleet import print_fleet
from measure.path import print_path
from measure.placement import print_placement
from measure.routing import print_routing
from measure.urgent import print_urgent

PARTS = {
    "placement": print_placement,
    "routing": print_routing,
    "costs": print_costs,
    "path": print_path,
    "control": print_control,
    "urgent": print_urgent,
    "fleet": print_fleet,
    "claims": print_claims,
}


def main() -> None:
    """Print the chosen parts, or all."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--only", choices=sorted(PARTS))
    chosen = parser.parse_args().only
    for name, print_part in PARTS.items():
        if chosen in (None, name):
            print_part()


if __name__ == "__main__":
    main()
