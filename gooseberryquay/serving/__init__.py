"""Request handling from arrival to the final response, independent of wire protocol names."""
