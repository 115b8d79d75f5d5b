package command

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"sapphirering/internal/operator"
)

const memberPollInterval = 200 * time.Millisecond

var memberCommand = subcommand{
	name: "member", args: "list | add MEMBER | promote MEMBER | remove MEMBER | replace OLD NEW",
	help: "list and change the members of the cluster; MEMBER is an id, or a name that only one member has",
	examples: []string{
		"member list",
		"member add entry-b2",
		"member replace entry-a1-0f3c9d21 entry-a1-77ab01e4",
	},
	run: func(env *Env, args []string) error {
		switch {
		case len(args) == 1 && args[0] == "list":
			return printStatus(env)
		case len(args) == 2 && args[0] == "add":
			return addMember(env, args[1])
		case len(args) == 2 && args[0] == "promote":
			return changeMember(env, http.MethodPost, args[1])
		case len(args) == 2 && args[0] == "remove":
			return changeMember(env, http.MethodDelete, args[1])
		case len(args) == 3 && args[0] == "replace":
			return replaceMember(env, args[1], args[2])
		}
		return fmt.Errorf("%w: want list, add MEMBER, promote MEMBER, remove MEMBER, or replace OLD NEW", errUsage)
	},
}

// changeMember promotes or removes one member. A resend has no further effect.
func changeMember(env *Env, method, name string) error {
	id, err := env.memberID(name)
	if err != nil {
		return err
	}
	result, err := env.send(method, "/v1/members/"+id, nil)
	if err != nil {
		return err
	}
	return env.finish(result)
}

// memberID returns the id of the only member with the name. A name that is not in the list is
// taken for an id, since that member may have been removed already.
func (e *Env) memberID(name string) (string, error) {
	var status operator.StatusView
	if err := e.client.get("/v1/status", &status); err != nil {
		return "", err
	}
	var ids []string
	for _, m := range status.Members {
		if m.ID == name {
			return name, nil
		}
		if m.Name == name {
			ids = append(ids, m.ID)
		}
	}
	switch len(ids) {
	case 0:
		return name, nil
	case 1:
		return ids[0], nil
	}
	return "", fmt.Errorf("%w: several members are named %q, give one of the ids %v", errUsage, name, ids)
}

// addMember waits until a daemon has joined, then makes it a voter.
func addMember(env *Env, name string) error {
	for {
		member, _, err := env.findMember(name)
		if err == nil && member != nil {
			return changeMember(env, http.MethodPost, member.ID)
		}
		if !env.pause(memberPollInterval) {
			return fmt.Errorf("member %q has not joined: start its daemon with voter: true and seeds", name)
		}
	}
}

// findMember looks up an id or a name in the leader's member list.
func (e *Env) findMember(name string) (*operator.MemberView, operator.StatusView, error) {
	var status operator.StatusView
	if err := e.client.get("/v1/status", &status); err != nil {
		return nil, status, err
	}
	if len(status.Members) == 0 {
		return nil, status, fmt.Errorf("%w: the leader cannot be reached", errUnavailable)
	}
	for i, m := range status.Members {
		if m.ID == name || m.Name == name {
			return &status.Members[i], status, nil
		}
	}
	return nil, status, nil
}

// replaceMember promotes the new member, waits until it has synced the log up to its
// promotion, and only then removes the old one. A step that an earlier attempt completed is
// skipped, so that the same command completes an interrupted replacement.
func replaceMember(env *Env, oldID, newID string) error {
	if oldID == newID {
		return fmt.Errorf("%w: OLD and NEW are the same member", errUsage)
	}
	member, _, err := env.findMember(newID)
	if err != nil {
		return err
	}
	if member == nil {
		return fmt.Errorf("member %q is not in the list: start its daemon first; nothing was changed", newID)
	}
	promoted, err := env.changeMemberWithRetry(http.MethodPost, newID)
	if err != nil {
		return fmt.Errorf("promote %s: %w", newID, err)
	}
	if err := env.waitSynced(newID, promoted.Index); err != nil {
		return err
	}
	removed, err := env.changeMemberWithRetry(http.MethodDelete, oldID)
	if err != nil {
		return fmt.Errorf("%s votes and has synced; remove %s: %w; finish it with the same command", newID, oldID, err)
	}
	if err := env.waitSynced(newID, removed.Index); err != nil {
		return err
	}
	if env.json {
		return env.printJSON(removed)
	}
	fmt.Fprintf(env.Out, "done: a second loss is survivable; %s replaced %s at index %d\n", newID, oldID, removed.Index)
	return nil
}

// changeMemberWithRetry sends one change, and sends it again while another change is in
// progress.
func (e *Env) changeMemberWithRetry(method, id string) (operator.Result, error) {
	for {
		result, err := e.send(method, "/v1/members/"+id, nil)
		var refused *resultError
		if err == nil || !errors.As(err, &refused) || refused.result.Code != "conflict" {
			return result, err
		}
		if !e.pause(memberPollInterval) {
			return result, err
		}
	}
}

// waitSynced waits until the member has synced the log up to index.
func (e *Env) waitSynced(id string, index uint64) error {
	for {
		member, _, err := e.findMember(id)
		if err == nil && member != nil && member.Voter && member.MatchIndex >= index {
			return nil
		}
		if !e.pause(memberPollInterval) {
			at := uint64(0)
			if member != nil {
				at = member.MatchIndex
			}
			return fmt.Errorf("not done, a second loss is not survivable yet: %s has synced up to %d of %d; finish it with the same command", id, at, index)
		}
	}
}
