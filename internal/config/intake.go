package config

import "time"

// Intake limits what the connections of callers, targets, operators and other daemons may use. Zero
// values stand for the defaults.
type Intake struct {
	// MemoryShare is the part of the process's memory for requests and buffers of connections.
	MemoryShare float64 `yaml:"memory_share"`
	// ReservedDescriptors are kept for the process's own files and connections, but at most four fifths of
	// all.
	ReservedDescriptors int `yaml:"reserved_descriptors"`
	// MinRate is the least number of bytes a second that a header or a body must bring on average
	// over each ProgressWindow.
	MinRate        int      `yaml:"min_rate"`
	ProgressWindow Duration `yaml:"progress_window"`
	// WriteTimeout is how long 64 KiB of an answer may take.
	WriteTimeout Duration `yaml:"write_timeout"`
}

const (
	// maxIntakeShare leaves room below the Go runtime's limit, which is 0.6 of the memory.
	maxIntakeShare = 0.4
	maxIntakeTime  = 10 * time.Minute
)

func (i *Intake) validate(src *source) {
	// A share that is not a number fails the comparison too.
	if i.MemoryShare != 0 && !(i.MemoryShare > 0 && i.MemoryShare <= maxIntakeShare) {
		src.addFault("intake.memory_share", "%g is not above 0 and at most %g", i.MemoryShare, maxIntakeShare)
	}
	if i.ReservedDescriptors < 0 {
		src.addFault("intake.reserved_descriptors", "%d is below 0", i.ReservedDescriptors)
	}
	if i.MinRate < 0 {
		src.addFault("intake.min_rate", "%d is below 0", i.MinRate)
	}
	if i.ProgressWindow.Duration != 0 {
		requireRange(src, "intake.progress_window", i.ProgressWindow, time.Second, maxIntakeTime)
	}
	if i.WriteTimeout.Duration != 0 {
		requireRange(src, "intake.write_timeout", i.WriteTimeout, time.Second, maxIntakeTime)
	}
}
