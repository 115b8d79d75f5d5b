package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"sapphirering/internal/operator"
)

const (
	// ticksPerSecond is USER_HZ, the unit of processor time in /proc.
	ticksPerSecond = 100
	inForceTries   = 3
	changeCount    = 100
)

// role is what a daemon does in the cluster.
type role string

const (
	roleLeader   role = "leader"
	roleVoter    role = "voter"
	roleFollower role = "follower"
)

var roles = []role{roleLeader, roleVoter, roleFollower}

// cost is the resource use of one daemon.
type cost struct {
	// corePercent is processor time, in percent of one core.
	corePercent float64
	memoryMB    float64
	// readKBps and writtenKBps count all reads and writes of the process, of
	// files and connections, in units of 1000 bytes per second.
	readKBps, writtenKBps float64
}

// sample is the mean cost per role at one size.
type sample struct {
	size                size
	costs               map[role]cost
	inForce             time.Duration
	workerKBps          float64
	commits             float64
	failedAnnouncements int64
	yardstick           time.Duration
}

// counters holds the resource use of one process: totals since its start, and its memory now.
type counters struct {
	cpuTicks, read, written, memoryKB uint64
}

func readCounters(pid int) (counters, error) {
	var c counters
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return c, err
	}
	// After the parenthesised name the first field is the third of proc(5).
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.ParseUint(fields[11], 10, 64)
	system, _ := strconv.ParseUint(fields[12], 10, 64)
	c.cpuTicks = user + system
	if c.read, err = procField(pid, "io", "rchar:"); err != nil {
		return c, err
	}
	if c.written, err = procField(pid, "io", "wchar:"); err != nil {
		return c, err
	}
	c.memoryKB, err = procField(pid, "status", "VmRSS:")
	return c, err
}

// procField returns the number after name in a /proc file of "name value" lines.
func procField(pid int, file, name string) (uint64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, name); ok {
			return strconv.ParseUint(strings.Fields(rest)[0], 10, 64)
		}
	}
	return 0, fmt.Errorf("/proc/%d/%s has no %s", pid, file, name)
}

func (c *cluster) counters() ([]counters, error) {
	all := make([]counters, len(c.daemons))
	for i, d := range c.daemons {
		var err error
		if all[i], err = readCounters(d.cmd.Process.Pid); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// rolesByName returns the role of each daemon by its name.
func rolesByName(status *operator.StatusView) map[string]role {
	byName := make(map[string]role)
	for _, m := range status.Members {
		switch {
		case m.Leader:
			byName[m.Name] = roleLeader
		case m.Voter:
			byName[m.Name] = roleVoter
		default:
			byName[m.Name] = roleFollower
		}
	}
	return byName
}

// measure measures the idle cost of every role at one size.
func measure(c *cluster, f *fleet, s size, o options) (sample, error) {
	time.Sleep(o.settle)
	result := sample{size: s}
	status, err := c.status()
	if err != nil {
		return result, err
	}
	before, err := c.counters()
	if err != nil {
		return result, err
	}
	bytesBefore, failedBefore, start := f.sent.Load()+f.received.Load(), f.failed.Load(), time.Now()
	result.yardstick = yardstick(o.window)
	after, err := c.counters()
	if err != nil {
		return result, err
	}
	seconds := time.Since(start).Seconds()
	result.workerKBps = float64(f.sent.Load()+f.received.Load()-bytesBefore) / seconds / 1000 / float64(s.targets)
	result.failedAnnouncements = f.failed.Load() - failedBefore
	result.costs = c.meanCosts(rolesByName(status), before, after, seconds)
	later, err := c.status()
	if err != nil {
		return result, err
	}
	result.commits = float64(later.CommitIndex-status.CommitIndex) / seconds
	if later.Leader != status.Leader {
		return result, fmt.Errorf("the leader changed during a measurement")
	}
	result.inForce, err = c.worstInForce()
	return result, err
}

func (c *cluster) meanCosts(byName map[string]role, before, after []counters, seconds float64) map[role]cost {
	sums, counts := make(map[role]cost), make(map[role]float64)
	for i, d := range c.daemons {
		r := byName[d.name]
		sum := sums[r]
		sum.corePercent += float64(after[i].cpuTicks-before[i].cpuTicks) / ticksPerSecond / seconds * 100
		sum.memoryMB += float64(after[i].memoryKB) / 1024
		sum.readKBps += float64(after[i].read-before[i].read) / seconds / 1000
		sum.writtenKBps += float64(after[i].written-before[i].written) / seconds / 1000
		sums[r] = sum
		counts[r]++
	}
	for r, sum := range sums {
		n := counts[r]
		sums[r] = cost{sum.corePercent / n, sum.memoryMB / n, sum.readKBps / n, sum.writtenKBps / n}
	}
	return sums
}

// change raises a team's upper limit by one unit.
func (c *cluster) change(team string) (operator.Result, error) {
	var view operator.DocumentView
	if err := c.call("GET", "/v1/documents/"+team, nil, &view); err != nil {
		return operator.Result{}, err
	}
	return c.applyTeam(team, view.Document.Revision, view.Document.UpperLimit+1)
}

// worstInForce returns the longest time of several tries from sending a change
// until it is in force on every entry VM.
func (c *cluster) worstInForce() (time.Duration, error) {
	var worst time.Duration
	for range inForceTries {
		start := time.Now()
		result, err := c.change(teamName(0))
		if err != nil {
			return 0, err
		}
		err = c.waitUntil("the change is in force", func() error {
			var view operator.InForceView
			if err := c.call("GET", fmt.Sprintf("/v1/in-force/%d", result.Index), nil, &view); err != nil {
				return err
			}
			if !view.InForce {
				return fmt.Errorf("waiting for %v", view.Waiting)
			}
			return nil
		})
		if err != nil {
			return 0, err
		}
		worst = max(worst, time.Since(start))
	}
	return worst, nil
}

// changeCost is the processor time of one change for each role, in milliseconds.
type changeCost map[role]float64

// measureChanges commits changes one after the other at the last size. The result
// includes the cost of the announcements in that time.
func measureChanges(c *cluster) (changeCost, error) {
	status, err := c.status()
	if err != nil {
		return nil, err
	}
	before, err := c.counters()
	if err != nil {
		return nil, err
	}
	for i := range changeCount {
		if _, err := c.change(teamName(i % c.size.teams)); err != nil {
			return nil, err
		}
	}
	after, err := c.counters()
	if err != nil {
		return nil, err
	}
	costs := make(changeCost)
	for r, spent := range c.meanCosts(rolesByName(status), before, after, 1) {
		costs[r] = spent.corePercent / 100 * 1000 / changeCount
	}
	return costs, nil
}

// toolCost is the resource use of one run of the command-line tool.
type toolCost struct {
	cpu      time.Duration
	memoryMB float64
}

func measureTool(c *cluster) (toolCost, error) {
	cmd := exec.Command(filepath.Join(c.folder, "sapphirering"), "vm", "list",
		"-address", "http://"+c.daemons[0].operator, "-key-file", c.keyFile)
	if out, err := cmd.CombinedOutput(); err != nil {
		return toolCost{}, fmt.Errorf("vm list: %w: %.200s", err, out)
	}
	cost := toolCost{cpu: cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()}
	if usage, ok := cmd.ProcessState.SysUsage().(*syscall.Rusage); ok {
		cost.memoryMB = float64(usage.Maxrss) / 1024
	}
	return cost, nil
}
