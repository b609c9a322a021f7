package main

import (
	"fmt"

	"github.com/chivehill/chivehill/internal/chivehillsettings"
	"github.com/chivehill/chivehill/schema"
)

// checkCmd checks a settings file.
type checkCmd struct {
	Settings string `required:"" type:"existingfile" help:"Settings file (JSON)."`
	Gateway  bool   `help:"The settings are those of a gateway."`
}

// Run implements the command.
func (c *checkCmd) Run() error {
	if err := c.load(); err != nil {
		return usageError{err}
	}
	fmt.Println("settings are valid")
	return nil
}

func (c *checkCmd) load() error {
	if c.Gateway {
		_, err := chivehillsettings.LoadGateway(c.Settings)
		return err
	}
	_, err := chivehillsettings.Load(c.Settings)
	return err
}

// jsonschemaCmd prints a schema.
type jsonschemaCmd struct {
	Of string `arg:"" optional:"" enum:"settings,wire,gateway,relay" default:"settings" help:"Which schema: settings, or wire for notes, stored objects and peer messages; gateway and relay for the settings and messages of gateways."`
}

// Run implements the command.
func (c *jsonschemaCmd) Run() error {
	texts := map[string]string{"settings": schema.Settings, "wire": schema.Wire, "gateway": schema.Gateway, "relay": schema.Relay}
	fmt.Print(texts[c.Of])
	return nil
}
