package server

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"time"

	"sapphirering/internal/config"
	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/replica/store"
	"sapphirering/internal/state"
	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
)

const (
	joinRetryDelay = 200 * time.Millisecond
	joinTimeout    = 3 * time.Second
)

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// selfMember describes this daemon as a member of the cluster.
func selfMember(s *config.Settings, id string) *wirepb.Member {
	return &wirepb.Member{
		Id: id, Name: s.Name, Address: s.AdvertisePeers, Zone: s.Zone, Durable: s.DataFolder != "",
	}
}

// startState is the identity and the stored state that this daemon starts with.
type startState struct {
	identity store.Identity
	loaded   store.Loaded
	// membersAtJoin is the member list in the leader's answer to the join. It gives the
	// addresses of the other members until the log delivers the list.
	membersAtJoin *wirepb.Membership
	// serveIndex is the index to apply before serving, so that a daemon without stored state
	// never serves less than was acknowledged before it joined.
	serveIndex uint64
}

// openDataFolder opens the data folder and returns this daemon's identity and stored state.
// With an empty folder the daemon gets a new identity: a voter that lost its disk must not
// vote under its old identity, since it no longer knows its earlier votes.
func openDataFolder(ctx context.Context, s *config.Settings, bootstrap bool, dialer *wire.Dialer) (startState, *store.Store, error) {
	if s.DataFolder == "" {
		if bootstrap {
			return startState{}, nil, errors.New("bootstrap: a data_folder is required")
		}
		start, err := join(ctx, s, newMemberID(s), dialer)
		return start, nil, err
	}
	if err := os.MkdirAll(s.DataFolder, 0o700); err != nil {
		return startState{}, nil, fmt.Errorf("data_folder: %w", err)
	}
	st, err := store.Open(s.DataFolder)
	if err != nil {
		return startState{}, nil, err
	}
	start, err := loadOrJoin(ctx, s, bootstrap, dialer, st)
	if err != nil {
		st.Close()
		return startState{}, nil, err
	}
	return start, st, nil
}

func loadOrJoin(ctx context.Context, s *config.Settings, bootstrap bool, dialer *wire.Dialer, st *store.Store) (startState, error) {
	id, found, err := st.Identity()
	if err != nil {
		return startState{}, err
	}
	if !found && bootstrap {
		if id, err = bootstrapFolder(s, st); err != nil {
			return startState{}, err
		}
	} else if !found {
		return joinWithFolder(ctx, s, newMemberID(s), dialer, st, store.Loaded{})
	}
	loaded, err := st.Load()
	if err != nil {
		return startState{}, err
	}
	if loaded.Snapshot == nil && len(loaded.Entries) == 0 {
		// The process ended between its join and the first append. It may have
		// voted in between, so it continues from its hard state.
		return joinWithFolder(ctx, s, id.MemberID, dialer, st, loaded)
	}
	return startState{identity: id, loaded: loaded}, nil
}

func joinWithFolder(ctx context.Context, s *config.Settings, member string, dialer *wire.Dialer, st *store.Store, loaded store.Loaded) (startState, error) {
	start, err := join(ctx, s, member, dialer)
	if err != nil {
		return startState{}, err
	}
	start.loaded = loaded
	return start, st.SetIdentity(start.identity)
}

func newMemberID(s *config.Settings) string {
	id := s.Name + "-" + randomHex(4)
	event.IdentityCreated.Emit(event.F("member", id))
	return id
}

// bootstrapFolder creates a cluster of one voter. The identity is written last: after a crash
// before that, the folder is bootstrapped again.
func bootstrapFolder(s *config.Settings, st *store.Store) (store.Identity, error) {
	id := store.Identity{ClusterID: randomHex(8), MemberID: s.Name + "-" + randomHex(4)}
	first := selfMember(s, id.MemberID)
	first.Role = wirepb.Role_ROLE_VOTER
	empty, err := state.New().Snapshot()
	if err != nil {
		return store.Identity{}, err
	}
	if err := replica.Bootstrap(st, first, empty); err != nil {
		return store.Identity{}, err
	}
	event.ClusterCreated.Emit(event.F("cluster", id.ClusterID), event.F("member", id.MemberID))
	return id, st.SetIdentity(id)
}

// join calls the seeds in turn until the leader has added this daemon as a learner.
func join(ctx context.Context, s *config.Settings, member string, dialer *wire.Dialer) (startState, error) {
	addresses := append([]string(nil), s.Seeds...)
	if len(addresses) == 0 {
		return startState{}, errors.New("seeds: required to join a cluster; start the first daemon with -bootstrap")
	}
	for round := 0; ; round++ {
		address := addresses[round%len(addresses)]
		joined, leader, err := tryJoin(ctx, s, member, address, dialer)
		if err == nil {
			return startState{
				identity: store.Identity{ClusterID: joined.ClusterId, MemberID: member}, membersAtJoin: joined.Membership,
				serveIndex: joined.CommitIndex,
			}, nil
		}
		if leader != "" {
			addresses = append(addresses[:len(s.Seeds):len(s.Seeds)], leader)
		}
		event.JoinFailed.Emit(event.F("peer", address), event.Err(err))
		timer := time.NewTimer(joinRetryDelay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return startState{}, fmt.Errorf("join: %w", ctx.Err())
		case <-timer.C:
		}
	}
}

// tryJoin asks one daemon; leader is the leader's address if the daemon's answer names it.
func tryJoin(ctx context.Context, s *config.Settings, member, address string, dialer *wire.Dialer) (joined *wirepb.JoinResponse, leader string, err error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	response, _, err := dialer.Call(ctx, address, &wirepb.Hello{FromMember: member}, &wirepb.CallRequest{
		Body: &wirepb.CallRequest_Join{Join: &wirepb.JoinRequest{
			Member: selfMember(s, member), WantsVote: s.Voter,
		}},
	})
	if err != nil {
		var callError *wire.CallError
		if errors.As(err, &callError) {
			leader = callError.LeaderAddress
		}
		return nil, leader, err
	}
	return response.GetJoin(), "", nil
}
