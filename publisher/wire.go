package publisher

// The HTTP paths of an entry VM for publishing configuration. Every request carries
// the bearer key of an organisation that is an operator.
const (
	// PathConfiguration answers GET with a ConfigurationResponse.
	PathConfiguration = "/-/configuration"
	// PathChanges takes a Change by POST and answers 202 with a ChangeResponse
	// once the log has confirmed the append. DELETE of PathChanges/ID appends a
	// Withdrawal of the change ID and answers 202 likewise. A refusal is
	// problem+json; its outcome is "not-run" when nothing was or will be appended,
	// and "unknown" when the log's answer was lost.
	PathChanges = "/-/configuration/changes"
	// ParameterForce is the query parameter of PathChanges with the reason to append a
	// change although its guarantees exceed the capacity that workers report.
	ParameterForce = "force"
)

// ChangeResponse holds the offset of the appended record.
type ChangeResponse struct {
	Offset int64 `json:"offset"`
}

// ConfigurationResponse is the configuration state of one entry VM and the revisions
// of all live entry VMs.
type ConfigurationResponse struct {
	State State        `json:"state"`
	VMs   []VMRevision `json:"vms"` // every live entry VM, sorted by id
}

// VMRevision is the revision in force on one VM.
type VMRevision struct {
	VM       string `json:"vm"`
	Revision int64  `json:"revision"`
}

// ProblemResponse is the part of a problem+json refusal that a publisher reads.
type ProblemResponse struct {
	Code    string `json:"code"`
	Outcome string `json:"outcome"`
	Detail  string `json:"detail"`
}
