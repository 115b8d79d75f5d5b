package harness

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"
)

// startTimeout is how long the installation may take until it serves.
const startTimeout = 30 * time.Second

// Case is what a case needs while it runs.
type Case struct {
	*Record
	Installation *Installation
	Fleet        *Fleet
	Platform     *Platform
	Clients      *Clients
	// Trouble is false if the case runs without its disruption.
	Trouble bool
}

// Main runs a case and exits with its result. check returns whether the rule was broken, or
// an error if the case could not run.
func Main(maxAttempts int, check func(*Case) (broken bool, err error)) {
	path := flag.String("record", "record.txt", "file of the record")
	flag.Parse()
	os.Exit(run(*path, maxAttempts, check))
}

func run(path string, maxAttempts int, check func(*Case) (bool, error)) (code int) {
	record, err := NewRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitNotRun
	}
	defer record.Close()
	in, err := New(record)
	if err != nil {
		record.Add("not run: %v", err)
		return ExitNotRun
	}
	defer in.Close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() {
		defer func() {
			if r := recover(); r != nil {
				record.Add("not run: %v %s", r, debug.Stack())
				result <- ExitNotRun
			}
		}()
		result <- runCase(&Case{Record: record, Installation: in, Trouble: os.Getenv("TROUBLE") != "0"}, maxAttempts, check)
	}()
	select {
	case code = <-result:
	case <-signals:
		record.Add("not run: interrupted")
		code = ExitNotRun
	}
	return code
}

func runCase(c *Case, maxAttempts int, check func(*Case) (bool, error)) int {
	c.Add("trouble: %t", c.Trouble)
	c.Fleet = NewFleet(c.Installation)
	defer c.Fleet.Close()
	var err error
	if c.Platform, err = NewPlatform(c.Installation, c.Fleet, Standby); err != nil {
		c.Add("not run: %v", err)
		return ExitNotRun
	}
	defer c.Platform.Close()
	c.Clients = NewClients(c.Installation)
	if err := c.Installation.StartAll(); err != nil {
		c.Add("not run: %v", err)
		return ExitNotRun
	}
	if _, err := c.Clients.Operator("POST", "/config/replace", Manifest(1, maxAttempts), startTimeout); err != nil {
		c.Add("not run: the first manifest: %v", err)
		return ExitNotRun
	}
	broken, err := check(c)
	switch {
	case err != nil:
		c.Add("not run: %v", err)
		fmt.Println("not run:", err)
		return ExitNotRun
	case broken:
		c.Add("result: the rule was broken")
		fmt.Println("the rule was broken")
		return ExitBroken
	}
	c.Add("result: the rule held")
	fmt.Println("the rule held")
	return ExitHeld
}
