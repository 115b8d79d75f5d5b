package config

import (
	"fmt"
	"os"
	"strings"
)

const (
	minOperatorKeyBytes = 16
	privateFileMode     = 0o077
)

// LoadOperatorKeys reads operator keys, one a line. Other users must not be
// able to read the file. An empty path gives no keys.
func LoadOperatorKeys(path string) ([]string, error) {
	if path == "" {
		return nil, nil
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, fmt.Errorf("operator_key_file: %w", err)
	}
	if info.Mode().Perm()&privateFileMode != 0 {
		return nil, fmt.Errorf("operator_key_file: %s has mode %o, want 0600", path, info.Mode().Perm())
	}
	data, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator_key_file: %w", err)
	}
	var keys []string
	for i, line := range strings.Split(string(data), "\n") {
		key := strings.TrimSpace(line)
		if key == "" {
			continue
		}
		if len(key) < minOperatorKeyBytes {
			return nil, fmt.Errorf("operator_key_file: line %d is shorter than %d bytes", i+1, minOperatorKeyBytes)
		}
		keys = append(keys, key)
	}
	return keys, nil
}
