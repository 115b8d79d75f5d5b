// Command sapphireringd is the daemon of sapphirering.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"

	"sapphirering/internal/config"
	"sapphirering/internal/server"
)

func main() {
	settingsPath := flag.String("settings", "", "path of the settings file (required)")
	bootstrap := flag.Bool("bootstrap", false, "create a new cluster if the data folder is empty; give it once, on one daemon")
	flag.Parse()
	log.SetHandler(logfmt.New(os.Stderr))
	if err := run(*settingsPath, *bootstrap); err != nil {
		fmt.Fprintln(os.Stderr, "sapphireringd:", err)
		os.Exit(1)
	}
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
