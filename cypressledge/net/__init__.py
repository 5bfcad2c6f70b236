"""The wires: fronts that clients speak to, links to engines, directories, and the admin API."""
