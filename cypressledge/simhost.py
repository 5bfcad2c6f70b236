"""Former name of `cypressledge.simulator_adapter`, which stays available for one release."""

import sys

from cypressledge.simulator_adapter import main

if __name__ == "__main__":
    sys.exit(main())
