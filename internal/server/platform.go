package server

import (
	"sapphirering/internal/control"
	"sapphirering/internal/platform"
)

// newPlatform returns the client of the platform, or nil when no URL is set.
func newPlatform(url string) control.Platform {
	if url == "" {
		return nil
	}
	return platform.NewClient(url)
}
