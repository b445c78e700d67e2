package main

type (
	loadCommand   struct{}
	slopesCommand struct{}
)
