package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/apex/log"

	"sapphirering/internal/config"
	"sapphirering/internal/event"
	"sapphirering/internal/server"
	"sapphirering/platform"
)

const (
	// settingsInterval is how often the settings file is looked at: it may
	// change without a signal.
	settingsInterval = time.Second
	// memoryShare is the part of the memory limit that the heap may take
	// before the collector works harder.
	memoryShare = 0.6
)

// roleDaemon is a daemon that serves jobs of steps on a platform.
type roleDaemon interface {
	Run(ctx context.Context) error
	Reload(s *config.RoleSettings)
}

// runRole runs a core or edge daemon until a signal ends it.
func runRole(path string) error {
	writer := event.NewWriter(os.Stdout, time.Now)
	defer writer.Close()
	log.SetHandler(writer)
	settings, err := config.LoadRoleSettings(path)
	if err != nil {
		return err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryMB<<20)))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	daemon, err := newRole(ctx, settings)
	if err != nil {
		return err
	}
	event.SettingsLoaded.Emit(event.F("role", settings.Role), event.F("name", settings.Name), event.F("zone", settings.Zone))
	go watchSettings(ctx, path, daemon)
	return daemon.Run(ctx)
}

func newRole(ctx context.Context, s *config.RoleSettings) (roleDaemon, error) {
	if s.Role == config.RoleCore {
		return server.NewCore(ctx, s, platform.New)
	}
	return server.NewEdge(s, platform.New)
}

// watchSettings reloads the settings on SIGHUP and when the file changes.
func watchSettings(ctx context.Context, path string, daemon roleDaemon) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last, err := os.ReadFile(path)
	if err != nil {
		event.SettingsInvalid.Emit(event.Err(err))
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-ticker.C:
		}
		data, err := os.ReadFile(path)
		if err != nil {
			event.SettingsInvalid.Emit(event.Err(err))
			continue
		}
		if string(data) == string(last) {
			continue
		}
		last = data
		settings, err := config.ParseRoleSettings(path, data)
		if err != nil {
			event.SettingsInvalid.Emit(event.Err(err))
			continue
		}
		daemon.Reload(settings)
		event.SettingsLoaded.Emit(event.F("role", settings.Role), event.F("name", settings.Name), event.F("zone", settings.Zone))
	}
}
