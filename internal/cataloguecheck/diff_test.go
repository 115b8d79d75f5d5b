package cataloguecheck

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestCompareTellsEffects guards against changes that a comparison misses, and against keys in its output.
func TestCompareTellsEffects(t *testing.T) {
	is := is.New(t)
	inForce := &pb.Catalogue{
		Version: 3, Queues: []*pb.Queue{{Name: "proofs", Host: "a", PathPrefix: "/p/", Pool: "x", TimeoutMs: 5}, {Name: "old", Host: "a", PathPrefix: "/o/", Pool: "x", TimeoutMs: 5}},
		Pools: []*pb.Pool{{Name: "x"}}, Workspaces: []*pb.Workspace{{Name: "w", Keys: []string{"secret-1", "secret-2"}, Weight: 2}},
	}
	is.Equal(len(Compare(inForce, inForce)), 1) // the version alone
	next := proto.CloneOf(inForce)
	next.Version, next.Queues = 4, next.Queues[:1]
	next.Queues[0].PathPrefix, next.Workspaces[0].Weight = "/n/", 9
	next.Workspaces[0].Keys = []string{"secret-2", "secret-3"}
	next.Workspaces[0].Limit = &pb.Resources{CpuMillis: 500}
	text := fmt.Sprint(Compare(inForce, next))
	for _, want := range []string{`queues["old"]`, "404", `queues["proofs"].path_prefix`, `workspaces["w"].weight`, `workspaces["w"].limit`, "1 removed keys get 401"} {
		is.True(strings.Contains(text, want)) // text tells the change or its effect
	}
	is.True(!strings.Contains(text, "secret"))
	is.True(len(Compare(nil, next)) > 0)
}
