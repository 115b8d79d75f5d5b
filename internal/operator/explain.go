package operator

import (
	"net/http"

	"github.com/gorilla/mux"
)

// ExplainView is the JSON form of the reasons that the leader keeps about an object.
type ExplainView struct {
	Kind  string   `json:"kind"`
	ID    string   `json:"id"`
	Lines []string `json:"lines"`
}

func (s *Server) getExplanation(w http.ResponseWriter, r *http.Request) {
	view := ExplainView{Kind: mux.Vars(r)["kind"], ID: mux.Vars(r)["id"]}
	lines, err := s.cfg.Cluster.Explain(r.Context(), view.Kind, view.ID)
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	view.Lines = lines
	writeJSON(w, http.StatusOK, view)
}
