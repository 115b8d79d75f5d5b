package server

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sapphirering/internal/config"
	"sapphirering/internal/event"
	"sapphirering/internal/replica"
	"sapphirering/internal/replica/store"
	"sapphirering/internal/wire/wirepb"
)

// Recovery describes a data folder that was made the only voter of a new cluster.
type Recovery struct {
	Identity store.Identity
	// LastIndex is the last log entry that the folder held. Changes that were
	// acknowledged after it are lost.
	LastIndex uint64
	// FormerVoters are the members whose disks must be wiped before they join.
	FormerVoters []string
}

// Recover makes the data folder of a stopped daemon the only voter of a new cluster that
// continues from the folder's log. It is for a quorum that is lost permanently. The cluster id
// changes, so that former members which return are refused instead of forming a second quorum.
//
// The identity is written last. A crash before that leaves a folder whose member list does not
// name its identity: it never votes, and Recover may be run again.
func Recover(s *config.Settings) (Recovery, error) {
	if s.DataFolder == "" {
		return Recovery{}, errors.New("recover: data_folder is not set")
	}
	st, err := store.Open(s.DataFolder)
	if err != nil {
		return Recovery{}, err
	}
	defer st.Close()
	loaded, err := st.Load()
	if err != nil {
		return Recovery{}, err
	}
	if loaded.Snapshot == nil && len(loaded.Entries) == 0 {
		return Recovery{}, errors.New("recover: the data folder holds no state")
	}
	return recoverFrom(s, st, loaded)
}

func recoverFrom(s *config.Settings, st *store.Store, loaded store.Loaded) (Recovery, error) {
	core, err := replica.NewCore(replica.Config{ElectionTicks: electionTicks, Rand: newRand(1)}, replica.Persisted{
		HardState: loaded.HardState, Snapshot: loaded.Snapshot.GetMeta(), Entries: loaded.Entries,
	})
	if err != nil {
		return Recovery{}, err
	}
	r := Recovery{
		Identity:  store.Identity{ClusterID: randomHex(8), MemberID: s.Name + "-" + randomHex(4)},
		LastIndex: core.LastIndex(),
	}
	for _, member := range core.Membership().GetMembers() {
		if member.Role == wirepb.Role_ROLE_VOTER {
			r.FormerVoters = append(r.FormerVoters, member.Id)
		}
	}
	if err := writeRecovery(s, st, core, r); err != nil {
		return Recovery{}, fmt.Errorf("recover: %w", err)
	}
	event.ClusterRecovered.Emit(event.F("cluster", r.Identity.ClusterID), event.F("index", r.LastIndex))
	return r, nil
}

// writeRecovery appends a member list with this voter alone and marks it, and all entries
// before it, as committed.
func writeRecovery(s *config.Settings, st *store.Store, core *replica.Core, r Recovery) error {
	self := selfMember(s, r.Identity.MemberID)
	self.Role = wirepb.Role_ROLE_VOTER
	data, err := proto.Marshal(replica.WithMember(nil, self))
	if err != nil {
		return fmt.Errorf("marshal member list: %w", err)
	}
	entry := &wirepb.Entry{
		Index: r.LastIndex + 1, Term: core.Term() + 1, Kind: wirepb.EntryKind_ENTRY_KIND_MEMBERSHIP, Data: data,
	}
	err = st.Save(store.Batch{
		HardState: &wirepb.HardState{Term: entry.Term, Commit: entry.Index}, Entries: []*wirepb.Entry{entry},
	})
	if err != nil {
		return err
	}
	return st.SetIdentity(r.Identity)
}
