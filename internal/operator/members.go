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

// changeMember asks the leader for a change. Both changes are idempotent: a
// resend after a lost answer gets the outcome of the first.
func (s *Server) changeMember(w http.ResponseWriter, r *http.Request, action wirepb.MemberRequest_Action) {
	index, err := s.cfg.Cluster.ChangeMember(r.Context(), action, mux.Vars(r)["member"])
	if err != nil {
		failMember(w, err)
		return
	}
	write(w, http.StatusOK, Result{Code: "ok", Index: index})
}

// failMember answers with the leader's verdict, so that only a lost answer
// counts as unavailable.
func failMember(w http.ResponseWriter, err error) {
	var refused *wire.CallError
	if errors.As(err, &refused) {
		switch refused.Code {
		case wirepb.ErrorCode_ERROR_CODE_CONFLICT:
			write(w, http.StatusConflict, Result{Code: "conflict", Message: refused.Message})
			return
		case wirepb.ErrorCode_ERROR_CODE_REFUSED:
			write(w, http.StatusUnprocessableEntity, Result{Code: "refused", Message: refused.Message})
			return
		case wirepb.ErrorCode_ERROR_CODE_NOT_FOUND:
			write(w, http.StatusNotFound, Result{Code: "not-found", Message: refused.Message})
			return
		}
	}
	fail(w, err)
}
