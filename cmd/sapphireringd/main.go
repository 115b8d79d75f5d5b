// Command sapphireringd is the daemon of sapphirering.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"runtime/pprof"
	"strings"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"sapphirering/internal/config"
	"sapphirering/internal/server"
)

// gcPercent lets the heap grow to four times its live part between garbage
// collections; the live heap of a daemon is small. GOGC overrides it.
const gcPercent = 300

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	settingsPath := flag.String("settings", "", "path of the settings file (required)")
	rolePath := flag.String("role", "", "path of the settings file of a core or edge role on a platform; used instead of -settings")
	bootstrap := flag.Bool("bootstrap", false, "create a new cluster if the data folder is empty; use it once, on one daemon only")
	recoverFolder := flag.Bool("recover", false, "make this data folder the only voter of a new cluster and exit; only when a quorum is permanently lost")
	profilePath := flag.String("cpu-profile", "", "file to write a processor profile to when the daemon stops; only with -role")
	flag.Parse()
	if *rolePath != "" {
		if err := runProfiled(*profilePath, func() error { return runRole(*rolePath) }); err != nil {
			fmt.Fprintln(os.Stderr, "sapphireringd:", err)
			os.Exit(1)
		}
		return
	}
	log.SetHandler(logfmt.New(os.Stderr))
	start := run
	if *recoverFolder {
		start = recoverCluster
	}
	if err := start(*settingsPath, *bootstrap); err != nil {
		fmt.Fprintln(os.Stderr, "sapphireringd:", err)
		os.Exit(1)
	}
}

// runProfiled runs f and writes a processor profile of it to a file, unless the path is empty.
func runProfiled(path string, f func() error) error {
	if path == "" {
		return f()
	}
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("-cpu-profile: %w", err)
	}
	if err := pprof.StartCPUProfile(file); err != nil {
		return errors.Join(fmt.Errorf("-cpu-profile: %w", err), file.Close())
	}
	err = f()
	pprof.StopCPUProfile()
	return errors.Join(err, file.Close())
}

func run(path string, bootstrap bool) error {
	if path == "" {
		return fmt.Errorf("-settings is required")
	}
	settings, err := config.LoadSettings(path)
	if err != nil {
		return err
	}
	keys, err := config.LoadOperatorKeys(settings.OperatorKeyFile)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon, err := server.New(ctx, settings, server.Options{Bootstrap: bootstrap, OperatorKeys: keys})
	if err != nil {
		return err
	}
	return daemon.Run(ctx)
}

// recoverCluster makes the data folder the only voter of a new cluster. It prints
// what was kept and what the operator must do next.
func recoverCluster(path string, _ bool) error {
	settings, err := config.LoadSettings(path)
	if err != nil {
		return err
	}
	r, err := server.Recover(settings)
	if err != nil {
		return err
	}
	fmt.Printf("new cluster %s, member %s, log kept up to index %d\n", r.Identity.ClusterID, r.Identity.MemberID, r.LastIndex)
	fmt.Printf("start this daemon, then wipe the data folders of the former voters and start them: %s\n",
		strings.Join(r.FormerVoters, ", "))
	return nil
}
