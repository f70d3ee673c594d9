"""HTTP/1.1 connections on trio, parsed by ``httptools``."""
