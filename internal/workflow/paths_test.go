package workflow

import (
	"testing"

	"github.com/matryer/is"

	pb "sapphirering/internal/workflow/workflowpb"
)

// TestResolve guards against a path that is taken for that of another queue, or of a job that nobody has submitted.
func TestResolve(t *testing.T) {
	const id = "5c0e7a21d94b0001"
	m := New()
	m.lookup = newCatalogueLookup(&pb.Catalogue{Queues: []*pb.Queue{
		{Name: "jobs", Host: "h", PathPrefix: "/jobs/"}, {Name: "inner", Host: "h", PathPrefix: "/jobs/fi50/"},
		{Name: "press", Host: "h", PathPrefix: "/press"}, {Name: "within ids", Host: "h", PathPrefix: "/press5c"},
		{Name: "like an id", Host: "h", PathPrefix: "/jobs/" + id}, {Name: "other host", Host: "o", PathPrefix: "/jobs/"},
	}})
	for _, test := range []struct {
		host, path, queue, jobID string
		named                    bool
	}{
		{"h", "/jobs/", "jobs", "", true},
		{"h", "/jobs/5c0e7a21d94b0002", "jobs", "5c0e7a21d94b0002", true},
		{"H", "/jobs/5C0E7A21D94B0002", "jobs", "5C0E7A21D94B0002", true},
		{"o", "/jobs/" + id, "other host", id, true},
		{"h", "/jobs/fi50/" + id, "inner", id, true},
		{"h", "/jobs/fi51/" + id, "jobs", "fi51/" + id, false},
		{"h", "/jobs/fi51/", "jobs", "fi51/", false},
		{"h", "/jobs", "", "", false},
		{"h", "/press", "press", "", true},
		{"h", "/pressab0e7a21d94b0001", "press", "ab0e7a21d94b0001", true},
		{"h", "/press/" + id, "press", "/" + id, false},
		{"h", "/press" + id, "within ids", "0e7a21d94b0001", false},
		{"h", "/press5c" + id, "within ids", id, true},
		{"h", "/jobs/" + id, "like an id", "", true},
		{"h", "/jobs/5c0e7a21d94b000g", "jobs", "5c0e7a21d94b000g", false},
		{"h", "/jobs/5c0e7a21d94b00010", "like an id", "0", false},
		{"x", "/jobs/" + id, "", "", false},
	} {
		t.Run(test.host+test.path, func(t *testing.T) {
			is := is.New(t)
			m.View(func(v *View) {
				place := v.Resolve(test.host, test.path, 16)
				is.Equal(place.Queue.GetName(), test.queue)
				is.Equal(place.JobID, test.jobID)
				is.Equal(place.Named, test.named)
			})
		})
	}
}
