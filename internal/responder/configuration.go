package responder

import (
	"encoding/json"
	"net/http"

	"github.com/lacewingdoor/lacewingdoor/decoder"
	"github.com/lacewingdoor/lacewingdoor/internal/refuser"
	"github.com/lacewingdoor/lacewingdoor/publisher"
)

// withOperator calls h if the caller's organisation is an operator.
func (r *Responder) withOperator(h organisationHandler) http.HandlerFunc {
	return r.withOrganisation(func(w http.ResponseWriter, q *http.Request, o decoder.Organisation) *refuser.ProblemError {
		if !o.Operator {
			return refuser.NewNotRun(http.StatusForbidden, "not-operator", "the key's organisation is not an operator")
		}
		return h(w, q, o)
	})
}

func (r *Responder) configuration(w http.ResponseWriter, _ *http.Request, _ decoder.Organisation) *refuser.ProblemError {
	writeJSON(w, http.StatusOK, r.Configuration())
	return nil
}

// submitChange appends a change to the configuration stream. The readers of the stream
// decide whether it comes into force.
func (r *Responder) submitChange(w http.ResponseWriter, q *http.Request, o decoder.Organisation) *refuser.ProblemError {
	var c publisher.Change
	d := json.NewDecoder(q.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		return bodyProblem(err, "bad-change")
	}
	if c.ID == "" {
		return refuser.NewNotRun(http.StatusBadRequest, "bad-change", "id: is missing")
	}
	if c.Format > publisher.Format {
		return refuser.NewNotRun(http.StatusConflict, "newer-format", "this VM is older than the publisher and cannot judge the change")
	}
	c.Publisher = o.Name
	if err := r.CheckGuarantees(q.Context(), c, q.URL.Query().Get(publisher.ParameterForce)); err != nil {
		return refuser.NewNotRun(http.StatusConflict, "over-capacity", err.Error())
	}
	return r.appendConfig(w, q, c.ID, c)
}

func (r *Responder) withdrawChange(w http.ResponseWriter, q *http.Request, _ decoder.Organisation) *refuser.ProblemError {
	id := q.PathValue("id")
	return r.appendConfig(w, q, id, publisher.Withdrawal{ID: id})
}

func (r *Responder) appendConfig(w http.ResponseWriter, q *http.Request, id string, c publisher.Record) *refuser.ProblemError {
	n, err := r.AppendConfig(q.Context(), id, c)
	if err != nil {
		return r.appendProblem(err)
	}
	writeJSON(w, http.StatusAccepted, publisher.ChangeResponse{Offset: n})
	return nil
}
