// Command standin-target runs one stand-in target in a process of its own.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"sapphirering/test/standin"
)

func main() {
	cfg := standin.Config{Millicores: 16_000, MemoryMB: 64 << 10}
	var entries string
	var slots uint
	flag.StringVar(&cfg.VM, "vm", "", "name of the VM")
	flag.StringVar(&cfg.Pool, "pool", "", "pool that the VM starts in")
	flag.StringVar(&cfg.Zone, "zone", "", "availability zone")
	flag.StringVar(&cfg.Rack, "rack", "r1", "rack")
	flag.StringVar(&cfg.Listen, "listen", "127.0.0.1:0", "address to listen on")
	flag.StringVar(&entries, "entries", "", "base URLs of the zone's entry VMs, comma-separated")
	flag.UintVar(&slots, "slots", 8, "requests and tasks that run at once")
	flag.DurationVar(&cfg.Work, "work", 5*time.Millisecond, "run time of a request")
	flag.BoolVar(&cfg.FailAll, "fail-all", false, "fail everything that is started")
	flag.Parse()
	cfg.Entries = strings.Split(entries, ",")
	cfg.Slots = uint32(slots)
	target, err := standin.Start(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(target.Address())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	target.Close()
}
