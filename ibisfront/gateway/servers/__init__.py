"""Backend servers as observed by this instance, and its connections to them."""
