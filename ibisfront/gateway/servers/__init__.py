"""Backend servers as this instance sees them, and its connections to them."""
