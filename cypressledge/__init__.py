"""cypressledge: a query broker; its decisions are in decisions/, the sockets round them in net."""
