"""HTTP/1.1 connections for the clients of back ends and of the platform."""
