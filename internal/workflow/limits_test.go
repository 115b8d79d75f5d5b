package workflow

import (
	"testing"

	"github.com/matryer/is"
)

// TestLimitAllows guards against a task or gang that a limit keeps from ever starting though little of it is in use, and
// against starts that take a workspace further above its limit than one task.
func TestLimitAllows(t *testing.T) {
	cpu := func(millis int64) Resources { return Resources{CPUMillis: millis} }
	for name, test := range map[string]struct {
		limit, used, needs Resources
		count              int
		want               bool
	}{
		"fits in what is left":                {cpu(1000), cpu(600), cpu(400), 1, true},
		"does not fit, more than half in use": {cpu(1000), cpu(600), cpu(401), 1, false},
		"larger than the limit, none in use":  {cpu(1500), cpu(0), cpu(2000), 1, true},
		"larger than the limit, little used":  {cpu(1500), cpu(700), cpu(2000), 1, true},
		"larger than the limit, half in use":  {cpu(1500), cpu(750), cpu(2000), 1, false},
		"a second one beside a larger one":    {cpu(1500), cpu(2000), cpu(2000), 1, false},
		"no limit":                            {cpu(0), cpu(9000), cpu(2000), 1, true},
		"memory is larger":                    {Resources{CPUMillis: 1000, MemoryMB: 100}, cpu(500), Resources{CPUMillis: 500, MemoryMB: 200}, 1, true},
		"memory is in use":                    {Resources{CPUMillis: 1000, MemoryMB: 100}, Resources{MemoryMB: 60}, Resources{CPUMillis: 500, MemoryMB: 200}, 1, false},
		"accelerators are larger":             {Resources{Accelerators: 1}, cpu(500), Resources{CPUMillis: 500, Accelerators: 4}, 1, true},
		"accelerators are in use":             {Resources{Accelerators: 1}, Resources{Accelerators: 1}, Resources{Accelerators: 4}, 1, false},
		"a gang fits":                         {cpu(4000), cpu(0), cpu(1000), 4, true},
		"a gang, one member above":            {cpu(3000), cpu(0), cpu(1000), 4, true},
		"a gang, more than one member above":  {cpu(2999), cpu(0), cpu(1000), 4, false},
		"a gang, little used, member above":   {cpu(4000), cpu(1000), cpu(1000), 4, true},
		"a gang, half in use":                 {cpu(4000), cpu(2000), cpu(1000), 4, false},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(LimitAllows(test.limit, test.used, test.needs, test.count), test.want)
		})
	}
}
