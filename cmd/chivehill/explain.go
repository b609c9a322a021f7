package main

import (
	"fmt"
	"os"

	"github.com/chivehill/chivehill/internal/chivehillexplain"
	"github.com/chivehill/chivehill/internal/chivehillid"
)

// explainCmd reads a host's log from standard input and prints what happened to
// one request.
type explainCmd struct {
	ID string `arg:"" help:"Identifier of the request."`
}

// Run implements the command.
func (c *explainCmd) Run() error {
	report, err := chivehillexplain.Explain(os.Stdin, chivehillid.RequestID(c.ID))
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	for _, step := range report.Steps {
		fmt.Println(step)
	}
	for _, e := range report.Context {
		fmt.Println("  " + e)
	}
	fmt.Println(report.Conclusion)
	return nil
}
