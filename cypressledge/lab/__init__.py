"""Models, fakes, proxies and experiments that test and measure the program. Never imported by `run`."""
