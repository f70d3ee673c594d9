"""What the store holds, and how instances pass it on to each other."""
