"""cypressledge: a query broker. Its decisions are in `decisions`, its network protocols in `net`."""
