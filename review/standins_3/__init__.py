"""Small stand-ins for the scripts of the third review; they need the standard library only."""
