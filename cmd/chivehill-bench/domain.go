package main

// domainCmd takes a failure domain out and back.
type domainCmd struct{}

// Run implements the command.
func (c *domainCmd) Run() error { return nil }
