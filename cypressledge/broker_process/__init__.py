"""The broker process: assembles, starts, reconfigures and stops the parts of a broker."""
