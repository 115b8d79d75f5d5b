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

// identify opens the data folder and returns this daemon's identity. An empty
// folder gets a new identity: a voter whose disk was lost never votes as the
// old one, since what it had promised is forgotten.
func identify(ctx context.Context, s *config.Settings, bootstrap bool, dialer *wire.Dialer) (store.Identity, *store.Store, error) {
	if s.DataFolder == "" {
		if bootstrap {
			return store.Identity{}, nil, errors.New("bootstrap: a data_folder is required")
		}
		id, err := join(ctx, s, dialer)
		return id, nil, err
	}
	if err := os.MkdirAll(s.DataFolder, 0o700); err != nil {
		return store.Identity{}, nil, fmt.Errorf("data_folder: %w", err)
	}
	st, err := store.Open(s.DataFolder)
	if err != nil {
		return store.Identity{}, nil, err
	}
	id, err := identifyFolder(ctx, s, bootstrap, dialer, st)
	if err != nil {
		st.Close()
		return store.Identity{}, nil, err
	}
	return id, st, nil
}

func identifyFolder(ctx context.Context, s *config.Settings, bootstrap bool, dialer *wire.Dialer, st *store.Store) (store.Identity, error) {
	id, found, err := st.Identity()
	if err != nil {
		return store.Identity{}, err
	}
	if found {
		return id, nil
	}
	if bootstrap {
		return bootstrapFolder(s, st)
	}
	if id, err = join(ctx, s, dialer); err != nil {
		return store.Identity{}, err
	}
	return id, st.SetIdentity(id)
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
func join(ctx context.Context, s *config.Settings, dialer *wire.Dialer) (store.Identity, error) {
	id := store.Identity{MemberID: s.Name + "-" + randomHex(4)}
	event.IdentityCreated.Emit(event.F("member", id.MemberID))
	addresses := append([]string(nil), s.Seeds...)
	if len(addresses) == 0 {
		return store.Identity{}, errors.New("seeds: are required to join; or start the first daemon with -bootstrap")
	}
	for round := 0; ; round++ {
		address := addresses[round%len(addresses)]
		clusterID, leader, err := tryJoin(ctx, s, id.MemberID, address, dialer)
		if err == nil {
			id.ClusterID = clusterID
			return id, nil
		}
		if leader != "" {
			addresses = append(addresses[:len(s.Seeds):len(s.Seeds)], leader)
		}
		event.JoinFailed.Emit(event.F("peer", address), event.Err(err))
		timer := time.NewTimer(joinPause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return store.Identity{}, fmt.Errorf("join: %w", ctx.Err())
		case <-timer.C:
		}
	}
}

// tryJoin asks one daemon; leader is the address of the leader when it answered with one.
func tryJoin(ctx context.Context, s *config.Settings, member, address string, dialer *wire.Dialer) (clusterID, leader string, err error) {
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
		return "", leader, err
	}
	return response.GetJoin().GetClusterId(), "", nil
}
