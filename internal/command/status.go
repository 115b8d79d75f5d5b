package command

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"sapphirering/internal/operator"
)

var statusCommand = subcommand{
	name: "status", args: "", help: "print the leader, the voters, the sessions, and the members that are cut off or down",
	examples: []string{"status", "status -address http://10.0.1.1:8003,http://10.0.2.1:8003 -o json"},
	run: func(env *Env, args []string) error {
		if err := requireArgs(args, 0, "no arguments"); err != nil {
			return err
		}
		return printStatus(env)
	},
}

func printStatus(env *Env) error {
	var status operator.StatusView
	if err := env.client.get("/v1/status", &status); err != nil {
		return err
	}
	if !env.json {
		for _, line := range statusLines(&status) {
			fmt.Fprintln(env.Out, line)
		}
	}
	open := openSessions(&status)
	return env.table(status, "MEMBER NAME ZONE VOTER LEADER ACTIVE MATCH SESSION", func(print func(...any)) {
		for _, m := range status.Members {
			session := "none"
			if open[m.ID] {
				session = "open"
			}
			print(m.ID, m.Name, m.Zone, m.Voter, m.Leader, m.Active, m.MatchIndex, session)
		}
	})
}

// openSessions returns the ids of the members that hold an open session.
func openSessions(status *operator.StatusView) map[string]bool {
	open := make(map[string]bool)
	for _, session := range status.Sessions {
		if session.State == "open" {
			open[session.Member] = true
		}
	}
	return open
}

// statusLines summarizes the status in lines of text above the table.
func statusLines(status *operator.StatusView) []string {
	answered := status.AnsweredBy
	age := (time.Duration(answered.RenewedAgeMS) * time.Millisecond).Round(100 * time.Millisecond)
	if status.CutOff != "" {
		return []string{
			fmt.Sprintf("CUT OFF: %s (zone %s) cannot reach the leader: %s", answered.Name, answered.Zone, status.CutOff),
			fmt.Sprintf("what it knows is as of index %d; its last lease renewal was %s ago", answered.AppliedIndex, age),
		}
	}
	lines := []string{
		fmt.Sprintf("cluster %s, term %d, commit index %d", status.ClusterID, status.Term, status.CommitIndex),
		leaderLine(status), votersLine(status),
	}
	lines = append(lines, zoneLines(status)...)
	if down := downMembers(status); len(down) > 0 {
		lines = append(lines, "cut off or down: "+strings.Join(down, ", "))
	}
	return append(lines, fmt.Sprintf("answered by %s, which renewed its lease %s ago", answered.Name, age))
}

func leaderLine(status *operator.StatusView) string {
	for _, m := range status.Members {
		if m.Leader {
			return fmt.Sprintf("leader: %s (zone %s)", m.Name, m.Zone)
		}
	}
	return "leader: none"
}

func votersLine(status *operator.StatusView) string {
	voters, active := 0, 0
	for _, m := range status.Members {
		if m.Voter {
			voters++
			if m.Active {
				active++
			}
		}
	}
	quorum := voters/2 + 1
	line := fmt.Sprintf("voters: %d, of which %d answer; a quorum is %d", voters, active, quorum)
	if spare := active - quorum; spare <= 0 && voters > 1 {
		line += "; NO further voter may be lost"
	}
	return line
}

func zoneLines(status *operator.StatusView) []string {
	open := openSessions(status)
	total, live := make(map[string]int), make(map[string]int)
	for _, m := range status.Members {
		total[m.Zone]++
		if open[m.ID] {
			live[m.Zone]++
		}
	}
	var lines []string
	for zone := range total {
		lines = append(lines, fmt.Sprintf("zone %s: %d of %d entry VMs hold a session", zone, live[zone], total[zone]))
	}
	sort.Strings(lines)
	return lines
}

// downMembers returns the members that do not answer the leader or hold no session.
func downMembers(status *operator.StatusView) []string {
	open := openSessions(status)
	var down []string
	for _, m := range status.Members {
		if !m.Active || !open[m.ID] {
			down = append(down, fmt.Sprintf("%s (zone %s)", m.Name, m.Zone))
		}
	}
	return down
}
