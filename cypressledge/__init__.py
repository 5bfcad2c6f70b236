"""cypressledge: a query broker; its decisions are in control.py, the sockets round them in net."""
