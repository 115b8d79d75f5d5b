package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"

	"sapphirering/internal/config"
	"sapphirering/internal/event"
	"sapphirering/internal/server"
	"sapphirering/platform"
)

const (
	// settingsInterval is how often the settings file is read again: it may
	// change without a signal.
	settingsInterval = time.Second
	// memoryShare is the fraction of the memory setting used as the Go runtime's
	// soft memory limit, near which it collects garbage more often.
	memoryShare = 0.6
)

// runRole runs a core or edge daemon until SIGTERM or SIGINT.
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
	loaded := func() {
		event.SettingsLoaded.Emit(event.F("role", settings.Role), event.F("name", settings.Name), event.F("zone", settings.Zone))
	}
	if settings.Role == config.RoleCore {
		var running atomic.Pointer[server.Core]
		watch := sync.OnceFunc(func() {
			loaded()
			go watchSettings(ctx, path, func(s *config.RoleSettings) { running.Load().Reload(s) })
		})
		return server.RunCore(ctx, settings, platform.New, func(c *server.Core) {
			running.Store(c)
			watch()
		})
	}
	edge, err := server.NewEdge(settings, platform.New)
	if err != nil {
		return err
	}
	loaded()
	go watchSettings(ctx, path, edge.Reload)
	return edge.Run(ctx)
}

// watchSettings checks the settings file periodically and on SIGHUP, and reloads
// the settings when the file has changed.
func watchSettings(ctx context.Context, path string, reload func(*config.RoleSettings)) {
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
		reload(settings)
		event.SettingsLoaded.Emit(event.F("role", settings.Role), event.F("name", settings.Name), event.F("zone", settings.Zone))
	}
}
