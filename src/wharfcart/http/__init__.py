"""HTTP/1.1 plumbing shared by the clients of back ends and of the platform."""
