package main

type slopesCommand struct{}
