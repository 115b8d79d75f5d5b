package operator

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"

	"sapphirering/internal/config"
	"sapphirering/internal/state/statepb"
)

// KeyRequest grants a key to a team. The operator sends only the hash of the secret.
type KeyRequest struct {
	Team      string `json:"team"`
	SHA256Hex string `json:"sha256_hex"`
}

// KeyView is the JSON form of a key.
type KeyView struct {
	ID      string `json:"id"`
	Team    string `json:"team"`
	Granted int64  `json:"granted_unix_ms"`
}

// DocumentView is a team's document with the keys granted to the team.
type DocumentView struct {
	Document *config.Document `json:"document"`
	Keys     []KeyView        `json:"keys"`
}

func (s *Server) viewDocument(doc *statepb.TeamDocument) DocumentView {
	view := DocumentView{Document: config.FromProto(doc), Keys: []KeyView{}}
	for _, key := range s.cfg.Machine.Keys() {
		if key.Team == doc.Team {
			view.Keys = append(view.Keys, viewKey(key))
		}
	}
	return view
}

func (s *Server) listDocuments(w http.ResponseWriter, _ *http.Request) {
	views := []*config.Document{}
	for _, doc := range s.cfg.Machine.Documents() {
		views = append(views, config.FromProto(doc))
	}
	writeJSON(w, http.StatusOK, views)
}

func (s *Server) getDocument(w http.ResponseWriter, r *http.Request) {
	doc := s.cfg.Machine.Document(mux.Vars(r)["team"])
	if doc == nil {
		writeNotFound(w, "document", mux.Vars(r)["team"])
		return
	}
	writeJSON(w, http.StatusOK, s.viewDocument(doc))
}

func writeNotFound(w http.ResponseWriter, kind, name string) {
	writeJSON(w, http.StatusNotFound, Result{Code: codeNotFound, Message: fmt.Sprintf("%s %.80q does not exist", kind, name)})
}

func (s *Server) putDocument(w http.ResponseWriter, r *http.Request) {
	doc := new(config.Document)
	if !readBody(w, r, doc) {
		return
	}
	if doc.Team != mux.Vars(r)["team"] {
		writeInvalid(w, "team: %q differs from the path", doc.Team)
		return
	}
	converted, err := doc.Proto()
	if err != nil {
		writeInvalid(w, "%v", err)
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_ApplyDocument{
		ApplyDocument: &statepb.ApplyDocument{Document: converted, BaseRevision: doc.Revision},
	}})
}

// deleteDocument requires the revision that the operator saw, so that a resend is
// the same command and a concurrent change leads to a conflict.
func (s *Server) deleteDocument(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeInvalid(w, "revision: %v", err)
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_DeleteDocument{
		DeleteDocument: &statepb.DeleteDocument{Team: mux.Vars(r)["team"], BaseRevision: revision},
	}})
}

func viewKey(key *statepb.Key) KeyView {
	return KeyView{ID: key.Id, Team: key.Team, Granted: key.GrantedUnixMs}
}

func (s *Server) listKeys(w http.ResponseWriter, _ *http.Request) {
	views := []KeyView{}
	for _, key := range s.cfg.Machine.Keys() {
		views = append(views, viewKey(key))
	}
	writeJSON(w, http.StatusOK, views)
}

func (s *Server) putKey(w http.ResponseWriter, r *http.Request) {
	var request KeyRequest
	if !readBody(w, r, &request) {
		return
	}
	hash, err := hex.DecodeString(request.SHA256Hex)
	if err != nil {
		writeInvalid(w, "sha256_hex: %v", err)
		return
	}
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_GrantKey{GrantKey: &statepb.GrantKey{
		Key: &statepb.Key{Id: mux.Vars(r)["key"], Team: request.Team, Hash: hash},
	}}})
}

func (s *Server) deleteKey(w http.ResponseWriter, r *http.Request) {
	s.propose(w, r, &statepb.Command{Body: &statepb.Command_WithdrawKey{
		WithdrawKey: &statepb.WithdrawKey{KeyId: mux.Vars(r)["key"]},
	}})
}
