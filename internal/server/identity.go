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
	joinPause   = 200 * time.Millisecond
	joinTimeout = 3 * time.Second
)

func randomHex(bytes int) string {
	b := make([]byte, bytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// self describes this daemon to the cluster.
func selfMember(s *config.Settings, id string) *wirepb.Member {
	return &wirepb.Member{
		Id: id, Name: s.Name, Address: s.AdvertisePeers, Zone: s.Zone, Durable: s.DataFolder != "",
	}
}

// origin is where this daemon starts from.
type origin struct {
	identity store.Identity
	loaded   store.Loaded
	// members is the member list that the leader answered to a join; it gives
	// the addresses to answer to until the log brings the list itself.
	members *wirepb.Membership
	// serveIndex is the index to apply before serving, so that a daemon which
	// starts from nothing never shows less than was acknowledged before.
	serveIndex uint64
}

// identify opens the data folder and returns this daemon's identity. An empty
// folder gets a new identity: a voter whose disk was lost never votes as the
// old one, since what it had promised is forgotten.
func identify(ctx context.Context, s *config.Settings, bootstrap bool, dialer *wire.Dialer) (origin, *store.Store, error) {
	if s.DataFolder == "" {
		if bootstrap {
			return origin{}, nil, errors.New("bootstrap: a data_folder is required")
		}
		o, err := join(ctx, s, newMemberID(s), dialer)
		return o, nil, err
	}
	if err := os.MkdirAll(s.DataFolder, 0o700); err != nil {
		return origin{}, nil, fmt.Errorf("data_folder: %w", err)
	}
	st, err := store.Open(s.DataFolder)
	if err != nil {
		return origin{}, nil, err
	}
	o, err := identifyFolder(ctx, s, bootstrap, dialer, st)
	if err != nil {
		st.Close()
		return origin{}, nil, err
	}
	return o, st, nil
}

func identifyFolder(ctx context.Context, s *config.Settings, bootstrap bool, dialer *wire.Dialer, st *store.Store) (origin, error) {
	id, found, err := st.Identity()
	if err != nil {
		return origin{}, err
	}
	if !found && bootstrap {
		if id, err = bootstrapFolder(s, st); err != nil {
			return origin{}, err
		}
	} else if !found {
		return joinWithFolder(ctx, s, newMemberID(s), dialer, st, store.Loaded{})
	}
	loaded, err := st.Load()
	if err != nil {
		return origin{}, err
	}
	if loaded.Snapshot == nil && len(loaded.Entries) == 0 {
		// The process ended between its join and the first append. It may have
		// voted meanwhile, so it goes on from its hard state.
		return joinWithFolder(ctx, s, id.MemberID, dialer, st, loaded)
	}
	return origin{identity: id, loaded: loaded}, nil
}

func joinWithFolder(ctx context.Context, s *config.Settings, member string, dialer *wire.Dialer, st *store.Store, loaded store.Loaded) (origin, error) {
	o, err := join(ctx, s, member, dialer)
	if err != nil {
		return origin{}, err
	}
	o.loaded = loaded
	return o, st.SetIdentity(o.identity)
}

func newMemberID(s *config.Settings) string {
	id := s.Name + "-" + randomHex(4)
	event.IdentityCreated.Emit(event.F("member", id))
	return id
}

// bootstrapFolder creates a cluster of one voter. The identity is written
// last: a crash before it leaves a folder that is bootstrapped anew.
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

// join asks the seeds until the leader has added this daemon as a learner.
func join(ctx context.Context, s *config.Settings, member string, dialer *wire.Dialer) (origin, error) {
	addresses := append([]string(nil), s.Seeds...)
	if len(addresses) == 0 {
		return origin{}, errors.New("seeds: are required to join; or start the first daemon with -bootstrap")
	}
	for round := 0; ; round++ {
		address := addresses[round%len(addresses)]
		joined, leader, err := tryJoin(ctx, s, member, address, dialer)
		if err == nil {
			return origin{
				identity: store.Identity{ClusterID: joined.ClusterId, MemberID: member}, members: joined.Membership,
				serveIndex: joined.CommitIndex,
			}, nil
		}
		if leader != "" {
			addresses = append(addresses[:len(s.Seeds):len(s.Seeds)], leader)
		}
		event.JoinFailed.Emit(event.F("peer", address), event.Err(err))
		timer := time.NewTimer(joinPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return origin{}, fmt.Errorf("join: %w", ctx.Err())
		case <-timer.C:
		}
	}
}

// tryJoin asks one daemon; leader is the address of the leader when it answered with one.
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
