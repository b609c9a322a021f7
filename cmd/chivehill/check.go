package main

import (
	"fmt"

	"github.com/chivehill/chivehill/internal/chivehillsettings"
	"github.com/chivehill/chivehill/schema"
)

// checkCmd checks a settings file.
type checkCmd struct {
	Settings string `required:"" type:"existingfile" help:"Settings file (JSON)."`
}

// Run implements the command.
func (c *checkCmd) Run() error {
	if _, err := chivehillsettings.Load(c.Settings); err != nil {
		return usageError{err}
	}
	fmt.Println("settings are valid")
	return nil
}

// jsonschemaCmd prints a schema.
type jsonschemaCmd struct {
	Of string `arg:"" optional:"" enum:"settings,wire" default:"settings" help:"Which schema: settings, or wire for notes, stored objects and peer messages."`
}

// Run implements the command.
func (c *jsonschemaCmd) Run() error {
	text := schema.Settings
	if c.Of == "wire" {
		text = schema.Wire
	}
	fmt.Print(text)
	return nil
}
