// Command standin plays the cases of this review that are scripts. Each case starts the
// project's own hosts as processes, and has stand-ins of the store, the servers and the
// consumers in its own process.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(d *deployment, program string, trouble bool) error{
	"pipeline": playPipeline,
	"late":     playLate,
	"evac":     playEvacuation,
	"refused":  playRefused,
	"twice":    playTwice,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE PROGRAM RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// play returns the exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func play(name, program, record string) int {
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = file.Close() }()
	rec := &recorder{file: file, started: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.log("case %s, TROUBLE=%t", name, trouble)
	d, err := newDeployment(rec)
	if err == nil {
		defer d.close()
		signals := make(chan os.Signal, 1)
		signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
		go func() {
			<-signals
			d.close()
			os.Exit(2)
		}()
		err = cases[name](d, program, trouble)
	}
	code := 0
	switch {
	case errors.Is(err, errBroken):
		code = 1
	case err != nil:
		code = 2
	}
	text := "the rule held"
	if err != nil {
		text = err.Error()
	}
	rec.log("result: exit %d, %s", code, text)
	fmt.Println(text)
	return code
}
