package operator

import (
	"errors"
	"net/http"

	"github.com/gorilla/mux"

	"sapphirering/internal/wire"
	"sapphirering/internal/wire/wirepb"
)

func (s *Server) routeMembers(v1 *mux.Router) {
	v1.HandleFunc("/members/{member}", s.promoteMember).Methods(http.MethodPost)
	v1.HandleFunc("/members/{member}", s.removeMember).Methods(http.MethodDelete)
}

func (s *Server) promoteMember(w http.ResponseWriter, r *http.Request) {
	s.changeMember(w, r, wirepb.MemberRequest_ACTION_PROMOTE)
}

func (s *Server) removeMember(w http.ResponseWriter, r *http.Request) {
	s.changeMember(w, r, wirepb.MemberRequest_ACTION_REMOVE)
}

// changeMember asks the leader to change the members. Both actions are idempotent:
// a resend after a lost answer gets the outcome of the first request.
func (s *Server) changeMember(w http.ResponseWriter, r *http.Request, action wirepb.MemberRequest_Action) {
	index, err := s.cfg.Cluster.ChangeMember(r.Context(), action, mux.Vars(r)["member"])
	if err != nil {
		writeMemberError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, Result{Code: "ok", Index: index})
}

// writeMemberError answers with the leader's refusal, so that only a lost answer is reported
// as unavailable.
func writeMemberError(w http.ResponseWriter, err error) {
	var refused *wire.CallError
	if errors.As(err, &refused) {
		switch refused.Code {
		case wirepb.ErrorCode_ERROR_CODE_CONFLICT:
			writeJSON(w, http.StatusConflict, Result{Code: "conflict", Message: refused.Message})
			return
		case wirepb.ErrorCode_ERROR_CODE_REFUSED:
			writeJSON(w, http.StatusUnprocessableEntity, Result{Code: "refused", Message: refused.Message})
			return
		case wirepb.ErrorCode_ERROR_CODE_NOT_FOUND:
			writeJSON(w, http.StatusNotFound, Result{Code: "not-found", Message: refused.Message})
			return
		}
	}
	writeUnavailable(w, err)
}
